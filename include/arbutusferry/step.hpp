#pragma once

#include "arbutusferry/cursor.hpp"
#include "arbutusferry/dispatcher.hpp"
#include "arbutusferry/error.hpp"
#include "arbutusferry/metrics.hpp"
#include "arbutusferry/ring.hpp"
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

/// Samples with one prompt; they form a group of the trainer.
struct step_group
{
  std::string id;
  std::int64_t count = 0;
  std::string prompt;
  std::int64_t seed = 0; ///< Sample i uses seed + i.
  std::int64_t maxTokens = 0;
};

/// A step as a trainer posts it.
struct step_request
{
  std::string step;
  std::string model;
  std::int64_t weightVersion = 0; ///< Version the trainer has now.
  std::chrono::milliseconds deadline{ 0 };
  std::vector<step_group> groups;
  std::string cursor; ///< Empty at the first post.
};

/// Checks and reads a step.
[[nodiscard]] result<step_request>
ReadStep(const Json::Value& aValue, const std::string& aPeer);

/// @return Hash of everything that names the samples. The trainer's version,
/// the deadline and the cursor may differ between posts of one step.
[[nodiscard]] std::uint64_t
StepHash(const step_request& aStep);

/// @return Number of samples of all groups.
[[nodiscard]] std::size_t
SampleCount(const step_request& aStep);

/// One sample as the engine answered it.
struct sample_answer
{
  std::string text;
  Json::Value tokens{ Json::arrayValue };
  weight_segments segments;
  std::int64_t promptTokens = 0;
  std::int64_t completionTokens = -1; ///< From the last event; -1 if missing.
  bool finished = false;              ///< A finish reason came.

  /// Adds an event.
  /// @return False if the answer is useless from now on.
  bool Add(const Json::Value& aEvent);
};

/// What is done with the answer to one attempt.
enum class sample_verdict
{
  Deliver,
  Truncated,   ///< Tokens or the end are missing.
  Mislabelled, ///< Versions do not cover every token.
  TooOld,      ///< Over the staleness bound at delivery.
};

template<>
inline constexpr enum_name_table<sample_verdict, 4> kEnumNames<sample_verdict>{
  { { sample_verdict::Deliver, "deliver" },
    { sample_verdict::Truncated, "truncated" },
    { sample_verdict::Mislabelled, "mislabelled" },
    { sample_verdict::TooOld, "too_old" } }
};

/// Judges a complete answer.
/// @param aTrainer Version the trainer has now.
/// @param aBound Versions that a sample may lag.
[[nodiscard]] sample_verdict
JudgeSample(const sample_answer& aAnswer,
            std::int64_t aTrainer,
            std::int64_t aBound);

/// When a second attempt is made for a sample that takes long.
struct hedge_options
{
  double lastShare = 0.25;   ///< Only among this share of a group's samples.
  double slowerThan = 2.0;   ///< Times the median of finished samples.
  std::size_t learnFrom = 4; ///< Finished samples before the first hedge.
};

/// Which samples of a step are open, running and done. Pure: times are passed
/// in; not thread-safe.
class step_progress
{
public:
  step_progress(const step_request& aStep,
                const delivery_cursor& aDelivered,
                const hedge_options& aHedging);

  /// @return Samples that need a new attempt, those of the group nearest to
  /// completion first.
  /// @param aLimit Most open attempts of the step.
  [[nodiscard]] std::vector<std::size_t> Ready(std::size_t aLimit) const;

  /// Notes that an attempt was submitted.
  void Opened(std::size_t aSample);
  /// Notes that an attempt was sent to a target.
  void Started(std::size_t aSample, time_point aNow);
  /// Notes that an attempt ended, with or without an answer.
  void Closed(std::size_t aSample);
  /// Notes a deliverable answer.
  /// @return False if the sample had one before.
  bool Succeeded(std::size_t aSample, duration aTook);

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
    int open = 0;     ///< Attempts that wait or run.
    int running = 0;  ///< Attempts at a target.
    int attempts = 0; ///< Attempts that were sent so far.
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

/// What a step session works with; everything outlives it.
struct step_parts
{
  dispatcher* work = nullptr;
  upstream_transport* transport = nullptr;
  const clock_source* clock = nullptr;
  metrics_registry* metrics = nullptr;
  /// Runs a task on another thread; false if there is no room.
  std::function<bool(std::function<void()>)> execute;
  /// @return True once the caller's key no longer works.
  std::function<bool()> withdrawn;
  /// Called for each delivered sample with its prompt and generated tokens.
  std::function<void(std::int64_t, std::int64_t)> delivered;
  std::string team;
  std::string targetClass;
  std::int64_t minVersion = 0;     ///< Oldest version that may serve.
  std::int64_t stalenessBound = 0; ///< Of the model.
  time_point deadline{};
  hedge_options hedging;
  std::size_t maxOpen = 256; ///< Attempts queued or running at once.
  duration wait = std::chrono::milliseconds(100); ///< Of `Next`, for a record.
};

/// Serves one post of a step: keeps attempts going until every sample that the
/// cursor does not name was delivered once.
class step_session : public std::enable_shared_from_this<step_session>
{
public:
  /// @return The session, with its first attempts submitted.
  [[nodiscard]] static std::shared_ptr<step_session>
  Start(step_request aStep, delivery_cursor aCursor, step_parts aParts);

  /// Appends the next records of the stream, waiting a short time for one.
  /// Called by one thread only.
  /// @return False when the stream ended.
  bool Next(std::string& aOut);

  /// Ends all attempts; nothing is delivered afterwards.
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
                  const assignment& aPlace);
  void Close(const std::shared_ptr<sample_attempt>& aAttempt);
  void CancelOthers(std::size_t aSample);
  void Deliver(const sample_record& aRecord, std::string& aOut);
  bool EndWith(error_code aCode,
               const std::string& aMessage,
               std::string& aOut);
  [[nodiscard]] bool SpareSlots() const;
  /// Lets repeated attempts through by the retry budget, or after a backoff.
  [[nodiscard]] bool MayAttempt(std::size_t aSample, time_point aNow);
  [[nodiscard]] upstream_request MakeRequest(std::size_t aSample) const;

  step_request mStep;
  step_parts mParts;
  delivery_cursor mCursor;
  bounded_ring<sample_record> mRecords;
  time_point mNextTick{};
  time_point mNoSubmitBefore{};
  std::map<std::size_t, time_point> mRetryAt; ///< Backoff by sample.

  std::mutex mMutex; ///< Guards what follows.
  step_progress mProgress;
  std::map<std::size_t, std::vector<std::string>> mAvoid; ///< By sample.
  std::set<std::shared_ptr<sample_attempt>> mAttempts;
  bool mShedding = false; ///< The queue refused; submission pauses.
  bool mCancelled = false;
};

} // namespace arbutusferry
