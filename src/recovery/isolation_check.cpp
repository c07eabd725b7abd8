#include "recovery/isolation_check.hpp"

#include "arbutusferry/logging.hpp"

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Silence of the store after which other nodes are probed: three waits of the
/// read whose responses count as contact (0.3 s).
constexpr milliseconds kStoreSilence{ 900 };
/// Nodes that one round probes: all of them have to be out of reach, so that
/// the loss of single nodes doesn't count as a partition.
constexpr std::size_t kProbedNodes = 3;
/// Time limit of a probe: many times a round trip within a region.
constexpr milliseconds kProbeTimeout{ 300 };
constexpr milliseconds kRoundInterval{ 500 };

} // namespace

void
isolation_check::Step(time_point aStoreContact)
{
  const time_point now = mParts.loop.Now();
  if (now - aStoreContact < kStoreSilence) {
    ++mRound; // Outcomes that are under way no longer count.
    mPending = 0;
    SetIsolated(false);
  } else if (mPending == 0 && now >= mNextRound) {
    StartRound();
  }
}

void
isolation_check::StartRound()
{
  mNextRound = mParts.loop.Now() + kRoundInterval;
  const std::uint64_t round = ++mRound;
  const auto probed =
    mParts.nodes.ChooseOutside(mParts.zone, mParts.vm, round, kProbedNodes);
  if (probed.empty()) {
    SetIsolated(false);
    return;
  }
  mPending = probed.size();
  for (const node_entry& node : probed) {
    mParts.client.Probe(
      node.address,
      kProbeTimeout,
      [this, round, alive = std::weak_ptr<bool>(mAlive)](
        std::optional<exchange_failure> aFailure) {
        if (!alive.expired()) {
          // A host that refuses the connection is within reach.
          OnProbe(round, !aFailure || *aFailure == exchange_failure::Refused);
        }
      });
  }
}

void
isolation_check::OnProbe(std::uint64_t aRound, bool aReached)
{
  if (aRound != mRound || mPending == 0) {
    return;
  }
  --mPending;
  if (aReached) {
    mPending = 0;
    ++mRound;
    SetIsolated(false);
  } else if (mPending == 0) {
    SetIsolated(true);
  }
}

void
isolation_check::SetIsolated(bool aIsolated)
{
  if (mIsolated != aIsolated) {
    mIsolated = aIsolated;
    Log(aIsolated ? log_level::Warning : log_level::Info,
        aIsolated ? "node_isolated" : "node_rejoined",
        { { "zone", mParts.zone } });
  }
}

} // namespace arbutusferry::node
