#include "arbutusferry/node/target_client.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/logging.hpp"
#include "arbutusferry/node/target_gateway.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Share of the connect timeout for a direct connection; the rest is left for
/// other ways.
constexpr int kDirectConnectDivisor = 2;
/// Silence of a target after which the node checks whether it reaches any:
/// several times the duration of an ordinary request (25 ms in both
/// deployments).
constexpr milliseconds kSilenceBeforeCheck{ 120 };
/// Targets that a check connects to, and its time limit: many times a round
/// trip within a region.
constexpr std::size_t kCheckedTargets = 3;
constexpr milliseconds kCheckTimeout{ 150 };
/// Longest time to connect to a gateway.
constexpr milliseconds kGatewayConnectTimeout{ 100 };
/// Time limit of the search for a node that reaches targets.
constexpr milliseconds kFindTimeout{ 400 };
/// Gateways that are tried for one request, and how many of them may report
/// that the target can't be reached.
constexpr std::size_t kMaxGateways = 8;
constexpr int kMaxUnreachable = 2;
/// Log lines a second about requests that are held back; each holds the count
/// of all.
constexpr int kHeldBackLinesPerSecond = 5;

std::optional<exchange_failure>
FailureOf(gateway_error aError)
{
  switch (aError) {
    case gateway_error::Refused:
      return exchange_failure::Refused;
    case gateway_error::Broken:
      return exchange_failure::Broken;
    case gateway_error::Protocol:
      return exchange_failure::Protocol;
    case gateway_error::Timeout:
      return exchange_failure::Timeout;
    case gateway_error::NotSent:
      return exchange_failure::NotSent;
    case gateway_error::Malformed:
    case gateway_error::CutOff:
    case gateway_error::Late:
      break;
  }
  return std::nullopt;
}

} // namespace

/// A request on its way to a target, by one way after another until the target
/// may have received it.
class target_client::exchange final
  : public response_sink
  , public std::enable_shared_from_this<exchange>
{
public:
  exchange(target_client& aOwner,
           const socket_address& aTarget,
           http_request aRequest,
           const exchange_options& aOptions,
           std::shared_ptr<response_sink> aSink,
           bool aProbe)
    : mOwner(aOwner)
    , mOwnerAlive(aOwner.mAlive)
    , mTarget(aTarget)
    , mRequest(std::move(aRequest))
    , mOptions(aOptions)
    , mSink(std::move(aSink))
    , mProbe(aProbe)
    , mStarted(Now())
  {
  }

  void Start()
  {
    if (!Allowed()) {
      FailLater(exchange_failure::NotSent);
    } else if (mProbe || (mOwner.CutOff() && !mOptions.directOnly)) {
      TryGateway();
    } else {
      SendDirectly();
    }
  }

  void Cancel()
  {
    mSink.reset();
    mTimer.reset();
    if (const auto inner = std::exchange(mInner, nullptr)) {
      inner->Cancel();
    }
  }

  void OnHead(int aStatus, const header_list& aHeaders) override
  {
    mTimer.reset();
    // The sink may cancel this exchange.
    const auto sink = mSink;
    if (!mGateway) {
      mOwner.mMonitor.NoteAnswer(Now());
      sink->OnHead(aStatus, aHeaders);
      return;
    }
    if (const auto clock = ReadGatewayClock(aHeaders)) {
      Parts().nodes.NoteClock(mGateway->address, *clock, Now());
    }
    mGatewayError = ReadGatewayError(aHeaders);
    if (!mGatewayError) {
      header_list headers = aHeaders;
      StripGatewayHeaders(headers);
      sink->OnHead(aStatus, headers);
    }
  }

  void OnBody(std::string_view aPart) override
  {
    if (!mGateway) {
      mOwner.mMonitor.NoteAnswer(Now());
    }
    if (!mGatewayError && mSink) {
      const auto sink = mSink;
      sink->OnBody(aPart);
    }
  }

  void OnEnd() override
  {
    if (mGatewayError) {
      OnGatewayError(*mGatewayError);
    } else if (const auto sink = std::exchange(mSink, nullptr)) {
      sink->OnEnd();
    }
  }

  void OnFailure(exchange_failure aFailure) override
  {
    mTimer.reset();
    if (!mGateway && !mHeldBack && !mProbe) {
      Parts().targets.NoteBroken(mTarget, Now());
    }
    if (!NothingSent(aFailure) || mHeldBack ||
        (!mProbe && !Parts().targets.Allows(mTarget, mOptions.targetZone))) {
      Fail(aFailure);
    } else if (mGateway) {
      Parts().nodes.NoteFailure(mGateway->address, Now());
      TryGateway();
    } else {
      mLastFailure = aFailure;
      const bool othersReached = mOwner.mMonitor.ReachedLately(Now());
      mOwner.CheckReach();
      if (mOptions.directOnly || othersReached) {
        Fail(aFailure);
      } else {
        TryGateway();
      }
    }
  }

private:
  [[nodiscard]] const parts& Parts() const { return mOwner.mParts; }
  /// Probes open connections and send no request.
  [[nodiscard]] bool Allowed()
  {
    mHeldBack = !mProbe && (!mOwner.Allows(mTarget, mOptions.targetZone) ||
                            !StartAllowed());
    return !mHeldBack;
  }
  /// A grant is for one time, since which the target may have got others; a
  /// target that was warm at the decision may be cold now.
  [[nodiscard]] bool StartAllowed()
  {
    const char* reason = nullptr;
    if (!mOptions.homes.Allows(
          Parts().targets.Regions().RegionOf(mOptions.targetZone))) {
      reason = "not_a_home_region";
    } else if (mOptions.start == start_right::Warm &&
               Parts().targets.ColdAt(mTarget)) {
      reason = "cold";
    } else if (mOptions.start == start_right::Granted &&
               TimeLeft() < milliseconds(0)) {
      reason = "grant_too_old";
    }
    if (reason) {
      mOwner.NoteHeldBack(mTarget, mOptions.targetZone, reason);
    }
    return !reason;
  }
  /// @return Which zones' nodes may get the request; unset if all may.
  [[nodiscard]] std::function<bool(const std::string&)> GatewayFilter() const
  {
    if (mProbe || !mOptions.homes.Restricted()) {
      return {};
    }
    return [this](const std::string& aZone) {
      const region_map& regions = Parts().targets.Regions();
      const std::string& region = regions.RegionOf(aZone);
      return mOptions.homes.Allows(region) ||
             (!region.empty() && region == regions.RegionOf(Parts().zone));
    };
  }
  [[nodiscard]] std::function<bool()> WriteCheck()
  {
    return [self = weak_from_this(), alive = std::weak_ptr<bool>(mOwnerAlive)] {
      const auto exchange = self.lock();
      return exchange && !alive.expired() && exchange->Allowed();
    };
  }
  [[nodiscard]] time_point Now() const { return mOwner.mParts.loop.Now(); }
  [[nodiscard]] milliseconds TimeLeft() const
  {
    return std::chrono::duration_cast<milliseconds>(
      mStarted + mOptions.connectTimeout - Now());
  }

  void SendDirectly()
  {
    exchange_options options = mOptions;
    if (!mOptions.directOnly) {
      options.connectTimeout /= kDirectConnectDivisor;
    }
    options.mayWrite = WriteCheck();
    mInner =
      Parts().client.Send(mTarget, mRequest, options, shared_from_this());
    mTimer = Parts().loop.After(
      kSilenceBeforeCheck, [this, alive = std::weak_ptr<bool>(mOwnerAlive)] {
        if (!alive.expired() && !mOwner.mMonitor.AnsweredSince(mStarted)) {
          mOwner.CheckReach();
        }
      });
  }

  void TryGateway()
  {
    const time_point now = Now();
    const milliseconds left = TimeLeft();
    const auto gateway =
      left > milliseconds(0) && mTried.size() < kMaxGateways
        ? Parts().nodes.ChooseGateway(
            FormatAddress(mTarget), mTried, now, GatewayFilter())
        : std::nullopt;
    if (!gateway) {
      FailLater(mLastFailure);
      return;
    }
    if (!Allowed()) {
      FailLater(exchange_failure::NotSent);
      return;
    }
    mTried.insert(gateway->vm);
    mGateway = *gateway;
    SendToGateway();
  }

  void SendToGateway()
  {
    gateway_call call{ mTarget,
                       mOptions,
                       Parts().nodes.ClockOf(mGateway->vm, Now()) };
    call.options.connectTimeout = TimeLeft();
    exchange_options options;
    options.connectTimeout =
      std::min(call.options.connectTimeout, kGatewayConnectTimeout);
    options.readTimeout = mOptions.readTimeout + mOptions.connectTimeout;
    options.mayWrite = WriteCheck();
    mGatewayError.reset();
    mInner = Parts().client.Send(mGateway->address,
                                 mProbe ? MakeGatewayProbe(call)
                                        : MakeGatewaySend(call, mRequest),
                                 options,
                                 shared_from_this());
  }

  void OnGatewayError(gateway_error aError)
  {
    if (aError == gateway_error::Late && !std::exchange(mLateRetried, true) &&
        TimeLeft() > milliseconds(0)) {
      SendToGateway(); // The response has told the gateway's clock.
      return;
    }
    const auto failure = FailureOf(aError);
    if (failure && !mProbe) {
      Parts().targets.NoteBroken(mTarget, Now());
    }
    if (failure && !NothingSent(*failure)) {
      Fail(*failure);
      return;
    }
    if (failure) {
      mLastFailure = *failure;
      if (++mUnreachable >= kMaxUnreachable) {
        Fail(*failure);
        return;
      }
    } else if (aError == gateway_error::CutOff) {
      Parts().nodes.NoteCutOff(mGateway->address, Now());
    }
    mLateRetried = false;
    TryGateway();
  }

  void Fail(exchange_failure aFailure)
  {
    if (const auto sink = std::exchange(mSink, nullptr)) {
      sink->OnFailure(aFailure);
    }
  }

  /// Fails from the event loop, since senders expect no call while they send.
  void FailLater(exchange_failure aFailure)
  {
    mTimer = Parts().loop.After(duration::zero(),
                                [self = shared_from_this(), aFailure] {
                                  const auto timer = std::move(self->mTimer);
                                  self->Fail(aFailure);
                                });
  }

  target_client& mOwner;
  std::shared_ptr<bool> mOwnerAlive;
  socket_address mTarget;
  http_request mRequest;
  exchange_options mOptions;
  std::shared_ptr<response_sink> mSink;
  bool mHeldBack = false; ///< Nothing was sent by this node's decision.
  bool mProbe;            ///< Asks gateways for a probe instead of sending.
  time_point mStarted;
  std::shared_ptr<http_exchange> mInner;
  std::optional<node_entry> mGateway; ///< Nothing on a direct connection.
  std::optional<gateway_error> mGatewayError;
  std::set<std::string> mTried; ///< VMs of gateways.
  bool mLateRetried = false;
  int mUnreachable = 0;
  exchange_failure mLastFailure = exchange_failure::NotSent;
  std::unique_ptr<timer> mTimer;
};

namespace {

/// The sender's handle of an exchange, which it doesn't keep alive.
template<typename Exchange>
class exchange_handle final : public http_exchange
{
public:
  explicit exchange_handle(const std::shared_ptr<Exchange>& aExchange)
    : mExchange(aExchange)
  {
  }
  void Cancel() override
  {
    if (const auto exchange = mExchange.lock()) {
      exchange->Cancel();
    }
  }

private:
  std::weak_ptr<Exchange> mExchange;
};

} // namespace

target_client::target_client(parts aParts)
  : mParts(std::move(aParts))
  , mHeldBackLines(kHeldBackLinesPerSecond)
{
}

bool
target_client::Allows(const socket_address& aTarget, const std::string& aZone)
{
  if (mParts.targets.Allows(aTarget, aZone)) {
    return true;
  }
  NoteHeldBack(
    aTarget, aZone, OrdersRead() ? "zone_evacuated" : "orders_not_read");
  return false;
}

void
target_client::NoteHeldBack(const socket_address& aTarget,
                            const std::string& aZone,
                            const char* aReason)
{
  ++mHeldBack;
  if (mHeldBackLines.Allow("request_held_back", mParts.loop.Now())) {
    Log(log_level::Info,
        "request_held_back",
        { { "address", FormatAddress(aTarget) },
          { "zone", aZone },
          { "reason", aReason },
          { "held_back", std::to_string(mHeldBack) } });
  }
}

std::shared_ptr<http_exchange>
target_client::Send(const socket_address& aPeer,
                    http_request aRequest,
                    const exchange_options& aOptions,
                    std::shared_ptr<response_sink> aSink)
{
  const auto started = std::make_shared<exchange>(
    *this, aPeer, std::move(aRequest), aOptions, std::move(aSink), false);
  started->Start();
  return std::make_shared<exchange_handle<exchange>>(started);
}

void
target_client::Probe(const socket_address& aPeer,
                     milliseconds aTimeout,
                     std::function<void(std::optional<exchange_failure>)> aDone)
{
  if (CutOff()) {
    ProbeThroughGateway(aPeer, aTimeout, std::move(aDone));
  } else {
    ProbeDirectly(aPeer, aTimeout, std::move(aDone));
  }
}

void
target_client::ProbeThroughGateway(
  const socket_address& aPeer,
  milliseconds aTimeout,
  std::function<void(std::optional<exchange_failure>)> aDone)
{
  exchange_options options;
  options.connectTimeout = options.readTimeout = aTimeout;
  std::make_shared<exchange>(
    *this,
    aPeer,
    http_request{},
    options,
    std::make_shared<response_collector>(
      [done = std::move(aDone)](const http_response* aResponse,
                                exchange_failure aFailure) {
        done(aResponse ? std::nullopt : std::optional(aFailure));
      }),
    true)
    ->Start();
}

void
target_client::ProbeDirectly(
  const socket_address& aPeer,
  milliseconds aTimeout,
  std::function<void(std::optional<exchange_failure>)> aDone)
{
  mParts.client.Probe(aPeer, aTimeout, std::move(aDone));
}

std::vector<socket_address>
target_client::ChooseTargets() const
{
  std::vector<std::pair<std::uint64_t, socket_address>> ranked;
  for (const auto& [id, known] : mParts.targets.All()) {
    // A zone that is evacuated may be switched off.
    if (!known.removedSince && mParts.targets.Allows(known)) {
      ranked.emplace_back(Hash64(id, mChecks), known.entry.address);
    }
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  ranked.resize(std::min(ranked.size(), kCheckedTargets));
  std::vector<socket_address> chosen;
  chosen.reserve(ranked.size());
  for (const auto& [salt, address] : ranked) {
    chosen.push_back(address);
  }
  return chosen;
}

void
target_client::CheckReach()
{
  if (!mMonitor.BeginCheck(mParts.loop.Now())) {
    return;
  }
  const auto targets = ChooseTargets();
  if (targets.empty()) {
    EndCheck(true); // Nothing shows that the links are at fault.
    return;
  }
  ++mChecks;
  struct check
  {
    std::size_t open = 0;
    bool ended = false;
  };
  const auto state = std::make_shared<check>();
  state->open = targets.size();
  for (const socket_address& address : targets) {
    mParts.client.Probe(address,
                        kCheckTimeout,
                        [this, state, alive = std::weak_ptr<bool>(mAlive)](
                          std::optional<exchange_failure> aFailure) {
                          --state->open;
                          if (alive.expired() || state->ended ||
                              (aFailure && state->open > 0)) {
                            return;
                          }
                          state->ended = true;
                          EndCheck(!aFailure);
                        });
  }
}

void
target_client::FindReach(const std::function<void()>& aReached)
{
  for (const socket_address& address : ChooseTargets()) {
    ProbeThroughGateway(
      address, kFindTimeout, [aReached](const auto& aFailure) {
        if (!aFailure) {
          aReached();
        }
      });
  }
}

void
target_client::EndCheck(bool aReached)
{
  const time_point now = mParts.loop.Now();
  if (mMonitor.CutOff() == aReached) {
    Log(log_level::Warning,
        aReached ? "targets_in_reach" : "targets_out_of_reach",
        { { "checks", std::to_string(mChecks) } });
  }
  mMonitor.EndCheck(aReached, now);
  mRecheckTimer.reset();
  if (!aReached) {
    mRecheckTimer = mParts.loop.After(reach_monitor::kRecheckInterval,
                                      [this] { CheckReach(); });
  }
}

} // namespace arbutusferry::node
