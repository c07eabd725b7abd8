#include "arbutusferry/json.hpp"
#include "control/log_follower.hpp"

#include <httplib.h>
#include <map>

namespace arbutusferry {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 1000 };
constexpr std::chrono::milliseconds kPollTimeout{ 500 };

std::int64_t
IntegerOr(const Json::Value& aValue, const char* aName, std::int64_t aDefault)
{
  return aValue.isObject() && aValue[aName].isInt64() ? aValue[aName].asInt64()
                                                      : aDefault;
}

class load_poller final : public duty
{
public:
  explicit load_poller(node_state& aState)
    : mState(aState)
  {
  }

  duration Step() override
  {
    const std::vector<target_info> polled = mState.PolledTargets();
    std::erase_if(mClients, [&](const auto& aClient) {
      return std::none_of(
        polled.begin(), polled.end(), [&](const auto& aTarget) {
          return aTarget.address == aClient.first;
        });
    });
    for (const target_info& target : polled) {
      if (mState.Stopping()) {
        break;
      }
      Poll(target);
    }
    return kPollInterval;
  }

private:
  void Poll(const target_info& aTarget)
  {
    auto& client = mClients[aTarget.address];
    if (!client) {
      client = std::make_unique<httplib::Client>("http://" + aTarget.address);
      client->set_keep_alive(true);
      client->set_tcp_nodelay(true);
      client->set_connection_timeout(kPollTimeout);
      client->set_read_timeout(kPollTimeout);
    }
    const auto answer = client->Get("/load");
    if (!answer || answer->status != 200) {
      return;
    }
    const auto load =
      Capture([&] { return ParseJson(answer->body, aTarget.address); });
    if (const auto* value = std::get_if<Json::Value>(&load)) {
      const target_load report{ aTarget.id,
                                IntegerOr(*value, "running", 0),
                                IntegerOr(*value, "waiting", 0),
                                IntegerOr(*value, "weight_version", -1) };
      mState.WithZoneView(
        [&](zone_view& aZoneView) { aZoneView.SetLoad(report, true); });
    }
  }

  node_state& mState;
  std::map<std::string, std::unique_ptr<httplib::Client>> mClients;
};

} // namespace

std::unique_ptr<duty>
MakeLoadPollerDuty(node_state& aState)
{
  return std::make_unique<load_poller>(aState);
}

} // namespace arbutusferry
