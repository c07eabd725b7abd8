#include "arbutusferry/json.hpp"
#include "arbutusferry/logging.hpp"
#include "arbutusferry/weight_rollout.hpp"
#include "control/work_duties.hpp"
#include "platform/http_exchange.hpp"

#include <thread>

namespace arbutusferry {

namespace {

constexpr std::chrono::milliseconds kRolloutInterval{ 200 };
/// An engine answers only once the version is loaded.
constexpr std::chrono::seconds kLoadTimeout{ 10 };

/// Weight order in progress. A load takes seconds, so each order has its own
/// thread; `rollout_rules::maxParallel` limits their number.
struct running_load
{
  weight_order order;
  std::atomic<bool> done = false;
  bool loaded = false;
  std::thread thread;
};

class weight_duty final : public duty
{
public:
  weight_duty(node_state& aState, std::shared_ptr<role_keeper> aKeeper)
    : mState(aState)
    , mKeeper(std::move(aKeeper))
    , mRole(OrdersRole(aState.Options().zone))
  {
  }

  weight_duty(const weight_duty&) = delete;
  weight_duty& operator=(const weight_duty&) = delete;

  ~weight_duty() override
  {
    for (auto& load : mLoads) {
      load->thread.join();
    }
  }

  duration Step() override
  {
    CollectFinished();
    if (!mKeeper->Holds(mRole) || mState.Stopping()) {
      return kRolloutInterval;
    }
    for (const auto& item : Published()) {
      const std::string& model = item.first;
      const published_version& published = item.second;
      const std::string& targetClass = published.first;
      const std::int64_t version = published.second;
      std::vector<target_info> engines = mState.WithZoneView(
        [&](const zone_view& aZoneView) { return aZoneView.ListedTargets(); });
      std::erase_if(engines, [&](const target_info& aTarget) {
        return aTarget.kind != target_kind::Engine ||
               aTarget.targetClass != targetClass;
      });
      weight_rollout& rollout =
        mRollouts.try_emplace(model, model).first->second;
      for (weight_order& order :
           rollout.Plan(engines, version, mState.Clock().Now())) {
        StartLoad(std::move(order));
      }
    }
    return kRolloutInterval;
  }

private:
  using published_version = std::pair<std::string, std::int64_t>;

  /// @return Target class and published weight version, by model.
  [[nodiscard]] std::map<std::string, published_version> Published() const
  {
    return mState.WithFeed([&](const config_feed& aFeed) {
      std::map<std::string, published_version> published;
      const stage_config* config =
        aFeed.State().Find(mState.Options().environment, stage::Production);
      if (config == nullptr || !config->document) {
        return published;
      }
      for (const model_config& model : config->document->models) {
        const auto version = config->weights.find(model.name);
        if (version != config->weights.end()) {
          published[model.name] = { model.targetClass, version->second };
        }
      }
      return published;
    });
  }

  void StartLoad(weight_order aOrder)
  {
    auto load = std::make_shared<running_load>();
    load->order = std::move(aOrder);
    Json::Value body(Json::objectValue);
    body["fencing"] = Json::Int64(mKeeper->FencingToken(mRole));
    body["model"] = load->order.model;
    body["version"] = Json::Int64(load->order.version);
    load->thread = std::thread(
      [load, text = WriteJson(body), check = mKeeper->Check(mRole)] {
        const auto sent = Capture([&] {
          return FencedSend("POST",
                            load->order.target.address,
                            kLoadTimeout,
                            "/admin/weights",
                            text,
                            check,
                            "load weights");
        });
        if (const auto* failure = std::get_if<error_info>(&sent)) {
          LogError(log_level::Warning, "weights_failed", *failure);
        } else {
          load->loaded = true;
        }
        load->done = true;
      });
    mLoads.push_back(std::move(load));
  }

  void CollectFinished()
  {
    const time_point now = mState.Clock().Now();
    std::erase_if(mLoads, [&](const auto& aLoad) {
      if (!aLoad->done) {
        return false;
      }
      aLoad->thread.join();
      const weight_order& order = aLoad->order;
      mRollouts.at(order.model)
        .RecordLoadResult(order.target.id, order.version, aLoad->loaded, now);
      mState.Metrics().Count(
        "weight_loads",
        { { "model", order.model },
          { "outcome", aLoad->loaded ? "ok" : "failed" } });
      return true;
    });
  }

  node_state& mState;
  std::shared_ptr<role_keeper> mKeeper;
  std::string mRole;
  std::map<std::string, weight_rollout> mRollouts; ///< By model.
  std::vector<std::shared_ptr<running_load>> mLoads;
};

} // namespace

std::unique_ptr<duty>
MakeWeightOrderDuty(node_state& aState, std::shared_ptr<role_keeper> aKeeper)
{
  return std::make_unique<weight_duty>(aState, std::move(aKeeper));
}

} // namespace arbutusferry
