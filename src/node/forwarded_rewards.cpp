#include "arbutusferry/node/forwarded_rewards.hpp"

#include <cmath>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Receives the response to one call.
class reward_responder final
  : public responder
  , public reward_exchange
{
public:
  reward_responder(const target_protocol& aProtocol,
                   std::function<void(const reward_result&)> aDone)
    : mProtocol(aProtocol)
    , mDone(std::move(aDone))
  {
  }

  /// Notes that a target responded with an error.
  void NoteError() { ++mResult.errors; }

  void Send(http_response aResponse) override
  {
    if (auto score = mProtocol.ReadScore(aResponse)) {
      mResult.outcome = reward_outcome::Scored;
      mResult.score = std::move(*score);
    } else if (mResult.errors > 0) {
      mResult.outcome = reward_outcome::Failed;
    } else if (aResponse.status == 503) {
      mResult.outcome = reward_outcome::Refused;
      const auto seconds = ParseDecimal(aResponse.headers.Get("Retry-After"));
      mResult.retryAfter =
        milliseconds(std::llround(seconds.value_or(0) * 1'000));
    }
    Conclude();
  }
  void Begin(int, const header_list&) override {}
  void Write(std::string_view) override {}
  void End() override { Conclude(); }
  void Abort() override { Conclude(); }
  [[nodiscard]] bool Closed() const override { return !mDone; }
  [[nodiscard]] std::size_t UnsentBytes() const override { return 0; }
  [[nodiscard]] std::uint16_t PeerPort() const override { return 0; }
  void OnDisconnect(std::function<void()> aFunction) override
  {
    mOnCancel = std::move(aFunction);
  }

  void Cancel() override
  {
    if (!std::exchange(mDone, nullptr)) {
      return;
    }
    if (const auto cancelled = std::exchange(mOnCancel, nullptr)) {
      cancelled();
    }
  }

private:
  void Conclude()
  {
    mOnCancel = nullptr;
    if (const auto done = std::exchange(mDone, nullptr)) {
      done(mResult);
    }
  }

  const target_protocol& mProtocol;
  std::function<void(const reward_result&)> mDone; ///< Null after the end.
  std::function<void()> mOnCancel;
  reward_result mResult;
};

} // namespace

std::shared_ptr<reward_exchange>
forwarded_rewards::Call(const reward_request& aRequest,
                        milliseconds aTimeLimit,
                        std::function<void(const reward_result&)> aDone)
{
  const route_entry* route =
    mParts.environment.Environment().FindRoute(aRequest.host, aRequest.path);
  if (!route || route->kind == route_kind::Batch) {
    reward_result missing;
    missing.outcome = reward_outcome::NoRoute;
    aDone(missing);
    return nullptr;
  }
  auto exchange =
    std::make_shared<reward_responder>(mParts.protocol, std::move(aDone));
  admitted_call call;
  call.id = aRequest.id;
  call.service = ChooseService(*route, aRequest.id);
  call.route = *route;
  call.homes = route->homes;
  call.homes.Restrict(aRequest.homes);
  call.route.kind = route_kind::Idempotent;
  call.request = mParts.protocol.MakeRewardRequest(aRequest);
  call.deadline = mParts.loop.Now() + aTimeLimit;
  call.timeout = call.deadline;
  call.leavesSlots = true;
  call.onTargetError = [weak = std::weak_ptr(exchange)] {
    if (const auto open = weak.lock()) {
      open->NoteError();
    }
  };
  mParts.forwarder.Forward(std::move(call), exchange);
  return exchange;
}

} // namespace arbutusferry::node
