#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/step.hpp"
#include "samples/prefix_blocks.hpp"

#include <algorithm>

namespace arbutusferry {

namespace {

/// Interval between submissions and between checks for stragglers.
constexpr duration kTickInterval = std::chrono::milliseconds(100);

/// Pause in submission after the dispatcher rejected an item.
constexpr duration kRejectionPause = std::chrono::seconds(1);

/// Initial backoff after which a sample is retried even if the retry budget is
/// used up. While the last samples of a step fail, no success refills the
/// budget: without this retry, a crashed target stalled a step for 22 s.
constexpr duration kInitialBackoff = std::chrono::seconds(1);
constexpr int kMaxBackoffDoublings = 3; ///< Up to 8 s.

/// Maximum number of failed targets that a sample avoids; older ones may be
/// tried again.
constexpr std::size_t kMaxAvoided = 4;

constexpr std::size_t kExchangeIdBytes = 16;

/// Bytes of a prompt per token, for estimates only.
constexpr double kBytesPerToken = 4.0;

} // namespace

struct step_session::sample_attempt
{
  std::size_t sample = 0;
  exchange_control control;
  time_point submitted{};
  time_point started{};
  work_id id = 0;        ///< Set when `Submit` returned.
  bool hasId = false;    ///< `id` is set.
  bool answered = false; ///< The dispatcher assigned or rejected it.
  bool cancelled = false;
};

std::shared_ptr<step_session>
step_session::Start(step_request aStep,
                    delivery_cursor aCursor,
                    step_parts aParts)
{
  std::shared_ptr<step_session> session(
    new step_session(std::move(aStep), std::move(aCursor), std::move(aParts)));
  session->Tick(session->mParts.clock->Now());
  return session;
}

step_session::step_session(step_request aStep,
                           delivery_cursor aCursor,
                           step_parts aParts)
  : mStep(std::move(aStep))
  , mParts(std::move(aParts))
  , mCursor(std::move(aCursor))
  , mRecords(std::max<std::size_t>(1, mCursor.Samples()))
  , mProgress(mStep, mCursor, mParts.hedging)
{
}

bool
step_session::QueueIsEmpty() const
{
  for (const team_demand& demand : mParts.work->Demand()) {
    if (demand.targetClass == mParts.targetClass && demand.waiting > 0) {
      return false;
    }
  }
  return true;
}

void
step_session::Observe(const char* aName, duration aTook) const
{
  mParts.metrics->Observe(
    aName,
    { { "class", mParts.targetClass }, { "tenant", mParts.team } },
    std::chrono::duration<double>(aTook).count());
}

void
step_session::Tick(time_point aNow)
{
  mNextTick = aNow + kTickInterval;
  std::vector<std::size_t> ready;
  std::vector<std::size_t> late;
  {
    const std::lock_guard lock(mMutex);
    if (mCancelled) {
      return;
    }
    if (mItemRejected) {
      mItemRejected = false;
      mSubmitPausedUntil = aNow + kRejectionPause;
    }
    if (aNow < mSubmitPausedUntil) {
      return;
    }
    ready = mProgress.Ready(mParts.maxOpenAttempts);
    late = mProgress.Stragglers(aNow);
  }
  for (const std::size_t sample : ready) {
    if (MayAttempt(sample, aNow)) {
      Submit(sample, aNow);
    }
  }
  if (ready.empty() && !late.empty() && QueueIsEmpty()) {
    for (const std::size_t sample : late) {
      mParts.metrics->Count(
        "arbutusferry_hedges_total",
        { { "class", mParts.targetClass }, { "tenant", mParts.team } });
      Submit(sample, aNow);
    }
  }
}

bool
step_session::MayAttempt(std::size_t aSample, time_point aNow)
{
  int attempts = 0;
  {
    const std::lock_guard lock(mMutex);
    attempts = mProgress.Attempts(aSample);
  }
  if (attempts == 0) {
    return true;
  }
  if (mParts.work->TryRetry(mParts.team, aNow)) {
    mRetryAt.erase(aSample);
    return true;
  }
  const int doublings = std::min(attempts - 1, kMaxBackoffDoublings);
  const auto [entry, isNew] =
    mRetryAt.try_emplace(aSample, aNow + kInitialBackoff * (1 << doublings));
  if (isNew || aNow < entry->second) {
    return false;
  }
  mRetryAt.erase(entry);
  return true;
}

void
step_session::Submit(std::size_t aSample, time_point aNow)
{
  const auto attempt = std::make_shared<sample_attempt>();
  attempt->sample = aSample;
  attempt->submitted = aNow;
  work_item item;
  item.team = mParts.team;
  item.targetClass = mParts.targetClass;
  item.kind = work_kind::Sample;
  item.idempotent = true;
  item.deadline = mParts.deadline;
  item.minVersion =
    std::max(mParts.minVersion, mStep.weightVersion - mParts.stalenessBound);
  {
    const std::lock_guard lock(mMutex);
    if (mCancelled || mProgress.IsDone(aSample)) {
      return;
    }
    const step_group& group = mStep.groups[mProgress.GroupOf(aSample)];
    item.group = mStep.step + "/" + group.id;
    item.groupRemaining = mProgress.GroupRemaining(aSample);
    item.estimatedTokens =
      static_cast<double>(group.maxTokens) +
      static_cast<double>(group.prompt.size()) / kBytesPerToken;
    item.prefix = PrefixBlockHashes(group.prompt);
    item.avoid = mAvoidedTargets[aSample];
    mProgress.RecordSubmit(aSample);
    mAttempts.insert(attempt);
  }
  const work_id id = mParts.work->Submit(
    std::move(item),
    [self = shared_from_this(),
     attempt](const std::variant<assignment, error_info>& aAnswer) {
      self->OnAssigned(attempt, aAnswer);
    },
    aNow);
  bool withdraw = false;
  {
    const std::lock_guard lock(mMutex);
    attempt->id = id;
    attempt->hasId = true;
    withdraw = attempt->cancelled && !attempt->answered;
  }
  if (withdraw && mParts.work->Cancel(id)) {
    Close(attempt);
  }
}

void
step_session::OnAssigned(const std::shared_ptr<sample_attempt>& aAttempt,
                         const std::variant<assignment, error_info>& aAnswer)
{
  const auto* accepted = std::get_if<assignment>(&aAnswer);
  const time_point now = mParts.clock->Now();
  bool run = false;
  {
    const std::lock_guard lock(mMutex);
    aAttempt->answered = true;
    if (accepted == nullptr) {
      mItemRejected = true;
    } else if (!aAttempt->cancelled) {
      run = true;
      aAttempt->started = now;
      mProgress.RecordStart(aAttempt->sample, now);
    }
  }
  if (run) {
    Observe("arbutusferry_queue_wait_seconds", now - aAttempt->submitted);
  }
  if (run &&
      mParts.execute([self = shared_from_this(), aAttempt, target = *accepted] {
        self->RunAttempt(aAttempt, target);
      })) {
    return;
  }
  if (accepted != nullptr) {
    mParts.work->Complete(accepted->id, completion{}, now);
  }
  Close(aAttempt);
}

upstream_request
step_session::MakeRequest(std::size_t aSample) const
{
  const step_group& group = mStep.groups[mProgress.GroupOf(aSample)];
  Json::Value body;
  body["model"] = mStep.model;
  body["prompt"] = group.prompt;
  body["max_tokens"] = static_cast<Json::Int64>(group.maxTokens);
  body["seed"] =
    static_cast<Json::Int64>(group.seed + mProgress.IndexOf(aSample));
  body["stream"] = true;
  upstream_request request;
  request.exchangeId = RandomHex(kExchangeIdBytes);
  request.method = "POST";
  request.path = "/v1/completions";
  request.headers = { { "Content-Type", "application/json" } };
  request.body = WriteJson(body);
  request.idempotent = true;
  request.events = true;
  request.deadline = mParts.deadline;
  return request;
}

void
step_session::RunAttempt(const std::shared_ptr<sample_attempt>& aAttempt,
                         const assignment& aAssignment)
{
  sample_record record;
  record.sample = aAttempt->sample;
  const upstream_answer answer = mParts.transport->Exchange(
    aAssignment.target,
    MakeRequest(aAttempt->sample),
    [&](const Json::Value& aEvent) {
      if (record.answer.tokens.empty()) {
        Observe("arbutusferry_first_token_seconds",
                mParts.clock->Now() - aAttempt->submitted);
      }
      return record.answer.Add(aEvent);
    },
    aAttempt->control);
  const time_point now = mParts.clock->Now();
  const bool complete =
    answer.result == outcome::Answered && answer.status == 200;
  const sample_disposition disposition =
    complete ? ClassifySample(
                 record.answer, mStep.weightVersion, mParts.stalenessBound)
             : sample_disposition::Truncated;
  completion end;
  end.tokens = static_cast<double>(record.answer.promptTokens +
                                   record.answer.segments.Tokens());
  end.targetFailed =
    !aAttempt->control.Cancelled() &&
    (answer.result != outcome::Answered || answer.status >= 500);
  mParts.work->Complete(aAssignment.id, end, now);
  if (disposition != sample_disposition::Deliver) {
    if (!aAttempt->control.Cancelled()) {
      mParts.metrics->Count("arbutusferry_samples_discarded_total",
                            { { "class", mParts.targetClass },
                              { "reason", std::string(EnumName(disposition)) },
                              { "tenant", mParts.team } });
      const std::lock_guard lock(mMutex);
      auto& avoided = mAvoidedTargets[aAttempt->sample];
      avoided.push_back(aAssignment.target.id);
      if (avoided.size() > kMaxAvoided) {
        avoided.erase(avoided.begin());
      }
    }
    Close(aAttempt);
    return;
  }
  bool first = false;
  {
    const std::lock_guard lock(mMutex);
    first = !mCancelled &&
            mProgress.RecordSuccess(aAttempt->sample, now - aAttempt->started);
  }
  Close(aAttempt);
  if (first) {
    Observe("arbutusferry_latency_seconds", now - aAttempt->submitted);
    mRecords.Push(std::move(record));
    CancelOthers(aAttempt->sample);
  }
}

void
step_session::Close(const std::shared_ptr<sample_attempt>& aAttempt)
{
  const std::lock_guard lock(mMutex);
  if (mAttempts.erase(aAttempt) > 0) {
    mProgress.RecordEnd(aAttempt->sample);
  }
}

void
step_session::CancelOthers(std::size_t aSample)
{
  std::vector<std::shared_ptr<sample_attempt>> others;
  {
    const std::lock_guard lock(mMutex);
    for (const auto& attempt : mAttempts) {
      if (attempt->sample == aSample) {
        attempt->cancelled = true;
        others.push_back(attempt);
      }
    }
  }
  for (const auto& attempt : others) {
    attempt->control.Cancel();
    bool waiting = false;
    {
      const std::lock_guard lock(mMutex);
      waiting = attempt->hasId && !attempt->answered;
    }
    if (waiting && mParts.work->Cancel(attempt->id)) {
      Close(attempt);
    }
  }
}

void
step_session::Cancel()
{
  std::set<std::size_t> samples;
  {
    const std::lock_guard lock(mMutex);
    mCancelled = true;
    for (const auto& attempt : mAttempts) {
      samples.insert(attempt->sample);
    }
  }
  mRecords.Close();
  for (const std::size_t sample : samples) {
    CancelOthers(sample);
  }
}

void
step_session::Deliver(const sample_record& aRecord, std::string& aOut)
{
  if (!mCursor.Add(aRecord.sample)) {
    return;
  }
  const sample_answer& answer = aRecord.answer;
  Json::Value line;
  line["group"] = mStep.groups[mProgress.GroupOf(aRecord.sample)].id;
  line["index"] = static_cast<Json::Int64>(mProgress.IndexOf(aRecord.sample));
  line["text"] = answer.text;
  line["tokens"] = answer.tokens;
  line["segments"] = Json::Value(Json::arrayValue);
  for (const weight_segment& segment : answer.segments.List()) {
    Json::Value value;
    value["version"] = static_cast<Json::Int64>(segment.version);
    value["from"] = static_cast<Json::Int64>(segment.from);
    value["to"] = static_cast<Json::Int64>(segment.to);
    line["segments"].append(value);
  }
  line["cursor"] = mCursor.Encode();
  aOut += WriteJson(line) + "\n";
  mParts.metrics->Observe(
    "arbutusferry_staleness_versions",
    { { "class", mParts.targetClass }, { "tenant", mParts.team } },
    static_cast<double>(std::max<std::int64_t>(
      0, mStep.weightVersion - answer.segments.Oldest())));
  if (mParts.delivered) {
    mParts.delivered(answer.promptTokens, answer.segments.Tokens());
  }
}

bool
step_session::EndWithError(error_code aCode,
                           const std::string& aMessage,
                           std::string& aOut)
{
  Cancel();
  Json::Value line;
  Json::Value& error = line["error"];
  error["outcome"] = std::string(EnumName(outcome::Unknown));
  error["code"] = std::string(EnumName(aCode));
  error["step"] = "deliver samples";
  error["peer"] = "";
  error["message"] = aMessage;
  line["cursor"] = mCursor.Encode();
  aOut += WriteJson(line) + "\n";
  return false;
}

bool
step_session::Next(std::string& aOut)
{
  if (mCursor.Count() == mCursor.Samples()) {
    Json::Value line;
    line["done"] = true;
    line["cursor"] = mCursor.Encode();
    aOut += WriteJson(line) + "\n";
    Cancel();
    return false;
  }
  const auto record = mRecords.Pop(mParts.pollTimeout);
  const time_point now = mParts.clock->Now();
  if (mParts.withdrawn && mParts.withdrawn()) {
    return EndWithError(error_code::Unauthorized, "key_withdrawn", aOut);
  }
  if (record) {
    Deliver(*record, aOut);
  } else if (now >= mParts.deadline) {
    return EndWithError(error_code::Timeout, "step deadline exceeded", aOut);
  } else if (mRecords.Drained()) {
    return EndWithError(
      error_code::Unavailable, "step session cancelled", aOut);
  }
  if (now >= mNextTick) {
    Tick(now);
  }
  return true;
}

} // namespace arbutusferry
