#include "arbutusferry/node/batch_journal.hpp"

#include "arbutusferry/logging.hpp"

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Delay before a failed call is retried.
constexpr milliseconds kRetryDelay{ 100 };

} // namespace

batch_journal::batch_journal(event_loop& aLoop,
                             record_log& aLog,
                             log_partition aPartition,
                             std::uint64_t aEpoch,
                             std::function<void()> aOnFenced)
  : mLoop(aLoop)
  , mLog(aLog)
  , mPartition(std::move(aPartition))
  , mEpoch(aEpoch)
  , mOnFenced(std::move(aOnFenced))
{
}

void
batch_journal::Open(std::function<void(journal_contents)> aDone)
{
  mOnOpened = std::move(aDone);
  Fence();
}

void
batch_journal::Fence()
{
  append_request request;
  request.where = mPartition;
  request.producer = log_producer{ "leader", mEpoch, mSequence };
  mLog.Append(
    std::move(request),
    [this, alive = std::weak_ptr<bool>(mAlive)](const append_result& aResult) {
      if (alive.expired()) {
        return;
      }
      switch (aResult.status) {
        case append_status::Done:
        case append_status::WrongSequence: // The epoch was accepted.
          ReadPage({});
          break;
        case append_status::Fenced:
          mOnFenced();
          break;
        default:
          mTimer = mLoop.After(kRetryDelay, [this] { Fence(); });
          break;
      }
    });
}

void
batch_journal::ReadPage(const std::string& aAfter)
{
  mLog.Newest(
    mPartition,
    aAfter,
    [this, aAfter, alive = std::weak_ptr<bool>(mAlive)](
      const newest_result& aResult) {
      if (alive.expired()) {
        return;
      }
      if (!aResult.done) {
        mTimer = mLoop.After(kRetryDelay, [this, aAfter] { ReadPage(aAfter); });
        return;
      }
      std::string last;
      for (const log_entry& entry : aResult.entries) {
        last = entry.record.key;
        if (last.starts_with(kTextKeyPrefix)) {
          break;
        }
        mReader.Add(entry);
      }
      if (aResult.more && !last.empty() && !last.starts_with(kTextKeyPrefix)) {
        ReadPage(last);
        return;
      }
      mOpen = true;
      mOnOpened(mReader.Finish());
      SendNext();
    });
}

void
batch_journal::ReadTexts(
  const std::string& aBatch,
  std::size_t aFrom,
  std::function<void(std::map<std::size_t, std::string>&)> aDone)
{
  const std::string prefix = TextPrefix(aBatch);
  mLog.Newest(mPartition,
              aFrom == 0 ? prefix : TextKey(aBatch, aFrom - 1),
              [prefix, done = std::move(aDone)](const newest_result& aResult) {
                std::map<std::size_t, std::string> texts;
                for (const auto& [offset, record] : aResult.entries) {
                  if (!record.key.starts_with(prefix)) {
                    break;
                  }
                  if (const auto position =
                        ParseInteger(record.key.substr(prefix.size()))) {
                    texts[static_cast<std::size_t>(*position)] = record.value;
                  }
                }
                done(texts);
              });
}

void
batch_journal::Append(std::vector<log_record> aRecords,
                      std::function<void()> aDone,
                      std::function<void()> aOnRejected)
{
  mQueue.push_back(
    { std::move(aRecords), std::move(aDone), std::move(aOnRejected) });
  SendNext();
}

void
batch_journal::SendNext()
{
  if (!mOpen || !mInFlight.empty() || mQueue.empty()) {
    return;
  }
  mCallRecords.clear();
  std::size_t bytes = 0;
  while (!mQueue.empty()) {
    std::size_t size = 0;
    for (const log_record& record : mQueue.front().records) {
      size += record.value.size() + kRecordOverhead;
    }
    if (!mInFlight.empty() && bytes + size > mLog.MaxCallBytes()) {
      break;
    }
    bytes += size;
    mInFlight.push_back(std::move(mQueue.front()));
    mQueue.pop_front();
    for (log_record& record : mInFlight.back().records) {
      mCallRecords.push_back(std::move(record));
    }
  }
  mOutcomeUnknown = false;
  SendCall();
}

void
batch_journal::SendCall()
{
  append_request request;
  request.where = mPartition;
  request.records = mCallRecords;
  request.producer = log_producer{ "leader", mEpoch, mSequence };
  mLog.Append(
    std::move(request),
    [this, alive = std::weak_ptr<bool>(mAlive)](const append_result& aResult) {
      if (!alive.expired()) {
        OnAppendResult(aResult);
      }
    });
}

void
batch_journal::OnAppendResult(const append_result& aResult)
{
  switch (aResult.status) {
    case append_status::Fenced:
      mOnFenced();
      return;
    case append_status::WrongSequence:
      if (!mOutcomeUnknown || aResult.expectedSequence != mSequence + 1) {
        // The store expects another number, as after the fencing append.
        mSequence = aResult.expectedSequence;
        SendCall();
        return;
      }
      break; // An earlier attempt of this call was applied.
    case append_status::Done:
      break;
    case append_status::Unknown:
      mOutcomeUnknown = true;
      Retry();
      return;
    case append_status::Refused:
    case append_status::WrongEnd:
      Retry();
      return;
    case append_status::Invalid:
      // A retry would fail again and block all later appends.
      Log(log_level::Error,
          "journal_call_invalid",
          { { "epoch", std::to_string(mEpoch) },
            { "sequence", std::to_string(mSequence) },
            { "records", std::to_string(mCallRecords.size()) },
            { "first_key",
              mCallRecords.empty() ? "" : mCallRecords.front().key } });
      if (Conclude(&pending_append::onRejected)) {
        SendNext();
      }
      return;
  }
  if (mRetryingSince) {
    Log(log_level::Info,
        "journal_regained",
        { { "epoch", std::to_string(mEpoch) },
          { "ms",
            std::to_string(ToMilliseconds(mLoop.Now() - *mRetryingSince)) } });
    mRetryingSince.reset();
  }
  ++mSequence;
  if (Conclude(&pending_append::done)) {
    SendNext();
  }
}

bool
batch_journal::Conclude(std::function<void()> pending_append::*aFunction)
{
  const auto alive = std::weak_ptr<bool>(mAlive);
  for (const pending_append& sent : std::exchange(mInFlight, {})) {
    if (const auto& function = sent.*aFunction) {
      function();
    }
    if (alive.expired()) {
      return false;
    }
  }
  return true;
}

void
batch_journal::Retry()
{
  if (!mRetryingSince) {
    mRetryingSince = mLoop.Now();
    Log(log_level::Warning,
        "journal_stuck",
        { { "epoch", std::to_string(mEpoch) },
          { "sequence", std::to_string(mSequence) },
          { "in_doubt", mOutcomeUnknown ? "yes" : "no" } });
  }
  mTimer = mLoop.After(kRetryDelay, [this] { SendCall(); });
}

} // namespace arbutusferry::node
