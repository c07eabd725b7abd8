#include "soak.hpp"

#include <algorithm>

namespace arbutusferry::node_soak {

namespace {

using std::chrono::milliseconds;

/// Time for which a fragile target is down after its end.
constexpr milliseconds kDownTime{ 900 };
/// Silence after which the registry removes a target.
constexpr milliseconds kRemovedAfter{ 700 };
constexpr milliseconds kRestartRetryDelay{ 100 };
/// Duration of a request, and of the one that ends the target.
constexpr milliseconds kRunTime{ 5 };
constexpr milliseconds kCallInterval{ 150 };
/// Time after the third end from which undisturbed nodes must know of it
/// (`contact-ms` of the platform), and the further ends that are allowed then.
constexpr std::chrono::seconds kContactTime{ 3 };
constexpr std::size_t kAllowedLateEnds = 3;

} // namespace

void
fragile_target::Start()
{
  mId = mName + "-" + std::to_string(mEnds);
  auto listening =
    Capture([&] { return Listen(mLoop, LoopbackAddress(mPort), *this); });
  if (std::holds_alternative<error_info>(listening)) {
    // A connection of some process has taken the port for a moment.
    mTimer = mLoop.After(kRestartRetryDelay, [this] { Start(); });
    return;
  }
  mListener =
    std::move(std::get<std::unique_ptr<node::http_listener>>(listening));
  mStore.PutRecord("keyed.servers",
                   mId,
                   R"({"service":"fragile","zone":"z0","slots":8,)"
                   R"("state":"ready","born":)" +
                     std::to_string(mLoop.UnixMilliseconds()) +
                     R"(,"address":"127.0.0.1:)" + std::to_string(mPort) +
                     "\"}");
}

void
fragile_target::Handle(node::http_request aRequest,
                       std::shared_ptr<node::responder> aResponder)
{
  if (aRequest.headers.Get("Arbutusferry-Expect-Instance") != mId) {
    node::http_response other;
    other.status = 421;
    aResponder->Send(std::move(other));
    return;
  }
  if (aRequest.body == kCrashingBody) {
    if (!mTimer) {
      onEnd(aResponder->PeerPort());
      mTimer = mLoop.After(kRunTime, [this, aResponder] { End(); });
    }
    return;
  }
  node::http_response response;
  response.status = 200;
  response.headers = { { "Arbutusferry-Request-Id",
                         std::string(
                           aRequest.headers.Get("Arbutusferry-Request-Id")) },
                       { "Arbutusferry-Server-Stamp", "stamp" } };
  mResponses.push_back(mLoop.After(
    kRunTime, [aResponder, response] { aResponder->Send(response); }));
}

void
fragile_target::End()
{
  ++mEnds;
  mListener.reset();
  mResponses.clear();
  mTimer = mLoop.After(kRemovedAfter, [this] {
    mStore.PutRecord("keyed.servers", mId, {});
    mTimer = mLoop.After(kDownTime - kRemovedAfter, [this] {
      const auto ended = std::move(mTimer);
      Start();
    });
  });
}

void
soak_test::CallFragileTargets()
{
  if (mFaultsCleared) {
    return;
  }
  const std::uint64_t call = ++mFragileCalls;
  const auto send = [&](const std::string& aBody, const std::string& aId) {
    SendToNode({ "POST",
                 "/c/x",
                 { { "Arbutusferry-Request-Id", aId },
                   { "Arbutusferry-Deadline-Ms", "800" } },
                 aBody },
               [this, crash = aBody == fragile_target::kCrashingBody](
                 const node::http_response* aResponse, auto) {
                 if (aResponse && aResponse->status == 200) {
                   if (crash) {
                     AddFinding("a request that ends its target was answered");
                   }
                   ++mFragileServed;
                 }
               });
  };
  send(fragile_target::kCrashingBody, "c" + std::to_string(call));
  send("other" + std::to_string(call), "o" + std::to_string(call));
  RunAfter(kCallInterval, [this] { CallFragileTargets(); });
}

void
soak_test::OnFragileEnd(std::uint16_t aSenderPort)
{
  const time_point now = mLoop.Now();
  if (++mFragileEnds == 3) {
    mThirdEnd = now;
  }
  if (!mThirdEnd || now - *mThirdEnd < kContactTime ||
      now < mStoreExcusedUntil) {
    return;
  }
  std::vector<pid_t> processes;
  for (const auto& process : mNodes) {
    processes.push_back(process->pid);
  }
  const auto sender = FindSocketOwner(aSenderPort, processes);
  if (sender && now >= mNodes[*sender]->excusedUntil) {
    ++mLateEnds;
  }
}

void
soak_test::CheckCrashes()
{
  if (mLateEnds > kAllowedLateEnds) {
    AddFinding("a request under which three targets had ended was sent to " +
               std::to_string(mLateEnds) + " more by undisturbed nodes");
  }
}

} // namespace arbutusferry::node_soak
