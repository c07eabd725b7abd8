#pragma once

#include "arbutusferry/node/batch_book.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/item_scheduler.hpp"
#include "arbutusferry/node/target_protocol.hpp"

#include <memory>
#include <string>

namespace arbutusferry::node {

/// How a run of an item ended.
enum class run_end
{
  Complete,
  Full,       ///< Not run, for want of room.
  Misplaced,  ///< Not run: another target or weight version.
  Broken,     ///< The connection broke or the bytes made no sense.
  Failed,     ///< The target answered that it failed.
  Impossible, ///< The target answered that the item can never be done.
};

[[nodiscard]] std::string_view
RunEndName(run_end aEnd) noexcept;

class item_run;

/// Hears of runs.
class run_owner
{
public:
  virtual ~run_owner() = default;
  /// The next event of the item's text has arrived.
  virtual void OnRunEvent(const item_run& aRun,
                          std::string aData,
                          std::int64_t aVersion) = 0;
  virtual void OnRunEnded(const item_run& aRun, run_end aEnd) = 0;
};

/// One run of an item at a sampler. Kept alive by its exchange.
class item_run final
  : public response_sink
  , public std::enable_shared_from_this<item_run>
{
public:
  item_run(run_owner& aOwner,
           event_loop& aLoop,
           const target_protocol& aProtocol,
           std::string aBatch,
           std::size_t aIndex,
           std::string aSampler,
           item_call aCall);

  /// Sends the request.
  void Start(http_client& aClient, const target_entry& aTarget);
  /// Ends the run; its owner hears nothing more.
  void Cancel();

  [[nodiscard]] const std::string& Batch() const noexcept { return mBatch; }
  [[nodiscard]] std::size_t Index() const noexcept { return mIndex; }
  [[nodiscard]] const std::string& Sampler() const noexcept { return mSampler; }
  [[nodiscard]] const item_call& Call() const noexcept { return mCall; }
  [[nodiscard]] const run_pace& Pace() const noexcept { return mPace; }
  [[nodiscard]] std::size_t NewEvents() const noexcept { return mNewEvents; }

  void OnHead(int aStatus, const header_list& aHeaders) override;
  void OnBody(std::string_view aPart) override;
  void OnEnd() override;
  void OnFailure(exchange_failure aFailure) override;

private:
  void Conclude(run_end aEnd);

  run_owner* mOwner; ///< Null after the end.
  event_loop& mLoop;
  const target_protocol& mProtocol;
  std::string mBatch;
  std::size_t mIndex;
  std::string mSampler;
  item_call mCall;
  std::shared_ptr<http_exchange> mExchange;
  event_stream mStream;
  run_pace mPace;
  target_verdict mVerdict = target_verdict::Failed;
  std::int64_t mVersion = 0;
  std::size_t mNextEvent;
  std::size_t mNewEvents = 0;
};

} // namespace arbutusferry::node
