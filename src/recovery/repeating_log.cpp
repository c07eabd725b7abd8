#include "recovery/repeating_log.hpp"

#include "arbutusferry/logging.hpp"

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Silence after which an append is sent again: three times what a store takes
/// that is fifty times slower than usual (4 ms).
constexpr milliseconds kRepeatDelay{ 600 };
/// Sends of one append. The client gives up on each after 2.5 s, so the last
/// one is under way when the first one fails.
constexpr int kMaxSends = 4;

} // namespace

/// One append, kept alive by the calls and the timer that wait for it.
class repeating_log::repeated_append final
  : public std::enable_shared_from_this<repeated_append>
{
public:
  repeated_append(event_loop& aLoop,
                  record_log& aLog,
                  append_request aRequest,
                  std::function<void(const append_result&)> aDone)
    : mLoop(aLoop)
    , mLog(aLog)
    , mRequest(std::move(aRequest))
    , mDone(std::move(aDone))
  {
  }

  void Send()
  {
    ++mSends;
    ++mPending;
    if (mSends < kMaxSends) {
      mTimer = mLoop.After(kRepeatDelay, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->Send();
        }
      });
    }
    mLog.Append(mRequest,
                [self = shared_from_this()](const append_result& aResult) {
                  self->OnResult(aResult);
                });
  }

private:
  void OnResult(append_result aResult)
  {
    --mPending;
    if (!mDone) {
      return;
    }
    const bool conclusive = aResult.status != append_status::Unknown &&
                            aResult.status != append_status::Refused;
    mInDoubt = mInDoubt || aResult.status == append_status::Unknown;
    if (!conclusive) {
      if (mPending > 0) {
        return;
      }
      // A refusal speaks for its own send only.
      aResult.status =
        mInDoubt ? append_status::Unknown : append_status::Refused;
    } else if (aResult.status == append_status::WrongSequence && mSends > 1) {
      // It may be this append that moved the sequence on. The sender compares
      // the sequence when it repeats an append in doubt.
      aResult = {};
    }
    if (mSends > 1) {
      Log(log_level::Info,
          "append_repeated",
          { { "topic", mRequest.where.topic },
            { "sends", std::to_string(mSends) },
            { "status", std::to_string(static_cast<int>(aResult.status)) } });
    }
    mTimer.reset();
    std::exchange(mDone, nullptr)(aResult);
  }

  event_loop& mLoop;
  record_log& mLog;
  append_request mRequest;
  std::function<void(const append_result&)> mDone;
  std::unique_ptr<timer> mTimer;
  int mSends = 0;
  int mPending = 0;
  bool mInDoubt = false; ///< A send may have been executed, or may be later.
};

void
repeating_log::Append(append_request aRequest,
                      std::function<void(const append_result&)> aDone)
{
  if (!aRequest.producer && !aRequest.expectedEnd) {
    mLog.Append(std::move(aRequest), std::move(aDone));
    return;
  }
  std::make_shared<repeated_append>(
    mLoop, mLog, std::move(aRequest), std::move(aDone))
    ->Send();
}

} // namespace arbutusferry::node
