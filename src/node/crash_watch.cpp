#include "arbutusferry/node/crash_watch.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

const log_partition kCrashPartition{ "af.crashes", 0, true };
/// Longest wait of a read. A read may miss a record that is written as it
/// arrives, and all nodes are to know within `contact-ms` (3 s).
constexpr milliseconds kPollWait{ 2'000 };
/// Time limit of a probe: many times a round trip within a region.
constexpr milliseconds kProbeTimeout{ 300 };
/// Delay of the second probe of a target that accepted the first: enough for a
/// process to end, and a fraction of the time for which it is down.
constexpr milliseconds kSecondProbeDelay{ 150 };
constexpr milliseconds kWriteRetryDelay{ 200 };
/// Records that wait to be written. More are dropped: nodes then count fewer
/// ended targets for the request.
constexpr std::size_t kMaxOutbox = 1'024;
/// Requests that a node remembers as served, about 0.3 MB in two sets.
constexpr std::size_t kMaxServed = 2'048;

} // namespace

crash_watch::crash_watch(parts aParts)
  : mParts(aParts)
  , mFollower(mParts.loop,
              mParts.log,
              kCrashPartition,
              keyed_follower::timing{ kPollWait },
              *this)
{
}

std::optional<milliseconds>
crash_watch::BlockedFor(const std::string& aFingerprint) const
{
  return mLedger.BlockedFor(aFingerprint, mUnconfirmed, mParts.loop.Now());
}

void
crash_watch::NoteBroken(const std::string& aFingerprint,
                        const target_entry& aTarget)
{
  const bool probing = std::any_of(
    mUnconfirmed.begin(), mUnconfirmed.end(), [&](const auto& aEntry) {
      return aEntry.second.target == aTarget.id &&
             aEntry.second.bornUnixMs == aTarget.bornUnixMs;
    });
  const crash_report report{ aFingerprint,
                             aTarget.id,
                             aTarget.bornUnixMs,
                             mServed.contains(aFingerprint) ||
                               mServedBefore.contains(aFingerprint) };
  mUnconfirmed.insert_or_assign(CrashKey(report), report);
  if (probing) {
    return;
  }
  // A target whose process has ended refuses connections; one that only closed
  // or reset a connection accepts them.
  Probe(aTarget, [this, aTarget](std::optional<exchange_failure> aFailure) {
    if (aFailure) {
      OnProbed(aTarget, aFailure);
      return;
    }
    // A process may close its connections some time before it ends.
    auto& again = mSecondProbes[aTarget.id];
    again = mParts.loop.After(kSecondProbeDelay, [this, aTarget] {
      const auto ended = mSecondProbes.extract(aTarget.id);
      Probe(aTarget, [this, aTarget](std::optional<exchange_failure> aSecond) {
        OnProbed(aTarget, aSecond);
      });
    });
  });
}

void
crash_watch::Probe(const target_entry& aTarget,
                   std::function<void(std::optional<exchange_failure>)> aDone)
{
  mParts.client.Probe(
    aTarget.address,
    kProbeTimeout,
    [done = std::move(aDone), alive = std::weak_ptr<bool>(mAlive)](
      std::optional<exchange_failure> aFailure) {
      if (!alive.expired()) {
        done(aFailure);
      }
    });
}

void
crash_watch::OnProbed(const target_entry& aTarget,
                      std::optional<exchange_failure> aFailure)
{
  const bool ended = aFailure == exchange_failure::Refused;
  std::erase_if(mUnconfirmed, [&](const auto& aEntry) {
    const auto& [key, report] = aEntry;
    if (report.target != aTarget.id ||
        report.bornUnixMs != aTarget.bornUnixMs) {
      return false;
    }
    if (ended) {
      Log(log_level::Info,
          "target_ended_under_request",
          { { "fingerprint", report.fingerprint },
            { "target", report.target },
            { "served_before", report.servedBefore ? "yes" : "no" } });
      mLedger.Add(report, mParts.loop.Now());
      Write(key, EncodeCrash(report));
    }
    return true;
  });
}

void
crash_watch::NoteServed(const std::string& aFingerprint)
{
  mServed.insert(aFingerprint);
  if (mServed.size() >= kMaxServed) {
    mServedBefore = std::exchange(mServed, {});
  }
  std::erase_if(mUnconfirmed, [&](const auto& aEntry) {
    return aEntry.second.fingerprint == aFingerprint;
  });
  for (const std::string& key : mLedger.NoteServed(aFingerprint)) {
    Write(key, {});
  }
}

void
crash_watch::NoteRecord(const target_entry& aTarget)
{
  mLedger.NoteAlive(aTarget.id, aTarget.bornUnixMs, mParts.loop.Now());
}

void
crash_watch::Expire(bool aRemove)
{
  mLedger.Expire(mParts.loop.Now());
  if (aRemove) {
    for (const std::string& key : mLedger.EndedKeys()) {
      Write(key, {});
    }
  }
}

void
crash_watch::OnRecord(const std::string& aKey,
                      const std::string* aValue,
                      std::uint64_t aOffset)
{
  if (!aValue) {
    mLedger.Remove(aKey);
  } else if (const auto report = DecodeCrash(*aValue)) {
    mLedger.Add(*report, mParts.loop.Now());
  } else {
    Log(log_level::Error,
        "crash_report_unreadable",
        { { "key", aKey }, { "offset", std::to_string(aOffset) } });
  }
}

void
crash_watch::Write(const std::string& aKey, std::string aValue)
{
  if (mOutbox.size() >= kMaxOutbox && !mOutbox.contains(aKey)) {
    Log(log_level::Warning, "crash_report_dropped", { { "key", aKey } });
    return;
  }
  mOutbox.insert_or_assign(aKey, std::move(aValue));
  Flush();
}

void
crash_watch::Flush()
{
  if (mWriting || mRetryTimer || mOutbox.empty()) {
    return;
  }
  mWriting = true;
  append_request request;
  request.where = kCrashPartition;
  for (const auto& [key, value] : mOutbox) {
    request.records.push_back({ key, value });
  }
  const auto sent = mOutbox;
  mParts.log.Append(
    std::move(request),
    [this, sent, alive = std::weak_ptr<bool>(mAlive)](
      const append_result& aResult) {
      if (alive.expired()) {
        return;
      }
      mWriting = false;
      if (aResult.status != append_status::Done) {
        mRetryTimer = mParts.loop.After(kWriteRetryDelay, [this] {
          mRetryTimer.reset();
          Flush();
        });
        return;
      }
      std::erase_if(mOutbox, [&](const auto& aEntry) {
        const auto written = sent.find(aEntry.first);
        return written != sent.end() && written->second == aEntry.second;
      });
      Flush();
    });
}

} // namespace arbutusferry::node
