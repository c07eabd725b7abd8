#include "soak.hpp"

#include <json/value.h>

namespace arbutusferry::node_soak {

namespace {

/// Time after the acknowledged end of a batch from which no reward call of its
/// items may begin (`cancel-ms` of the platform).
constexpr std::chrono::seconds kCancelWithin{ 3 };

} // namespace

node_process*
soak_test::SenderOf(const node::responder& aResponder)
{
  std::vector<pid_t> processes;
  for (const auto& process : mNodes) {
    processes.push_back(process->pid);
  }
  const auto owner = FindSocketOwner(aResponder.PeerPort(), processes);
  return owner ? mNodes[*owner].get() : nullptr;
}

bool
soak_test::HeldUp(const node::responder& aResponder)
{
  const node_process* sender = SenderOf(aResponder);
  return !sender || mLoop.Now() < sender->heldUpUntil ||
         mLoop.Now() < mStoreExcusedUntil;
}

void
soak_test::OnRewardCall(const std::string& aItem,
                        const node::responder& aResponder)
{
  ++mRewardCalls;
  if (!mFinishedItems.contains(aItem)) {
    AddFinding(aItem + ": reward call before the last event of the text");
  }
  const trainer_batch& batch = *mBatchOfItem.at(aItem);
  if (batch.ended && mLoop.Now() - batch.endedAt > kCancelWithin) {
    const node_process* sender = SenderOf(aResponder);
    if (sender && mLoop.Now() >= sender->excusedUntil) {
      AddFinding(aItem + ": reward call after the end of its batch");
    }
  }
}

void
soak_test::OnScored(const std::string& aItem, const std::string& aScore)
{
  if (aScore.empty()) {
    ++mRewardFailures[aItem];
  } else {
    mScores[aItem].insert(aScore);
  }
}

void
soak_test::CheckScore(const std::string& aItem, const Json::Value& aResult)
{
  if (!mScores[aItem].contains(aResult["score"].asString())) {
    AddFinding(aItem + ": score '" + aResult["score"].asString() +
               "' was not given to it");
  }
}

} // namespace arbutusferry::node_soak
