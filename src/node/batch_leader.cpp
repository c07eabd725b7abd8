#include "arbutusferry/node/batch_leader.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Interval at which runs, orders and waiting items are looked at.
constexpr milliseconds kTick{ 50 };
/// Pause of an item after a target answered that it failed.
constexpr milliseconds kFailedPause{ 100 };
/// An item is given up after this many failures for each attempt that its
/// route allows; three would be refused work.
constexpr int kFailuresPerAttempt = 2;
/// Runs that are moved to another sampler in one tick.
constexpr std::size_t kMovesPerTick = 8;

/// Interval at which progress is saved, and how many events of an item make a
/// save worth its bytes: what a new leader would have to generate again.
constexpr milliseconds kSaveInterval{ 300 };
constexpr std::size_t kSaveEvents = 8;

/// Room of a record for its key and lengths, in bytes.
constexpr std::size_t kRecordOverhead = 300;
/// Progress goes in calls of this part of the largest one, so that results
/// don't wait behind it for long.
constexpr std::size_t kProgressCalls = 4;
/// Texts of an ended batch stay in memory for so long after its end.
constexpr milliseconds kTextsKept{ 5'000 };

const log_partition kBatchPartition{ "af.batches", 0, true };

} // namespace

batch_leader::batch_leader(parts aParts, std::uint64_t aFence)
  : mParts(std::move(aParts))
  , mJournal(mParts.loop,
             mParts.log,
             kBatchPartition,
             aFence,
             [this] { mParts.superseded(); })
  , mPool({ mParts.loop,
            mParts.client,
            mParts.targets,
            mParts.protocol,
            mParts.holder,
            aFence,
            [this] { mParts.superseded(); },
            [this] { ScheduleSoon(); } })
{
}

batch_leader::~batch_leader()
{
  mPool.CancelAll();
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
    batch& added = mBook.Add(std::move(request), aContents.ended.contains(id));
    added.journalParts = aContents.parts[id];
    added.endedAt = mParts.loop.Now();
    for (auto& [position, result] : aContents.results[id]) {
      // Positions are written in order, so a gap can't be.
      if (position != added.Results().size() ||
          result.item >= added.Items().size()) {
        Log(log_level::Error,
            "journal_gap",
            { { "batch", id }, { "position", std::to_string(position) } });
        break;
      }
      added.List(std::move(result));
      ++results;
    }
    for (auto& [index, progress] : aContents.progress[id]) {
      if (index >= added.Items().size() ||
          added.Items()[index].phase == item_phase::Listed) {
        continue;
      }
      open_item& item = added.Items()[index];
      if (added.Ended()) {
        mBook.Keep(added.Request().items[index].id,
                   std::move(progress),
                   mParts.loop.Now());
      } else if (progress.events.size() > item.progress.events.size()) {
        item.savedEvents = progress.events.size();
        item.progress = std::move(progress);
      }
    }
  }
  Log(log_level::Info,
      "journal_read",
      { { "batches", std::to_string(mBook.All().size()) },
        { "results", std::to_string(results) } });
  mReady = true;
  mTicker = std::make_unique<periodic>(mParts.loop, kTick, [this] { Tick(); });
  ScheduleSoon();
  mOnReady(aContents.usage);
}

void
batch_leader::ScheduleSoon()
{
  if (mReady && !mSoon) {
    mSoon = mParts.loop.After(duration::zero(), [this] {
      mSoon.reset();
      Place();
    });
  }
}

void
batch_leader::Submit(batch_request aRequest, std::function<void()> aDone)
{
  const std::string id = aRequest.id;
  if (mBook.Find(id)) {
    aDone();
    return;
  }
  const auto accepting = mAccepting.find(id);
  if (accepting != mAccepting.end()) {
    accepting->second.push_back(std::move(aDone));
    return;
  }
  mAccepting[id].push_back(std::move(aDone));
  const std::string encoded = EncodeBatch(aRequest);
  const std::size_t room = mParts.log.MaxRecordBytes() - kRecordOverhead;
  const std::size_t count = (encoded.size() + 16 + room - 1) / room;
  const std::string text = std::to_string(count) + ":" + encoded;
  auto shared = std::make_shared<batch_request>(std::move(aRequest));
  for (std::size_t part = 0; part < count; ++part) {
    std::vector<log_record> records{ { BatchKey(id, part),
                                       text.substr(part * room, room) } };
    std::function<void()> done;
    if (part + 1 == count) {
      done = [this, shared, id, count] {
        Log(log_level::Info,
            "batch_accepted",
            { { "batch", id },
              { "tenant", shared->tenant },
              { "model", shared->model },
              { "step", std::to_string(shared->step) },
              { "minimum_version", std::to_string(shared->minimumVersion) },
              { "items", std::to_string(shared->items.size()) } });
        mBook.Add(std::move(*shared)).journalParts = count;
        ScheduleSoon();
        const auto waiting = mAccepting.extract(id);
        for (const auto& callback : waiting.mapped()) {
          callback();
        }
      };
    }
    mJournal.Append(std::move(records), std::move(done));
  }
}

batch*
batch_leader::Find(const std::string& aId, const std::string& aTenant)
{
  batch* found = mBook.Find(aId);
  return found && found->Request().tenant == aTenant ? found : nullptr;
}

void
batch_leader::AwaitResults(const std::string& aId,
                           std::size_t aAfter,
                           milliseconds aWait,
                           std::function<void()> aDone)
{
  batch* found = mBook.Find(aId);
  if (!found || found->Closed() || found->Results().size() > aAfter ||
      aWait.count() <= 0) {
    aDone();
    return;
  }
  mWaiters.push_back(
    { aId, aAfter, mParts.loop.Now() + aWait, std::move(aDone) });
}

void
batch_leader::LoadTexts(const std::string& aId,
                        std::size_t aFrom,
                        std::function<void()> aDone)
{
  batch* found = mBook.Find(aId);
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
      batch* owner = alive.expired() ? nullptr : mBook.Find(aId);
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
  const time_point now = mParts.loop.Now();
  std::vector<std::function<void()>> due;
  std::erase_if(mWaiters, [&](waiter& aEntry) {
    batch* found = mBook.Find(aEntry.batch);
    if (found && !found->Closed() && found->Results().size() <= aEntry.after &&
        now < aEntry.until) {
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
  if (aBatch.Ended()) {
    aDone();
    return;
  }
  const std::string id = aBatch.Request().id;
  const auto runs = mPool.Runs();
  for (const auto& run : runs) {
    if (run->Batch() == id) {
      mPool.CancelRun(run);
    }
  }
  const std::size_t unlisted = aBatch.Items().size() - aBatch.Results().size();
  mParts.metrics.Observe("ferry_step_seconds",
                         { { "model", aBatch.Request().model },
                           { "tenant", aBatch.Request().tenant } },
                         static_cast<double>(mParts.loop.UnixMilliseconds() -
                                             aBatch.Request().submittedUnixMs) /
                           1000.0);
  Log(log_level::Info,
      "batch_ended",
      { { "batch", id },
        { "groups", std::to_string(aBatch.CompleteGroups()) },
        { "wanted", std::to_string(aBatch.Request().targetGroups) },
        { "unlisted", std::to_string(unlisted) },
        { "ms",
          std::to_string(mParts.loop.UnixMilliseconds() -
                         aBatch.Request().submittedUnixMs) } });
  // Only the names of an ended batch's items are needed from now on.
  std::vector<log_record> records{
    { EndKey(id), "1" },
    { BatchKey(id, 0), "1:" + EncodeBatch(aBatch.Request(), false) }
  };
  for (std::size_t part = 1; part < aBatch.journalParts; ++part) {
    records.push_back({ BatchKey(id, part), {} });
  }
  aBatch.journalParts = 1;
  for (std::size_t index = 0; index < aBatch.Items().size(); ++index) {
    const open_item& item = aBatch.Items()[index];
    if (item.phase == item_phase::Listed ||
        item.progress.events.size() <= item.savedEvents) {
      continue;
    }
    std::string encoded = EncodeProgress(item.progress);
    if (encoded.size() + kRecordOverhead <= mParts.log.MaxRecordBytes()) {
      mJournal.Append({ { ProgressKey(id, index), std::move(encoded) } }, {});
    }
  }
  mBook.End(aBatch, mParts.loop.Now());
  WakeWaiters();
  ScheduleSoon();
  mJournal.Append(std::move(records), std::move(aDone));
}

void
batch_leader::NameVersion(const std::string& aModel, std::int64_t aVersion)
{
  mPool.NameVersion(aModel, aVersion);
  ScheduleSoon();
}

std::size_t
batch_leader::OpenItems() const
{
  return mPool.Runs().size();
}

std::vector<waiting_item>
batch_leader::Waiting()
{
  const time_point now = mParts.loop.Now();
  std::vector<waiting_item> waiting;
  for (const auto& [id, entry] : mBook.All()) {
    if (entry->Closed()) {
      continue;
    }
    const batch_request& request = entry->Request();
    std::map<std::string, std::int64_t> hints;
    for (const batch_item& item : request.items) {
      std::int64_t& hint = hints[item.group];
      hint = std::max(hint, item.lengthHint);
    }
    for (std::size_t index = 0; index < entry->Items().size(); ++index) {
      const open_item& item = entry->Items()[index];
      if (item.phase != item_phase::Waiting || item.notBefore > now) {
        continue;
      }
      waiting_item waits;
      waits.batch = id;
      waits.index = index;
      waits.model = request.model;
      waits.minimumVersion = request.minimumVersion;
      waits.group = request.items[index].group;
      waits.submittedUnixMs = request.submittedUnixMs;
      waits.carried = item.carried;
      waits.groupLeft = entry->Unlisted(waits.group);
      waits.groupHint = hints[waits.group];
      waiting.push_back(std::move(waits));
    }
  }
  SortWaiting(waiting);
  return waiting;
}

void
batch_leader::Place()
{
  if (mHandedOver || !mParts.mayRun()) {
    return;
  }
  const environment_view& environment = mParts.environment.Environment();
  std::set<std::string> services;
  for (const service_entry& service : environment.Services()) {
    if (!service.models.empty()) {
      services.insert(service.name);
    }
  }
  mPool.Refresh(services);
  std::map<std::string, std::vector<sampler_state>> states;
  for (waiting_item& item : Waiting()) {
    batch& owner = *mBook.Find(item.batch);
    const batch_item& request = owner.Request().items[item.index];
    const route_entry* route =
      environment.FindRoute(owner.Request().host, request.path);
    if (!route || route->services.empty()) {
      // The operator has removed the route of the batch.
      if (environment.Version() > 0) {
        Finish(owner, item.index, result_state::Errored);
      }
      continue;
    }
    open_item& open = owner.Items()[item.index];
    if (route->singleVersion && !open.progress.events.empty()) {
      item.onlyVersion = open.progress.versions.back();
    }
    const std::string& service = route->services.front().service;
    auto [at, added] = states.try_emplace(service);
    if (added) {
      at->second = mPool.States(service);
    }
    auto chosen = ChooseSampler(item, at->second);
    if (!chosen && item.onlyVersion != 0) {
      // No sampler has that version any more: start again under another.
      item.onlyVersion = 0;
      chosen = ChooseSampler(item, at->second);
      if (chosen) {
        open.progress = {};
      }
    }
    if (chosen && StartRun(item, at->second[*chosen].id)) {
      ++at->second[*chosen].running;
      ++at->second[*chosen].groups[item.group];
    }
  }
}

bool
batch_leader::StartRun(const waiting_item& aItem, const std::string& aSampler)
{
  const auto* target = mParts.targets.Find(aSampler);
  batch& owner = *mBook.Find(aItem.batch);
  const batch_item& request = owner.Request().items[aItem.index];
  open_item& item = owner.Items()[aItem.index];
  if (!target) {
    return false;
  }
  item_call call;
  call.id = request.id;
  call.path = request.path;
  call.host = owner.Request().host;
  call.tenant = owner.Request().tenant;
  call.headers = request.headers;
  call.body = request.body;
  call.group = request.group;
  call.expectedVersion = mPool.VersionOf(aSampler, aItem.model);
  call.resumeAfter = item.progress.events.size();
  run_owner& self = *this;
  auto run = std::make_shared<item_run>(self,
                                        mParts.loop,
                                        mParts.protocol,
                                        aItem.batch,
                                        aItem.index,
                                        aSampler,
                                        std::move(call));
  item.phase = item_phase::Running;
  mPool.AddRun(run);
  run->Start(mParts.client, target->entry);
  return true;
}

void
batch_leader::OnRunEvent(const item_run& aRun,
                         std::string aData,
                         std::int64_t aVersion)
{
  batch* owner = mBook.Find(aRun.Batch());
  if (!owner || owner->Ended()) {
    return;
  }
  item_progress& progress = owner->Items()[aRun.Index()].progress;
  progress.events.push_back(std::move(aData));
  progress.versions.push_back(aVersion);
  mPool.NoteEvent(aRun);
}

void
batch_leader::OnRunEnded(const item_run& aRun, run_end aEnd)
{
  mPool.EndRun(aRun, aEnd);
  ScheduleSoon();
  mParts.metrics.Count("ferry_item_runs_total",
                       { { "outcome", std::string(RunEndName(aEnd)) } });
  batch* owner = mBook.Find(aRun.Batch());
  if (!owner || owner->Ended()) {
    return;
  }
  open_item& item = owner->Items()[aRun.Index()];
  item.phase = item_phase::Waiting;
  if (aEnd != run_end::Complete) {
    Log(log_level::Info,
        "item_run_ended",
        { { "item", aRun.Call().id },
          { "batch", aRun.Batch() },
          { "target", aRun.Sampler() },
          { "outcome", std::string(RunEndName(aEnd)) },
          { "events", std::to_string(item.progress.events.size()) } });
  }
  switch (aEnd) {
    case run_end::Complete:
      if (!item.progress.FitsVersion(owner->Request().minimumVersion)) {
        Log(log_level::Warning,
            "item_too_old",
            { { "item", aRun.Call().id }, { "target", aRun.Sampler() } });
        item.progress = {};
        break;
      }
      Finish(*owner, aRun.Index(), result_state::Completed);
      break;
    case run_end::Impossible:
      Finish(*owner, aRun.Index(), result_state::Errored);
      break;
    case run_end::Failed: {
      item.notBefore = mParts.loop.Now() + kFailedPause;
      const route_entry* route = mParts.environment.Environment().FindRoute(
        owner->Request().host, owner->Request().items[aRun.Index()].path);
      if (++item.failures >=
          kFailuresPerAttempt * (route ? route->maxAttempts : 1)) {
        Finish(*owner, aRun.Index(), result_state::Errored);
      }
      break;
    }
    case run_end::Full:
    case run_end::Misplaced:
    case run_end::Broken:
      break;
  }
}

void
batch_leader::Finish(batch& aBatch, std::size_t aIndex, result_state aState)
{
  open_item& item = aBatch.Items()[aIndex];
  item.phase = item_phase::Saving;
  batch_result result;
  result.item = aIndex;
  result.state = aState;
  if (aState == result_state::Completed) {
    result.text = item.progress.Text();
    result.versions = item.progress.DistinctVersions();
  }
  const std::string id = aBatch.Request().id;
  const std::size_t position = aBatch.assignedPositions++;
  std::vector<log_record> records{ { ResultKey(id, position),
                                     EncodeResult(result) } };
  if (!result.text.empty()) {
    records.push_back({ TextKey(id, position), result.text });
  }
  if (item.savedEvents > 0) {
    records.push_back({ ProgressKey(id, aIndex), {} });
  }
  mJournal.Append(std::move(records),
                  [this, id, saved = std::move(result)]() mutable {
                    if (batch* owner = mBook.Find(id)) {
                      owner->List(std::move(saved));
                      WakeWaiters();
                    }
                  });
}

void
batch_leader::MoveSlowRuns()
{
  const time_point now = mParts.loop.Now();
  std::map<std::string, sampler_state> states;
  std::vector<sampler_state> all;
  for (const auto& run : mPool.Runs()) {
    auto [at, added] = states.try_emplace(run->Sampler());
    if (added) {
      at->second = mPool.State(run->Sampler());
      all.push_back(at->second);
    }
  }
  const double typical = TypicalEventMilliseconds(all).value_or(1.0);
  std::vector<std::shared_ptr<item_run>> moved;
  for (const auto& run : mPool.Runs()) {
    if (moved.size() < kMovesPerTick &&
        ShouldMove(run->Pace(), states[run->Sampler()], typical, now)) {
      moved.push_back(run);
    }
  }
  for (const auto& run : moved) {
    Log(log_level::Info,
        "item_moved",
        { { "item", run->Call().id },
          { "target", run->Sampler() },
          { "events", std::to_string(run->NewEvents()) },
          { "silent_ms",
            std::to_string(ToMilliseconds(now - run->Pace().lastEvent)) } });
    const bool silent = run->Pace().lastEvent + milliseconds(300) < now;
    if (batch* owner = mBook.Find(run->Batch())) {
      owner->Items()[run->Index()].phase = item_phase::Waiting;
    }
    if (silent) {
      // Judged like a broken run, so that its sampler rests.
      mPool.EndRun(*run, run_end::Broken);
      run->Cancel();
    } else {
      mPool.CancelRun(run);
    }
  }
}

void
batch_leader::SaveProgress(std::size_t aLeastEvents,
                           std::function<void()> aDone)
{
  std::vector<log_record> records;
  std::size_t bytes = 0;
  for (const auto& [id, entry] : mBook.All()) {
    if (entry->Closed()) {
      continue;
    }
    for (std::size_t index = 0; index < entry->Items().size(); ++index) {
      open_item& item = entry->Items()[index];
      const bool open =
        item.phase == item_phase::Running || item.phase == item_phase::Waiting;
      if (open &&
          item.progress.events.size() >= item.savedEvents + aLeastEvents) {
        std::string encoded = EncodeProgress(item.progress);
        const std::size_t size = encoded.size() + kRecordOverhead;
        if (size > mParts.log.MaxRecordBytes()) {
          continue; // It can't be saved: a new leader runs it anew.
        }
        if (bytes + size > mParts.log.MaxCallBytes() / kProgressCalls) {
          mJournal.Append(std::exchange(records, {}), {});
          bytes = 0;
        }
        bytes += size;
        item.savedEvents = item.progress.events.size();
        records.push_back({ ProgressKey(id, index), std::move(encoded) });
      }
    }
  }
  if (records.empty()) {
    aDone();
    return;
  }
  mJournal.Append(std::move(records), std::move(aDone));
}

void
batch_leader::HandOver(std::function<void()> aDone)
{
  mHandedOver = true;
  const auto runs = mPool.Runs();
  for (const auto& run : runs) {
    if (batch* owner = mBook.Find(run->Batch())) {
      owner->Items()[run->Index()].phase = item_phase::Waiting;
    }
    mPool.CancelRun(run);
  }
  SaveProgress(1, std::move(aDone));
}

void
batch_leader::GiveUpItems()
{
  const environment_view& environment = mParts.environment.Environment();
  const std::int64_t now = mParts.loop.UnixMilliseconds();
  for (const auto& [id, entry] : mBook.All()) {
    if (entry->Closed()) {
      continue;
    }
    for (std::size_t index = 0; index < entry->Items().size(); ++index) {
      if (entry->Items()[index].phase != item_phase::Waiting) {
        continue;
      }
      const route_entry* route = environment.FindRoute(
        entry->Request().host, entry->Request().items[index].path);
      if (route && route->itemRetention.count() > 0 &&
          now - entry->Request().submittedUnixMs >=
            route->itemRetention.count() + 1'000) {
        Finish(*entry, index, result_state::Errored);
      }
    }
  }
}

void
batch_leader::ExpireBatches()
{
  const std::int64_t now = mParts.loop.UnixMilliseconds();
  std::vector<log_record> dropped;
  std::vector<std::string> gone;
  for (const auto& [id, entry] : mBook.All()) {
    const batch_request& request = entry->Request();
    if (entry->Ended() && entry->endedAt + kTextsKept < mParts.loop.Now() &&
        !entry->Results().empty() && entry->Results().front().loaded) {
      entry->ForgetTexts();
    }
    // Twice the time that callers may rely on, since clocks differ.
    if (!entry->Closed() ||
        now - request.submittedUnixMs < 2 * mParts.readableFor.count()) {
      continue;
    }
    gone.push_back(id);
    for (std::size_t part = 0; part < entry->journalParts; ++part) {
      dropped.push_back({ BatchKey(id, part), {} });
    }
    dropped.push_back({ EndKey(id), {} });
    for (std::size_t at = 0; at < entry->Results().size(); ++at) {
      dropped.push_back({ ResultKey(id, at), {} });
      dropped.push_back({ TextKey(id, at), {} });
    }
    for (std::size_t index = 0; index < entry->Items().size(); ++index) {
      if (entry->Items()[index].phase != item_phase::Listed) {
        dropped.push_back({ ProgressKey(id, index), {} });
      }
    }
  }
  for (const std::string& id : gone) {
    mBook.Erase(id);
  }
  if (!dropped.empty()) {
    mJournal.Append(std::move(dropped), {});
  }
  mBook.ExpireProgress(mParts.loop.Now());
}

void
batch_leader::Tick()
{
  WakeWaiters();
  if (mHandedOver) {
    return;
  }
  MoveSlowRuns();
  Place();
  const time_point now = mParts.loop.Now();
  if (!mSavingProgress && now - mProgressSaved >= kSaveInterval) {
    mProgressSaved = now;
    mSavingProgress = true;
    SaveProgress(kSaveEvents, [this] { mSavingProgress = false; });
  }
  std::set<std::string> models;
  std::set<std::string> single;
  const environment_view& environment = mParts.environment.Environment();
  for (const service_entry& service : environment.Services()) {
    models.insert(service.models.begin(), service.models.end());
  }
  for (const auto& run : mPool.Runs()) {
    const route_entry* route =
      environment.FindRoute(run->Call().host, run->Call().path);
    batch* owner = mBook.Find(run->Batch());
    if (route && route->singleVersion && owner) {
      single.insert(owner->Request().model);
    }
  }
  if (mParts.mayAct()) {
    mPool.OrderWeights(models, single);
  }
  GiveUpItems();
  ExpireBatches();
  mParts.metrics.SetGauge(
    "ferry_runs", {}, static_cast<double>(mPool.Runs().size()));
  mParts.metrics.SetGauge(
    "ferry_journal_waiting", {}, static_cast<double>(mJournal.Waiting()));
}

} // namespace arbutusferry::node
