#include "control/zone_duties.hpp"

#include "arbutusferry/logging.hpp"
#include "arbutusferry/rpc_http.hpp"
#include "environment/json_support.hpp"

namespace arbutusferry {

namespace {

/// Timeout of a call, in addition to the time that the peer may hold it.
constexpr std::chrono::milliseconds kAnswerTimeout{ 500 };
constexpr std::chrono::milliseconds kWatchInterval{ 200 };
constexpr std::chrono::milliseconds kSummaryInterval{ 1000 };
constexpr std::chrono::milliseconds kRelayCheckInterval{ 200 };
/// A relay of another zone that did not answer is skipped for this time.
constexpr std::chrono::seconds kSummaryBackoff{ 5 };

/// Calls a method and parses the answer. RPC failures become errors.
template<typename Read>
auto
CallPeer(rpc_client& aClient,
         const char* aMethod,
         const Json::Value& aParams,
         Read aRead) -> decltype(aRead(aParams))
{
  try {
    return aRead(aClient.Call(aMethod, aParams));
  } catch (const rpc_failure& failure) {
    return MakeError(failure.Sent() ? error_code::Timeout
                                    : error_code::Unreachable,
                     aMethod,
                     "",
                     failure.what());
  }
}

class zone_sync_duty final : public duty
{
public:
  explicit zone_sync_duty(node_state& aState)
    : mState(aState)
  {
  }

  duration Step() override
  {
    const time_point now = mState.Clock().Now();
    std::string address;
    const std::string relay = mState.WithZoneView([&](zone_view& aZoneView) {
      std::string id = aZoneView.Membership().Relay(now);
      if (const auto vm = aZoneView.Membership().Find(id)) {
        address = vm->controlAddress;
      }
      return id;
    });
    if (relay == mState.Options().vm || mState.Stopping()) {
      return kRelayCheckInterval;
    }
    const zone_sync_request request =
      mState.MakeZoneSyncRequest(mSeen, mAnswered);
    Connect(address, request.holdMs);
    const time_point sent = mState.Clock().Now();
    const auto done = Capture([&]() -> result<void> {
      BOOST_LEAF_AUTO(answer,
                      CallPeer(*mClient,
                               "zone.sync",
                               WriteZoneSyncRequest(request),
                               [&](const Json::Value& aValue) {
                                 return ReadZoneSyncResponse(aValue, mAddress);
                               }));
      ARBUTUSFERRY_CHECK(mState.OnZoneSync(request, answer, sent));
      if (mSeen.source != answer.versions.source) {
        // Another process answered; it has none of the earlier reports.
        mState.WithZoneView(
          [](zone_view& aZoneView) { aZoneView.OnRelayChanged(); });
      }
      mSeen = answer.versions;
      mAnswered = answer.number;
      return {};
    });
    const time_point end = mState.Clock().Now();
    const auto* failure = std::get_if<error_info>(&done);
    if (failure != nullptr) {
      LogError(log_level::Warning, "relay_failed", *failure);
      mClient.reset();
    }
    mState.WithZoneView([&](zone_view& aZoneView) {
      if (failure != nullptr) {
        aZoneView.Membership().OnFailed(relay, end);
      } else {
        aZoneView.Membership().OnHeard(relay, end);
      }
    });
    return {};
  }

private:
  void Connect(const std::string& aAddress, std::int64_t aHoldMs)
  {
    if (mClient && mAddress == aAddress && mHoldMs == aHoldMs) {
      return;
    }
    mAddress = aAddress;
    mHoldMs = aHoldMs;
    mClient = MakeHttpRpcClient(
      aAddress, std::chrono::milliseconds(aHoldMs) + kAnswerTimeout);
    mAnswered = 0;
  }

  node_state& mState;
  std::string mAddress;
  std::int64_t mHoldMs = 0;
  std::unique_ptr<rpc_client> mClient;
  list_versions mSeen;
  std::int64_t mAnswered = 0;
};

class zone_summary_duty final : public duty
{
public:
  explicit zone_summary_duty(node_state& aState)
    : mState(aState)
  {
  }

  duration Step() override
  {
    if (!mState.IsRelay()) {
      mPeers.clear();
      return kSummaryInterval;
    }
    const auto vms = mState.WithZoneView(
      [](const zone_view& aZoneView) { return aZoneView.Vms(); });
    std::vector<std::string> zones;
    for (const vm_info& vm : vms) {
      if (vm.zone != mState.Options().zone &&
          std::find(zones.begin(), zones.end(), vm.zone) == zones.end()) {
        zones.push_back(vm.zone);
      }
    }
    const time_point start = mState.Clock().Now();
    for (const std::string& zone : zones) {
      if (mState.Stopping()) {
        break;
      }
      ExchangeSummary(zone, vms);
    }
    const duration spent = mState.Clock().Now() - start;
    return std::max<duration>(kSummaryInterval - spent, {});
  }

private:
  struct peer
  {
    std::string vm;
    std::unique_ptr<rpc_client> client;
    list_versions seen;
    std::map<std::string, time_point> failed; ///< By VM.
  };

  void ExchangeSummary(const std::string& aZone,
                       const std::vector<vm_info>& aVms)
  {
    peer& known = mPeers[aZone];
    const time_point now = mState.Clock().Now();
    std::erase_if(known.failed, [&](const auto& aFailed) {
      return now - aFailed.second > kSummaryBackoff;
    });
    std::vector<std::string> skipped;
    for (const auto& [vm, when] : known.failed) {
      skipped.push_back(vm);
    }
    const auto relay = FirstRelay(aVms, aZone, skipped);
    if (!relay) {
      return;
    }
    if (known.vm != relay->id || !known.client) {
      known.vm = relay->id;
      known.client = MakeHttpRpcClient(relay->controlAddress, kAnswerTimeout);
    }
    zone_summary_request request;
    request.zone = mState.Options().zone;
    request.member = mState.Options().vm;
    request.offset = mState.WithFeed(
      [](const config_feed& aFeed) { return aFeed.State().Offset(); });
    request.seen = known.seen;
    const auto done = Capture([&]() -> result<void> {
      BOOST_LEAF_AUTO(answer,
                      CallPeer(*known.client,
                               "zone.summary",
                               WriteZoneSummaryRequest(request),
                               [&](const Json::Value& aValue) {
                                 return ReadZoneSummaryResponse(
                                   aValue, relay->controlAddress);
                               }));
      ARBUTUSFERRY_CHECK(mState.OnZoneSummary(answer, now));
      known.seen = answer.versions;
      return {};
    });
    if (const auto* failure = std::get_if<error_info>(&done)) {
      LogError(log_level::Debug, "summary_failed", *failure);
      known.failed[relay->id] = now;
      known.client.reset();
    }
  }

  node_state& mState;
  std::map<std::string, peer> mPeers; ///< By zone.
};

class membership_watch final : public duty
{
public:
  membership_watch(node_state& aState, std::shared_ptr<role_keeper> aKeeper)
    : mState(aState)
    , mKeeper(std::move(aKeeper))
  {
  }

  duration Step() override
  {
    mState.UpdateReadsLog(mKeeper->HoldsAny());
    return kWatchInterval;
  }

private:
  node_state& mState;
  std::shared_ptr<role_keeper> mKeeper;
};

} // namespace

std::unique_ptr<duty>
MakeZoneSyncDuty(node_state& aState)
{
  return std::make_unique<zone_sync_duty>(aState);
}

std::unique_ptr<duty>
MakeZoneSummaryDuty(node_state& aState)
{
  return std::make_unique<zone_summary_duty>(aState);
}

std::unique_ptr<duty>
MakeMembershipDuty(node_state& aState, std::shared_ptr<role_keeper> aKeeper)
{
  return std::make_unique<membership_watch>(aState, std::move(aKeeper));
}

} // namespace arbutusferry
