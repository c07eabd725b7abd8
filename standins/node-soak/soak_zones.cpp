#include "soak.hpp"

#include <algorithm>
#include <cstdio>

namespace arbutusferry::node_soak {

namespace {

using std::chrono::milliseconds;

/// Interval at which a target writes its record.
constexpr milliseconds kRecordInterval{ 1'200 };
constexpr milliseconds kRestartRetryDelay{ 100 };
constexpr milliseconds kRunTime{ 5 };
constexpr milliseconds kCallInterval{ 25 };
/// Time after the order from which nothing may arrive (`evacuate-ms`).
constexpr milliseconds kEvacuateTime{ 5'000 };
/// How long a zone stays evacuated, and the pause before the next order.
constexpr milliseconds kEvacuated{ 10'000 };
constexpr milliseconds kBetweenEvacuations{ 1'500 };
/// Between two ends of targets, and how long one is down.
constexpr milliseconds kRestartInterval{ 3'500 };
constexpr milliseconds kDownTime{ 900 };
constexpr std::chrono::seconds kSlidingTime{ 1 };
/// Zone whose evacuation is ordered.
constexpr const char* kEvacuatedZone = "z1";

} // namespace

void
zone_target::Start()
{
  auto listening =
    Capture([&] { return Listen(mLoop, LoopbackAddress(mPort), *this); });
  if (std::holds_alternative<error_info>(listening)) {
    // A connection of some process has taken the port for a moment.
    mTimer = mLoop.After(kRestartRetryDelay, [this] { Start(); });
    return;
  }
  mListener =
    std::move(std::get<std::unique_ptr<node::http_listener>>(listening));
  mBorn = mLoop.UnixMilliseconds();
  mColdUntil = mLoop.Now() + kColdStart;
  mLastSecond.clear();
  WriteRecord();
}

milliseconds
zone_target::ColdLeft() const
{
  return std::max(milliseconds(0),
                  std::chrono::ceil<milliseconds>(mColdUntil - mLoop.Now()));
}

void
zone_target::WriteRecord()
{
  mStore.PutRecord(
    "keyed.servers",
    mId,
    R"({"service":"kiln","zone":")" + mZone +
      R"(","slots":8,"state":"ready","born":)" + std::to_string(mBorn) +
      R"(,"cold-left-ms":)" + std::to_string(ColdLeft().count()) +
      R"(,"address":"127.0.0.1:)" + std::to_string(mPort) + "\"}");
  mTimer = mLoop.After(kRecordInterval, [this] {
    const auto ended = std::move(mTimer);
    WriteRecord();
  });
}

void
zone_target::Restart(duration aDownTime)
{
  if (!mListener) {
    return;
  }
  mListener.reset();
  mResponses.clear();
  mTimer = mLoop.After(aDownTime, [this] {
    const auto ended = std::move(mTimer);
    Start();
  });
}

void
zone_target::CountRequest()
{
  ++mRequests;
  const time_point now = mLoop.Now();
  if (now >= mColdUntil) {
    return;
  }
  ++mColdRequests;
  mLastSecond.push_back(now);
  while (now - mLastSecond.front() >= kSlidingTime) {
    mLastSecond.pop_front();
  }
  mColdPeak = std::max(mColdPeak, mLastSecond.size());
  if (static_cast<double>(mLastSecond.size()) > 1.5 * kPerSecond + 5) {
    onTooMany(*this, mLastSecond.size());
  }
}

void
zone_target::Handle(node::http_request aRequest,
                    std::shared_ptr<node::responder> aResponder)
{
  node::http_response response;
  if (aRequest.headers.Get("Arbutusferry-Expect-Instance") != mId) {
    response.status = 421;
    aResponder->Send(std::move(response));
    return;
  }
  CountRequest();
  onRequest(*this, *aResponder);
  response.status = 200;
  response.headers = {
    { "Arbutusferry-Request-Id",
      std::string(aRequest.headers.Get("Arbutusferry-Request-Id")) },
    { "Arbutusferry-Server-Stamp", "stamp" },
    { "Arbutusferry-Cold-Ms", std::to_string(ColdLeft().count()) }
  };
  mResponses.push_back(mLoop.After(
    kRunTime, [aResponder, response] { aResponder->Send(response); }));
}

void
soak_test::StartZones()
{
  for (int index = 0; index < 3; ++index) {
    auto target = std::make_unique<zone_target>(mLoop,
                                                mStore,
                                                "k" + std::to_string(index),
                                                "z" + std::to_string(index % 2),
                                                FreePort());
    target->onRequest = [this](zone_target& aTarget,
                               const node::responder& aResponder) {
      OnZoneRequest(aTarget.Zone(), aResponder);
    };
    target->onTooMany = [this](zone_target&, std::size_t aCount) {
      AddFinding("cold target: " + std::to_string(aCount) +
                 " requests in a second");
    };
    target->Start();
    mZoneTargets.push_back(std::move(target));
  }
}

void
soak_test::OnZoneRequest(const std::string& aZone,
                         const node::responder& aResponder)
{
  const time_point now = mLoop.Now();
  if (!mEvacuatedAt || aZone != kEvacuatedZone ||
      now - *mEvacuatedAt < kEvacuateTime) {
    return;
  }
  // A node that is cut off from the store need not know the order.
  const node_process* sender = SenderOf(aResponder);
  if (sender && now >= sender->excusedUntil && now >= mStoreExcusedUntil) {
    AddFinding("node " + std::to_string(sender->index) +
               " sent to an evacuated zone");
  } else {
    ++mExcusedZoneRequests;
  }
}

void
soak_test::OrderEvacuation()
{
  if (mFaultsCleared) {
    return;
  }
  mStore.PutRecord("keyed.op", std::string("evacuate/") + kEvacuatedZone, "{}");
  mEvacuatedAt = mLoop.Now();
  ++mEvacuations;
  RunAfter(kEvacuated, [this] {
    mEvacuatedAt.reset();
    mStore.PutRecord("keyed.op", std::string("evacuate/") + kEvacuatedZone, {});
    RunAfter(kBetweenEvacuations, [this] { OrderEvacuation(); });
  });
}

void
soak_test::RestartZoneTargets()
{
  if (mFaultsCleared) {
    return;
  }
  // All together half of the time, as when power returns.
  const bool all = RandomBelow(2) == 0;
  const std::size_t chosen = RandomBelow(mZoneTargets.size());
  for (std::size_t index = 0; index < mZoneTargets.size(); ++index) {
    if (all || index == chosen) {
      mZoneTargets[index]->Restart(kDownTime);
    }
  }
  RunAfter(kRestartInterval, [this] { RestartZoneTargets(); });
}

void
soak_test::CallZoneTargets()
{
  if (mFaultsCleared) {
    return;
  }
  SendToNode(
    { "POST",
      "/k/x",
      { { "Arbutusferry-Request-Id", "k" + std::to_string(++mZoneCalls) },
        { "Arbutusferry-Deadline-Ms", "800" } },
      "body" },
    [this](const node::http_response* aResponse, auto) {
      mZoneServed += aResponse && aResponse->status == 200 ? 1 : 0;
    });
  RunAfter(kCallInterval, [this] { CallZoneTargets(); });
}

void
soak_test::PrintZones()
{
  std::size_t peak = 0;
  std::uint64_t cold = 0;
  for (const auto& target : mZoneTargets) {
    peak = std::max(peak, target->ColdPeak());
    cold += target->ColdRequests();
  }
  std::printf("zones: %llu evacuations, %llu requests there of excused nodes, "
              "%llu of %llu calls served, %llu requests at cold targets, at "
              "most %zu in a second\n",
              static_cast<unsigned long long>(mEvacuations),
              static_cast<unsigned long long>(mExcusedZoneRequests),
              static_cast<unsigned long long>(mZoneServed),
              static_cast<unsigned long long>(mZoneCalls),
              static_cast<unsigned long long>(cold),
              peak);
  if (mZoneServed == 0 || cold == 0 || mEvacuations == 0) {
    AddFinding("zones: the load reached no target, or no cold one");
  }
}

} // namespace arbutusferry::node_soak
