#pragma once

#include "arbutusferry/bounded_queue.hpp"
#include "arbutusferry/cursor.hpp"
#include "arbutusferry/dispatcher.hpp"
#include "arbutusferry/error.hpp"
#include "arbutusferry/metrics.hpp"
#include "arbutusferry/time.hpp"
#include "arbutusferry/upstream.hpp"
#include "arbutusferry/weight_segments.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry {

/// Samples of one prompt, which the trainer uses as a group.
struct step_group
{
  std::string id;
  std::int64_t count = 0;
  std::string prompt;
  std::int64_t seed = 0; ///< Sample i uses seed + i.
  std::int64_t maxTokens = 0;
};

/// Request of a trainer for the samples of one step.
struct step_request
{
  std::string step;
  std::string model;
  std::int64_t weightVersion = 0; ///< Current version of the trainer.
  std::chrono::milliseconds deadline{ 0 };
  std::vector<step_group> groups;
  std::string cursor; ///< Empty in the first request.
};

/// Parses and validates a step request.
[[nodiscard]] result<step_request>
ReadStep(const Json::Value& aValue, const std::string& aPeer);

/// @return Hash of the fields that identify the samples. The trainer's version,
/// the deadline and the cursor are excluded: they may differ between requests
/// for one step.
[[nodiscard]] std::uint64_t
StepHash(const step_request& aStep);

/// @return Number of samples of all groups.
[[nodiscard]] std::size_t
SampleCount(const step_request& aStep);

/// One sample, assembled from the events of the engine's stream.
struct sample_answer
{
  std::string text;
  Json::Value tokens{ Json::arrayValue };
  weight_segments segments;
  std::int64_t promptTokens = 0;
  std::int64_t completionTokens = -1; ///< Engine's count; -1 if missing.
  bool finished = false;              ///< A finish reason was received.

  /// Appends an event of the stream.
  /// @return False if the event invalidates the answer.
  bool Add(const Json::Value& aEvent);
};

/// Classification of the answer to one attempt.
enum class sample_disposition
{
  Deliver,
  Truncated,   ///< Tokens or the finish reason are missing.
  Mislabelled, ///< Versions do not cover every token.
  TooOld,      ///< Exceeds the staleness bound at delivery.
};

template<>
inline constexpr enum_name_table<sample_disposition, 4>
  kEnumNames<sample_disposition>{
    { { sample_disposition::Deliver, "deliver" },
      { sample_disposition::Truncated, "truncated" },
      { sample_disposition::Mislabelled, "mislabelled" },
      { sample_disposition::TooOld, "too_old" } }
  };

/// Classifies an answer after its last event.
/// @param aTrainer Current version of the trainer.
/// @param aBound Number of versions that a sample may lag behind.
[[nodiscard]] sample_disposition
ClassifySample(const sample_answer& aAnswer,
               std::int64_t aTrainer,
               std::int64_t aBound);

/// Conditions for a second (hedged) attempt at a slow sample.
struct hedge_options
{
  /// Hedges a group only if no more than this fraction of it, or one sample,
  /// is unfinished.
  double maxUnfinishedFraction = 0.25;
  /// Multiple of the median time of finished samples that a slow one exceeds.
  double medianFactor = 2.0;
  std::size_t minFinished = 4; ///< Finished samples required before hedging.
};

/// Tracks which samples of a step are open, running and done. Reads no clock:
/// times are passed in. Not thread-safe.
class step_progress
{
public:
  step_progress(const step_request& aStep,
                const delivery_cursor& aDelivered,
                const hedge_options& aHedging);

  /// @return Samples without an open attempt, those of the group closest to
  /// completion first.
  /// @param aLimit Maximum number of open attempts of the step.
  [[nodiscard]] std::vector<std::size_t> Ready(std::size_t aLimit) const;

  /// Records that an attempt was submitted.
  void RecordSubmit(std::size_t aSample);
  /// Records that an attempt was sent to a target.
  void RecordStart(std::size_t aSample, time_point aNow);
  /// Records that an attempt ended, with or without an answer.
  void RecordEnd(std::size_t aSample);
  /// Records a deliverable answer.
  /// @return False if the sample already had one.
  bool RecordSuccess(std::size_t aSample, duration aTook);

  /// @return Samples for which a second attempt should be made.
  [[nodiscard]] std::vector<std::size_t> Stragglers(time_point aNow) const;

  [[nodiscard]] bool IsDone(std::size_t aSample) const;
  [[nodiscard]] bool Done() const noexcept { return mLeft == 0; }
  [[nodiscard]] int Attempts(std::size_t aSample) const;
  [[nodiscard]] std::int64_t GroupRemaining(std::size_t aSample) const;
  [[nodiscard]] std::size_t GroupOf(std::size_t aSample) const;
  [[nodiscard]] std::int64_t IndexOf(std::size_t aSample) const;

private:
  struct sample_state
  {
    std::size_t group = 0;
    std::int64_t index = 0;
    int open = 0;     ///< Attempts queued or running.
    int running = 0;  ///< Attempts running at a target.
    int attempts = 0; ///< Attempts sent to a target so far.
    time_point started{};
    bool done = false;
  };

  hedge_options mHedging;
  std::vector<sample_state> mSamples;
  std::vector<std::int64_t> mGroupSize;
  std::vector<std::int64_t> mGroupLeft;
  std::multiset<duration> mTimes;
  std::size_t mLeft = 0;
  std::size_t mOpen = 0;
};

/// Dependencies and settings of a step session. All referenced objects must
/// outlive it.
struct step_parts
{
  dispatcher* work = nullptr;
  upstream_transport* transport = nullptr;
  const clock_source* clock = nullptr;
  metrics_registry* metrics = nullptr;
  /// Runs a task on another thread; false if the task was rejected.
  std::function<bool(std::function<void()>)> execute;
  /// @return True once the caller's key is withdrawn.
  std::function<bool()> withdrawn;
  /// Called for each delivered sample with its numbers of prompt and generated
  /// tokens.
  std::function<void(std::int64_t, std::int64_t)> delivered;
  std::string team;
  std::string targetClass;
  std::int64_t minVersion = 0;     ///< Oldest version that may serve.
  std::int64_t stalenessBound = 0; ///< Versions that a sample may lag behind.
  time_point deadline{};
  hedge_options hedging;
  std::size_t maxOpenAttempts = 256; ///< Attempts queued or running at once.
  /// Longest wait of `Next` for a record.
  duration pollTimeout = std::chrono::milliseconds(100);
};

/// Serves one request for a step: runs attempts until every sample missing from
/// the cursor has been delivered once.
class step_session : public std::enable_shared_from_this<step_session>
{
public:
  /// @return A session whose first attempts have been submitted.
  [[nodiscard]] static std::shared_ptr<step_session>
  Start(step_request aStep, delivery_cursor aCursor, step_parts aParts);

  /// Appends the next records of the stream; waits up to
  /// `step_parts::pollTimeout` for one. Must be called by one thread only.
  /// @return False at the end of the stream.
  bool Next(std::string& aOut);

  /// Cancels all attempts; nothing is delivered afterwards.
  void Cancel();

private:
  struct sample_attempt;
  struct sample_record
  {
    std::size_t sample = 0;
    sample_answer answer;
  };

  step_session(step_request aStep, delivery_cursor aCursor, step_parts aParts);

  void Tick(time_point aNow);
  void Observe(const char* aName, duration aTook) const;
  void Submit(std::size_t aSample, time_point aNow);
  void OnAssigned(const std::shared_ptr<sample_attempt>& aAttempt,
                  const std::variant<assignment, error_info>& aAnswer);
  void RunAttempt(const std::shared_ptr<sample_attempt>& aAttempt,
                  const assignment& aAssignment);
  void Close(const std::shared_ptr<sample_attempt>& aAttempt);
  void CancelOthers(std::size_t aSample);
  void Deliver(const sample_record& aRecord, std::string& aOut);
  bool EndWithError(error_code aCode,
                    const std::string& aMessage,
                    std::string& aOut);
  [[nodiscard]] bool QueueIsEmpty() const;
  /// Admits a repeated attempt if the retry budget allows it or after a
  /// backoff.
  [[nodiscard]] bool MayAttempt(std::size_t aSample, time_point aNow);
  [[nodiscard]] upstream_request MakeRequest(std::size_t aSample) const;

  step_request mStep;
  step_parts mParts;
  delivery_cursor mCursor;
  bounded_queue<sample_record> mRecords;
  time_point mNextTick{};
  time_point mSubmitPausedUntil{};
  std::map<std::size_t, time_point> mRetryAt; ///< Backoff by sample.

  std::mutex mMutex; ///< Guards the members below.
  step_progress mProgress;
  /// By sample.
  std::map<std::size_t, std::vector<std::string>> mAvoidedTargets;
  std::set<std::shared_ptr<sample_attempt>> mAttempts;
  /// The dispatcher rejected an item; submission pauses.
  bool mItemRejected = false;
  bool mCancelled = false;
};

} // namespace arbutusferry
