#include "arbutusferry/node/software_watch.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

const log_partition kSoftwarePartition{ "af.software", 0, true };
/// Longest wait of a read: what others store while this process runs, it sees
/// in the registry too.
constexpr milliseconds kPollWait{ 20'000 };
/// Age of the view of targets from which on it may lack a version: over two
/// waiting reads of the registry.
constexpr milliseconds kMaxViewAge{ 2'500 };

} // namespace

software_watch::software_watch(parts aParts)
  : mParts(aParts)
  , mFollower(mParts.loop,
              mParts.log,
              kSoftwarePartition,
              keyed_follower::timing{ kPollWait },
              *this)
{
}

void
software_watch::Start()
{
  mFollower.Start();
}

bool
software_watch::ViewIsCurrent() const
{
  return mTargetsReadAt && mParts.loop.Now() - *mTargetsReadAt <= kMaxViewAge;
}

void
software_watch::NoteTargetsRead(duration aAge)
{
  const bool missedSome = !ViewIsCurrent();
  if (missedSome) {
    // Versions may have come and gone unseen; the store may know of them.
    mHistory.Begin(
      mFirstStart && !mTargetsReadAt ? 0 : mParts.loop.UnixMilliseconds());
    mRestorePending = true;
  }
  // The view of a zone's reader may be older than what this node has read.
  const time_point readAt = mParts.loop.Now() - aAge;
  mTargetsReadAt = std::max(mTargetsReadAt.value_or(readAt), readAt);
  if (missedSome) {
    Observe();
    mFollower.ReadNow();
  }
}

void
software_watch::NoteFirstStart()
{
  mFirstStart = true;
  if (mTargetsReadAt) {
    mHistory.NoteFirstStart();
  }
}

void
software_watch::Observe()
{
  if (mTargetsReadAt) {
    mHistory.Note(mParts.targets.SoftwareVersions(),
                  mParts.loop.UnixMilliseconds());
  }
}

void
software_watch::NoteAdded(const target_entry& aTarget)
{
  if (!mHistory.Serves(aTarget.service, aTarget.software)) {
    Observe();
  }
}

void
software_watch::OnRecord(const std::string& aKey,
                         const std::string* aValue,
                         std::uint64_t aOffset)
{
  if (!aValue) {
    mStored.erase(aKey);
  } else if (auto record = DecodeSoftware(*aValue)) {
    mStored[aKey] = std::move(*record);
  } else {
    Log(log_level::Error,
        "software_record_unreadable",
        { { "service", aKey }, { "offset", std::to_string(aOffset) } });
    return;
  }
  if (aValue && !mRestorePending) {
    mHistory.Restore(aKey, mStored[aKey]);
  }
}

void
software_watch::OnCaughtUp()
{
  if (!mRestorePending || !mTargetsReadAt) {
    return;
  }
  mRestorePending = false;
  for (const auto& [service, record] : mStored) {
    mHistory.Restore(service, record);
  }
  Observe();
}

void
software_watch::Save()
{
  if (mSaving || mRestorePending || !ViewIsCurrent()) {
    return;
  }
  append_request request;
  request.where = kSoftwarePartition;
  const auto unsaved = mHistory.Unsaved();
  for (const auto& [service, record] : unsaved) {
    request.records.push_back({ service, EncodeSoftware(record) });
  }
  if (unsaved.empty()) {
    return;
  }
  mSaving = true;
  mParts.log.Append(std::move(request),
                    [this, unsaved, alive = std::weak_ptr<bool>(mAlive)](
                      const append_result& aResult) {
                      if (alive.expired()) {
                        return;
                      }
                      mSaving = false;
                      if (aResult.status != append_status::Done) {
                        return; // The next call tries again.
                      }
                      for (const auto& [service, record] : unsaved) {
                        mHistory.NoteSaved(service, record);
                      }
                    });
}

std::optional<std::string>
software_watch::OnlyOrigin(const std::string& aService) const
{
  return ViewIsCurrent()
           ? mHistory.OnlyOrigin(aService, mParts.loop.UnixMilliseconds())
           : std::nullopt;
}

} // namespace arbutusferry::node
