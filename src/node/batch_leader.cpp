#include "arbutusferry/node/batch_leader.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Interval at which runs, orders and waiting items are checked.
constexpr milliseconds kTickInterval{ 50 };
/// Interval of progress saves, and the new events that make a save of an item
/// worth its bytes. A new leader generates unsaved events again.
constexpr milliseconds kProgressSaveInterval{ 300 };
constexpr std::size_t kMinEventsToSave = 8;
/// How long the result texts of an ended batch stay in memory, also after they
/// were read from the journal: callers read a batch page by page.
constexpr milliseconds kTextCacheTime{ 5'000 };
const log_partition kBatchPartition{ "af.batches", 0, true };

} // namespace

batch_leader::batch_leader(parts aParts, std::uint64_t aFence)
  : mParts(std::move(aParts))
  , mFence(aFence)
  , mJournal(mParts.loop,
             mParts.log,
             kBatchPartition,
             aFence,
             [this] { mParts.superseded(); })
  , mPool({ mParts.loop,
            mParts.targetClient,
            mParts.targets,
            mParts.protocol,
            mParts.holder,
            aFence,
            [this] { mParts.superseded(); },
            [this] { SchedulePlacement(); } })
{
}

batch_leader::~batch_leader()
{
  mPool.DetachAll();
  CancelRewardCalls();
  for (waiter& entry : std::exchange(mWaiters, {})) {
    entry.done();
  }
}

void
batch_leader::Start(
  std::function<void(const std::map<std::int64_t, std::string>&)> aReady)
{
  mOnReady = std::move(aReady);
  mJournal.Open(
    [this](journal_contents aContents) { Restore(std::move(aContents)); });
}

void
batch_leader::Restore(journal_contents aContents)
{
  std::size_t results = 0;
  for (batch_request& request : aContents.batches) {
    const std::string id = request.id;
    batch& added =
      mBatches.Add(std::move(request), aContents.ended.contains(id));
    added.journalParts = aContents.partCounts[id];
    added.endStored = added.Ended();
    added.endedAt = mParts.loop.Now();
    for (auto& [position, result] : aContents.results[id]) {
      // Positions are written in order, so there should be no gap.
      if (position != added.Results().size() ||
          result.item >= added.Items().size()) {
        Log(log_level::Error,
            "journal_gap",
            { { "batch", id }, { "position", std::to_string(position) } });
        break;
      }
      added.CommitResult(std::move(result));
      ++results;
    }
    for (auto& [index, progress] : aContents.progress[id]) {
      if (index >= added.Items().size() ||
          added.Items()[index].phase == item_phase::Committed) {
        continue;
      }
      item_state& item = added.Items()[index];
      if (added.Ended()) {
        mBatches.KeepProgress(added.Request().items[index].id,
                              std::move(progress),
                              mParts.loop.Now());
      } else if (progress.events.size() > item.progress.events.size() ||
                 progress.complete) {
        item.savedEvents = std::max<std::size_t>(1, progress.events.size());
        item.progress = std::move(progress);
      }
    }
  }
  Log(log_level::Info,
      "journal_read",
      { { "batches", std::to_string(mBatches.All().size()) },
        { "results", std::to_string(results) } });
  mLimitRecords.Restore(aContents.limits, mParts.loop.Now());
  SaveLimits();
  mReady = true;
  for (const auto& [id, entry] : mBatches.All()) {
    FinishCompleteTexts(*entry);
  }
  mTicker = std::make_unique<periodic_timer>(
    mParts.loop, kTickInterval, [this] { Tick(); });
  SchedulePlacement();
  mOnReady(aContents.usage);
}

void
batch_leader::SaveLimits()
{
  auto changes = mLimitRecords.Synchronize(mParts.targets, mParts.loop.Now());
  if (!changes.empty()) {
    mJournal.Append(std::move(changes), {});
  }
}

void
batch_leader::SchedulePlacement()
{
  if (mReady && !mPlacementTimer) {
    mPlacementTimer = mParts.loop.After(duration::zero(), [this] {
      mPlacementTimer.reset();
      PlaceItems();
    });
  }
}

void
batch_leader::Submit(batch_request aRequest, std::function<void()> aDone)
{
  const std::string id = aRequest.id;
  if (mBatches.Find(id)) {
    aDone();
    return;
  }
  const auto accepting = mPendingSubmits.find(id);
  if (accepting != mPendingSubmits.end()) {
    accepting->second.push_back(std::move(aDone));
    return;
  }
  mPendingSubmits[id].push_back(std::move(aDone));
  std::vector<std::string> values =
    EncodeBatchParts(aRequest, mParts.log.MaxRecordBytes() - kRecordOverhead);
  const std::size_t count = values.size();
  auto shared = std::make_shared<batch_request>(std::move(aRequest));
  for (std::size_t part = 0; part < count; ++part) {
    std::vector<log_record> records{ { BatchKey(id, part),
                                       std::move(values[part]) } };
    std::function<void()> done;
    if (part + 1 == count) {
      done = [this, shared, id, count] {
        Log(log_level::Info,
            "batch_accepted",
            { { "batch", id },
              { "tenant", shared->team },
              { "model", shared->model },
              { "step", std::to_string(shared->step) },
              { "minimum_version", std::to_string(shared->minimumVersion) },
              { "items", std::to_string(shared->items.size()) } });
        batch& added = mBatches.Add(std::move(*shared));
        added.journalParts = count;
        FinishCompleteTexts(added);
        SchedulePlacement();
        const auto waiting = mPendingSubmits.extract(id);
        for (const auto& callback : waiting.mapped()) {
          callback();
        }
      };
    }
    mJournal.Append(std::move(records), std::move(done));
  }
}

batch*
batch_leader::Find(const std::string& aId, const std::string& aTeam)
{
  batch* found = mBatches.Find(aId);
  // A batch that was accepted without a key is open to all callers.
  return found &&
             (found->Request().team.empty() || found->Request().team == aTeam)
           ? found
           : nullptr;
}

void
batch_leader::AwaitResults(const std::string& aId,
                           std::size_t aAfter,
                           milliseconds aWait,
                           std::function<void()> aDone)
{
  const time_point now = mParts.loop.Now();
  waiter entry{ aId, aAfter, { now, now + aWait }, {}, std::move(aDone) };
  if (Due(entry)) {
    entry.done();
    return;
  }
  mWaiters.push_back(std::move(entry));
}

bool
batch_leader::Due(waiter& aEntry)
{
  const time_point now = mParts.loop.Now();
  batch* found = mBatches.Find(aEntry.batch);
  if (!found || found->Closed() || now >= aEntry.wait.until) {
    return true;
  }
  if (found->Results().size() <= aEntry.after) {
    return false;
  }
  if (!aEntry.resultsSince) {
    aEntry.resultsSince = now;
  }
  const batch_request& request = found->Request();
  const route_entry* route = request.items.empty()
                               ? nullptr
                               : mParts.environment.Environment().FindRoute(
                                   request.host, request.items.front().path);
  step_state step;
  step.items = request.items.size();
  step.missing = found->MissingItems();
  step.due = now + (route ? route->resultDue : milliseconds(0)) - Age(*found);
  return now >= AnswerTime(aEntry.wait, step, *aEntry.resultsSince);
}

void
batch_leader::LoadTexts(const std::string& aId,
                        std::size_t aFrom,
                        std::function<void()> aDone)
{
  batch* found = mBatches.Find(aId);
  if (!found || aFrom >= found->Results().size() ||
      found->Results()[aFrom].loaded) {
    aDone();
    return;
  }
  mJournal.ReadTexts(
    aId,
    aFrom,
    [this, aId, done = std::move(aDone), alive = std::weak_ptr<bool>(mAlive)](
      std::map<std::size_t, std::string>& aTexts) {
      batch* owner = alive.expired() ? nullptr : mBatches.Find(aId);
      if (owner) {
        owner->textsReadAt = mParts.loop.Now();
      }
      for (auto& [position, text] : aTexts) {
        if (owner && position < owner->Results().size() &&
            !owner->Results()[position].loaded) {
          owner->SetText(position, std::move(text));
        }
      }
      done();
    });
}

void
batch_leader::WakeWaiters()
{
  std::vector<std::function<void()>> due;
  std::erase_if(mWaiters, [&](waiter& aEntry) {
    if (!Due(aEntry)) {
      return false;
    }
    due.push_back(std::move(aEntry.done));
    return true;
  });
  for (const auto& done : due) {
    done();
  }
}

void
batch_leader::End(batch& aBatch, std::function<void()> aDone)
{
  if (aBatch.endStored) {
    aDone();
    return;
  }
  const auto [pending, first] = mPendingEnds.try_emplace(aBatch.Request().id);
  pending->second.push_back(std::move(aDone));
  if (!first) {
    return;
  }
  if (!aBatch.Ended()) {
    CloseBatch(aBatch);
  }
  StoreEnd(aBatch);
}

void
batch_leader::CloseBatch(batch& aBatch)
{
  const std::string id = aBatch.Request().id;
  const auto runs = mPool.Runs();
  for (const auto& run : runs) {
    if (run->Batch() == id) {
      mPool.CancelRun(run);
    }
  }
  CancelRewardCalls(aBatch);
  const std::size_t uncommitted =
    aBatch.Items().size() - aBatch.Results().size();
  mParts.metrics.Observe("ferry_step_seconds",
                         { { "model", aBatch.Request().model },
                           { "tenant", aBatch.Request().team } },
                         static_cast<double>(mParts.loop.UnixMilliseconds() -
                                             aBatch.Request().submittedUnixMs) /
                           1000.0);
  Log(log_level::Info,
      "batch_ended",
      { { "batch", id },
        { "groups", std::to_string(aBatch.CompleteGroups()) },
        { "wanted", std::to_string(aBatch.Request().neededGroups) },
        { "unlisted", std::to_string(uncommitted) },
        { "ms",
          std::to_string(mParts.loop.UnixMilliseconds() -
                         aBatch.Request().submittedUnixMs) } });
  for (std::size_t index = 0; index < aBatch.Items().size(); ++index) {
    const item_state& item = aBatch.Items()[index];
    if (item.phase == item_phase::Committed ||
        item.progress.events.size() <= item.savedEvents) {
      continue;
    }
    std::string encoded = EncodeProgress(item.progress);
    if (encoded.size() + kRecordOverhead <= mParts.log.MaxRecordBytes()) {
      mJournal.Append({ { ProgressKey(id, index), std::move(encoded) } }, {});
    }
  }
  mBatches.End(aBatch, mParts.loop.Now());
  WakeWaiters();
  SchedulePlacement();
}

void
batch_leader::StoreEnd(const batch& aBatch)
{
  const std::string id = aBatch.Request().id;
  std::vector<log_record> records{ { EndKey(id), "1" } };
  // Only the ids and groups of an ended batch's items are still needed. They
  // must not be stored without the end: no item could run.
  std::string shortened = "1:" + EncodeBatch(aBatch.Request(), false);
  const bool fits =
    shortened.size() + kRecordOverhead <= mParts.log.MaxRecordBytes();
  if (fits) {
    records.push_back({ BatchKey(id, 0), std::move(shortened) });
    for (std::size_t part = 1; part < aBatch.journalParts; ++part) {
      records.push_back({ BatchKey(id, part), {} });
    }
  }
  mJournal.Append(
    std::move(records),
    [this, id, fits, since = mParts.loop.Now()] {
      if (batch* stored = mBatches.Find(id)) {
        stored->endStored = true;
        stored->journalParts = fits ? 1 : stored->journalParts;
      }
      const auto waiting = mPendingEnds.extract(id);
      Log(log_level::Info,
          "batch_end_stored",
          { { "batch", id },
            { "calls", std::to_string(waiting.mapped().size()) },
            { "ms",
              std::to_string(ToMilliseconds(mParts.loop.Now() - since)) } });
      for (const auto& done : waiting.mapped()) {
        done();
      }
    },
    [this, id] { mPendingEnds.extract(id); });
}

void
batch_leader::SetNewestVersion(const std::string& aModel, std::int64_t aVersion)
{
  mPool.SetNewestVersion(aModel, aVersion);
  SchedulePlacement();
}

std::size_t
batch_leader::ActiveRuns() const
{
  return mPool.Runs().size();
}

void
batch_leader::ExpireBatches()
{
  const std::int64_t now = mParts.loop.UnixMilliseconds();
  std::vector<log_record> tombstones;
  std::vector<std::string> expiredIds;
  for (const auto& [id, entry] : mBatches.All()) {
    const batch_request& request = entry->Request();
    if (entry->Ended() && entry->HoldsTexts() &&
        std::max(entry->endedAt, entry->textsReadAt) + kTextCacheTime <
          mParts.loop.Now()) {
      entry->ReleaseTexts();
    }
    // Twice the guaranteed time, since clocks differ.
    if (!entry->Closed() ||
        now - request.submittedUnixMs < 2 * mParts.readableFor.count()) {
      continue;
    }
    expiredIds.push_back(id);
    for (std::size_t part = 0; part < entry->journalParts; ++part) {
      tombstones.push_back({ BatchKey(id, part), {} });
    }
    tombstones.push_back({ EndKey(id), {} });
    for (std::size_t at = 0; at < entry->Results().size(); ++at) {
      tombstones.push_back({ ResultKey(id, at), {} });
      tombstones.push_back({ TextKey(id, at), {} });
    }
    for (std::size_t index = 0; index < entry->Items().size(); ++index) {
      if (entry->Items()[index].phase != item_phase::Committed) {
        tombstones.push_back({ ProgressKey(id, index), {} });
      }
    }
  }
  for (const std::string& id : expiredIds) {
    mBatches.Erase(id);
  }
  if (!tombstones.empty()) {
    mJournal.Append(std::move(tombstones), {});
  }
  mBatches.ExpireProgress(mParts.loop.Now());
}

void
batch_leader::Tick()
{
  WakeWaiters();
  if (mHandedOver) {
    return;
  }
  SaveLimits();
  MoveSlowRuns();
  MoveEarly();
  PlaceItems();
  SendRewardCalls();
  const time_point now = mParts.loop.Now();
  if (!mSavingProgress && now - mLastProgressSave >= kProgressSaveInterval) {
    mLastProgressSave = now;
    mSavingProgress = true;
    SaveProgress(kMinEventsToSave, [this] { mSavingProgress = false; });
  }
  std::set<std::string> models;
  const environment_view& environment = mParts.environment.Environment();
  for (const service_entry& service : environment.Services()) {
    models.insert(service.models.begin(), service.models.end());
  }
  if (mParts.maySendOrders()) {
    mPool.SendWeightOrders(
      models, environment.SingleVersionModels(), mUnplaced);
  }
  ExpireItems();
  ExpireBatches();
  mParts.metrics.SetGauge(
    "ferry_runs", {}, static_cast<double>(mPool.Runs().size()));
  mParts.metrics.SetGauge("ferry_journal_waiting",
                          {},
                          static_cast<double>(mJournal.PendingAppends()));
}

} // namespace arbutusferry::node
