#pragma once

#include "placement/placement_pass.hpp"
#include "placement/speed_choice.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// Order and choice of samplers under test.
enum class placement_policy
{
  Previous, ///< Oldest batch first, samplers alike unless slow.
  Slack,    ///< `placement_pass`, `ChooseByLength` and early moves.
};

/// A trainer that submits batches and waits for nine tenths of their groups.
struct simulated_trainer
{
  std::string team;
  std::optional<int> teamPriority;
  int routePriority = 0;
  std::string model = "m";
  int groups = 5;
  int itemsPerGroup = 16;
  int periodMs = 4'000;
  double meanEvents = 14.0;
  /// Factor of the length of every tenth group, for a foreseeable tail.
  double longGroupFactor = 1.0;

  // Results of the simulation.
  int steps = 0;        ///< Whose due time has passed.
  int stepsInTime = 0;  ///< With all needed groups when due.
  int groupsInTime = 0; ///< Complete groups when due, at most those needed.
  int groupsNeeded = 0;
  int finished = 0; ///< With all needed groups before the trainer gave up.

  [[nodiscard]] double InTime() const
  {
    return steps == 0 ? 1.0 : static_cast<double>(stepsInTime) / steps;
  }
  [[nodiscard]] double GroupsInTime() const
  {
    return groupsNeeded == 0 ? 1.0
                             : static_cast<double>(groupsInTime) / groupsNeeded;
  }
};

struct simulated_sampler
{
  double intervalMs = 40.0;
  int slots = 7;
  std::string model = "m";
  int lostAtMs = 1 << 30;
};

/// Runs the items of trainers at samplers, in steps of 10 ms.
class placement_load
{
public:
  placement_load(std::vector<simulated_trainer> aTrainers,
                 std::vector<simulated_sampler> aSamplers,
                 placement_policy aPolicy,
                 std::uint64_t aSeed)
    : trainers(std::move(aTrainers))
    , mSamplers(std::move(aSamplers))
    , mPolicy(aPolicy)
    , mRandom(aSeed)
  {
    std::vector<route_entry> routes;
    std::vector<team_entry> teams;
    for (std::size_t index = 0; index < trainers.size(); ++index) {
      route_entry route;
      route.name = "r" + std::to_string(index);
      route.host = "h" + std::to_string(index);
      route.pathPrefix = "/p/";
      route.kind = route_kind::Batch;
      route.services = { { "models", 1 } };
      route.priority = trainers[index].routePriority;
      route.resultDue = std::chrono::milliseconds(kDueMs);
      routes.push_back(route);
      teams.push_back(
        { trainers[index].team, {}, trainers[index].teamPriority });
    }
    mEnvironment =
      environment_view(1, routes, { { "models", {}, {} } }, teams, {}, true);
    mOpen.resize(trainers.size());
    mCarried.resize(trainers.size());
    for (std::size_t index = 0; index < mSamplers.size(); ++index) {
      sampler_state state;
      state.id = "s" + std::to_string(100 + index);
      state.slots = mSamplers[index].slots;
      state.versions = { { mSamplers[index].model, 1 } };
      state.assignedModel = mSamplers[index].model;
      mStates.push_back(state);
    }
  }

  void Run(int aMilliseconds)
  {
    for (; mNowMs < aMilliseconds; mNowMs += kStepMs) {
      for (std::size_t index = 0; index < trainers.size(); ++index) {
        Train(index);
      }
      LoseSamplers();
      Generate();
      if (mPolicy == placement_policy::Slack && mNowMs % 50 == 0) {
        MoveEarly();
      }
      Place();
    }
  }

  std::vector<simulated_trainer> trainers;
  int moves = 0;

private:
  static constexpr int kStepMs = 10;
  static constexpr int kDueMs = 7'500;
  static constexpr int kGiveUpMs = 12'000;
  /// Time to read a prompt that the sampler doesn't have.
  static constexpr double kPromptMs = 100.0;
  static constexpr std::int64_t kTokensPerEvent = 50;

  struct run
  {
    std::string batch;
    std::size_t index = 0;
    std::string group;
    std::size_t sampler = 0;
    double toNextEventMs = 0.0;
  };
  struct open_step
  {
    std::string batch;
    int submittedMs = 0;
    bool rated = false;
  };
  struct carried_item
  {
    std::string id;
    std::string group;
    std::int64_t hint = 0;
  };

  double Uniform() { return static_cast<double>(mRandom() >> 11U) * 0x1.0p-53; }

  [[nodiscard]] time_point Now() const
  {
    return time_point{ std::chrono::hours(1) +
                       std::chrono::milliseconds(mNowMs) };
  }

  void Submit(std::size_t aTrainer)
  {
    const simulated_trainer& trainer = trainers[aTrainer];
    batch_request request;
    const int number = mBatchCount++;
    request.id = "b" + std::to_string(100'000 + number);
    request.team = trainer.team;
    request.host = "h" + std::to_string(aTrainer);
    request.route = "r" + std::to_string(aTrainer);
    request.model = trainer.model;
    request.minimumVersion = 1;
    request.submittedUnixMs = mNowMs;
    std::set<std::string> carried;
    for (const carried_item& item : mCarried[aTrainer]) {
      carried.insert(item.group);
      request.items.push_back(
        { item.id, "/p/x", {}, {}, 0, item.group, item.hint });
    }
    mCarried[aTrainer].clear();
    const int fresh =
      std::max(0, trainer.groups - static_cast<int>(carried.size()));
    for (int group = 0; group < fresh; ++group) {
      const double factor = group % 10 == 9 ? trainer.longGroupFactor : 1.0;
      for (int item = 0; item < trainer.itemsPerGroup; ++item) {
        const std::string name = request.id + "g" + std::to_string(group);
        const double expected =
          trainer.meanEvents * factor * (0.4 + 0.6 * Uniform());
        double length = expected * std::exp2(1.2 * (Uniform() - 0.5));
        if (Uniform() < 0.08) {
          length *= 5.0;
        }
        request.items.push_back(
          { name + "i" + std::to_string(item),
            "/p/x",
            {},
            {},
            0,
            name,
            static_cast<std::int64_t>(expected * kTokensPerEvent) });
        mLengths[request.items.back().id] =
          static_cast<std::size_t>(std::max(1.0, std::round(length)));
      }
    }
    const int groups = fresh + static_cast<int>(carried.size());
    request.neededGroups =
      static_cast<std::size_t>(std::max(1.0, std::ceil(0.9 * groups)));
    mOpen[aTrainer].push_back({ request.id, mNowMs, false });
    mTable.Add(std::move(request));
  }

  void Train(std::size_t aTrainer)
  {
    simulated_trainer& trainer = trainers[aTrainer];
    // Trainers don't start together.
    if (mNowMs % trainer.periodMs ==
        static_cast<int>(aTrainer) * 700 % trainer.periodMs) {
      Submit(aTrainer);
    }
    std::erase_if(mOpen[aTrainer], [&](open_step& aStep) {
      batch& owner = *mTable.Find(aStep.batch);
      const int age = mNowMs - aStep.submittedMs;
      const std::size_t needed = owner.Request().neededGroups;
      const bool done = owner.CompleteGroups() >= needed;
      if (!aStep.rated && (done || age >= kDueMs)) {
        aStep.rated = true;
        ++trainer.steps;
        trainer.stepsInTime += done ? 1 : 0;
        trainer.groupsNeeded += static_cast<int>(needed);
        trainer.groupsInTime +=
          static_cast<int>(std::min(needed, owner.CompleteGroups()));
      }
      if (!done && age < kGiveUpMs) {
        return false;
      }
      trainer.finished += done ? 1 : 0;
      EndStep(aTrainer, owner);
      return true;
    });
  }

  void EndStep(std::size_t aTrainer, batch& aBatch)
  {
    const std::string id = aBatch.Request().id;
    std::erase_if(mRuns, [&](const run& aRun) {
      if (aRun.batch != id) {
        return false;
      }
      Release(aRun);
      return true;
    });
    for (std::size_t index = 0; index < aBatch.Items().size(); ++index) {
      const batch_item& item = aBatch.Request().items[index];
      if (aBatch.UncommittedItems(item.group) > 0 &&
          aBatch.Items()[index].phase != item_phase::Committed) {
        mCarried[aTrainer].push_back({ item.id, item.group, item.lengthHint });
      }
    }
    mTable.End(aBatch, Now());
    mTable.Erase(id);
  }

  void Release(const run& aRun)
  {
    sampler_state& state = mStates[aRun.sampler];
    --state.running;
    if (--state.groups[aRun.group] == 0) {
      state.groups.erase(aRun.group);
    }
  }

  void LoseSamplers()
  {
    for (std::size_t index = 0; index < mSamplers.size(); ++index) {
      if (mStates[index].usable && mNowMs >= mSamplers[index].lostAtMs) {
        mStates[index].usable = false;
        std::erase_if(mRuns, [&](const run& aRun) {
          if (aRun.sampler != index) {
            return false;
          }
          Release(aRun);
          ItemOf(aRun).phase = item_phase::Waiting;
          return true;
        });
      }
    }
  }

  item_state& ItemOf(const run& aRun)
  {
    return mTable.Find(aRun.batch)->Items()[aRun.index];
  }

  [[nodiscard]] double Interval(std::size_t aSampler) const
  {
    const sampler_state& state = mStates[aSampler];
    return mSamplers[aSampler].intervalMs *
           (1.0 + 0.1 * state.running / state.slots);
  }

  void Generate()
  {
    std::vector<run> going;
    going.reserve(mRuns.size());
    for (run& entry : mRuns) {
      batch& owner = *mTable.Find(entry.batch);
      item_state& item = owner.Items()[entry.index];
      const batch_item& request = owner.Request().items[entry.index];
      entry.toNextEventMs -= kStepMs;
      if (entry.toNextEventMs <= 0.0) {
        item.progress.events.emplace_back();
        item.progress.versions.push_back(1);
        mStates[entry.sampler].eventIntervalMs = Interval(entry.sampler);
        entry.toNextEventMs += Interval(entry.sampler);
      }
      if (item.progress.events.size() < mLengths.at(request.id)) {
        going.push_back(entry);
        continue;
      }
      Release(entry);
      mHistory.NoteCompleted(
        owner.Request().route, request.lengthHint, item.progress.events.size());
      batch_result result;
      result.item = entry.index;
      owner.CommitResult(result);
    }
    mRuns = std::move(going);
  }

  void Start(const waiting_item& aItem, std::size_t aSampler)
  {
    sampler_state& state = mStates[aSampler];
    run entry{ aItem.batch, aItem.index, aItem.group, aSampler, 0.0 };
    entry.toNextEventMs =
      Interval(aSampler) +
      (state.groups.contains(aItem.group) ? 0.0 : kPromptMs);
    ItemOf(entry).phase = item_phase::Running;
    ++state.running;
    ++state.groups[aItem.group];
    mRuns.push_back(entry);
  }

  void Place()
  {
    if (mPolicy == placement_policy::Previous) {
      PlaceAsBefore();
      return;
    }
    placement_pass pass(mTable.All(), mEnvironment, mHistory, Now(), mNowMs);
    std::map<std::string, service_samplers> samplers;
    samplers["models"] = SummarizeSamplers(mStates);
    pass.Arrange(samplers);
    for (const run& entry : mRuns) {
      const batch_request& request = mTable.Find(entry.batch)->Request();
      if (const auto share = pass.FindShare(request.team, request.model)) {
        pass.AddRunning(*share);
      }
    }
    const double median = samplers["models"].intervals.medianMs;
    while (const waiting_item* item = pass.Next()) {
      const auto chosen =
        item->contended
          ? ChooseByLength(*item, mStates, median, pass.TypicalEvents())
          : ChooseSampler(*item, mStates, median);
      if (chosen) {
        Start(*item, *chosen);
        pass.NotePlaced(*item);
      }
    }
  }

  void PlaceAsBefore()
  {
    std::vector<waiting_item> waiting;
    for (const auto& [id, entry] : mTable.All()) {
      std::map<std::string, std::int64_t> hints;
      for (const batch_item& item : entry->Request().items) {
        hints[item.group] = std::max(hints[item.group], item.lengthHint);
      }
      for (std::size_t index = 0; index < entry->Items().size(); ++index) {
        const item_state& state = entry->Items()[index];
        if (entry->Closed() || state.phase != item_phase::Waiting) {
          continue;
        }
        waiting_item item;
        item.batch = id;
        item.index = index;
        item.model = entry->Request().model;
        item.minimumVersion = 1;
        item.group = entry->Request().items[index].group;
        item.submittedUnixMs = entry->Request().submittedUnixMs;
        item.carried = state.carried;
        item.groupUncommitted = entry->UncommittedItems(item.group);
        item.groupTokenEstimate = hints[item.group];
        waiting.push_back(item);
      }
    }
    SortWaiting(waiting);
    for (const waiting_item& item : waiting) {
      if (const auto chosen = ChooseSampler(item, mStates)) {
        Start(item, *chosen);
      }
    }
  }

  void MoveEarly()
  {
    const service_samplers samplers = SummarizeSamplers(mStates);
    for (run& entry : mRuns) {
      const batch& owner = *mTable.Find(entry.batch);
      const length_estimate& lengths = mHistory.Lengths(owner.Request().route);
      if (!lengths.Known() || !mStates[entry.sampler].eventIntervalMs) {
        continue;
      }
      waiting_item item;
      item.batch = entry.batch;
      item.index = entry.index;
      item.group = entry.group;
      item.model = owner.Request().model;
      item.minimumVersion = 1;
      move_outlook outlook;
      outlook.remainingEvents = RemainingOf(owner, entry.index, lengths, 0.0);
      outlook.hereMs = Interval(entry.sampler);
      outlook.firstEventMs = kPromptMs;
      outlook.untilDueMs =
        static_cast<double>(owner.Request().submittedUnixMs + kDueMs - mNowMs);
      const auto chosen =
        ShouldMoveEarly(outlook)
          ? ChooseByLength(item, mStates, samplers.intervals.medianMs, 0.0)
          : std::nullopt;
      if (!chosen) {
        continue;
      }
      outlook.thereMs = Interval(*chosen);
      if (ShouldMoveEarly(outlook)) {
        Release(entry);
        entry.sampler = *chosen;
        entry.toNextEventMs = Interval(*chosen) + kPromptMs;
        ++mStates[*chosen].running;
        ++mStates[*chosen].groups[entry.group];
        ++moves;
      }
    }
  }

  std::vector<simulated_sampler> mSamplers;
  placement_policy mPolicy;
  std::mt19937_64 mRandom;
  environment_view mEnvironment;
  run_history mHistory;
  batch_table mTable;
  std::vector<sampler_state> mStates;
  std::vector<run> mRuns;
  std::vector<std::vector<open_step>> mOpen;
  std::vector<std::vector<carried_item>> mCarried;
  std::map<std::string, std::size_t> mLengths; ///< Events by item.
  int mBatchCount = 0;
  int mNowMs = 0;
};

} // namespace arbutusferry::node
