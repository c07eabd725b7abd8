#pragma once

#include "arbutusferry/node/batch_table.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/item_scheduler.hpp"
#include "arbutusferry/node/run_relay.hpp"
#include "arbutusferry/node/target_protocol.hpp"

#include <memory>
#include <string>

namespace arbutusferry::node {

/// How a run of an item ended.
enum class run_outcome
{
  Complete,
  Full,       ///< Not run, for want of room.
  Misplaced,  ///< Not run: another target or weight version.
  Broken,     ///< The connection broke or the bytes made no sense.
  Failed,     ///< The target answered that it failed.
  Impossible, ///< The target answered that the item can never be done.
  RelayLost,  ///< The node that relays the run has none, or has ended.
};

[[nodiscard]] std::string_view
RunOutcomeName(run_outcome aEnd) noexcept;

class item_run;

/// Hears of runs.
class run_observer
{
public:
  virtual ~run_observer() = default;
  /// The next event of the item's text has arrived.
  virtual void OnRunEvent(const item_run& aRun,
                          std::string aData,
                          std::int64_t aVersion) = 0;
  virtual void OnRunEnded(const item_run& aRun, run_outcome aEnd) = 0;
  /// The node that holds the stream has told its clock, in milliseconds.
  virtual void OnRelayTime(const item_run& aRun, std::int64_t aTime) = 0;
};

/// One run of an item at a sampler. Kept alive by its exchange.
class item_run final
  : public response_sink
  , public std::enable_shared_from_this<item_run>
{
public:
  item_run(run_observer& aOwner,
           event_loop& aLoop,
           const target_protocol& aProtocol,
           std::string aBatch,
           std::size_t aIndex,
           std::string aSampler,
           item_call aCall);

  /// Sends the request to the sampler.
  void Start(http_client& aClient, const target_entry& aTarget);
  /// Sends it through a node that holds the stream if the leader is lost.
  void StartRelayed(http_client& aClient,
                    run_location aPlace,
                    std::uint64_t aFence,
                    std::optional<std::int64_t> aSentAt,
                    const target_entry& aTarget);
  /// Reads a stream that an earlier leader began, from its start.
  /// @param aHave Events of the item that are there already.
  void Attach(http_client& aClient,
              run_location aPlace,
              std::uint64_t aFence,
              std::size_t aHave);
  /// Ends the run; its owner hears nothing more.
  void Cancel();
  /// Leaves the run to the next leader if a node holds it, and ends it
  /// otherwise; its owner hears nothing more.
  void Leave();

  [[nodiscard]] const std::string& Batch() const noexcept { return mBatch; }
  [[nodiscard]] std::size_t Index() const noexcept { return mIndex; }
  [[nodiscard]] const std::string& Sampler() const noexcept { return mSampler; }
  [[nodiscard]] const item_call& Call() const noexcept { return mCall; }
  [[nodiscard]] const run_pace& Timing() const noexcept { return mPace; }
  [[nodiscard]] std::size_t NewEvents() const noexcept { return mNewEvents; }
  /// @return The node that holds the stream, if one does.
  [[nodiscard]] const std::optional<run_location>& Location() const noexcept
  {
    return mPlace;
  }
  /// @return Whether that node knows of a later leader.
  [[nodiscard]] bool Superseded() const noexcept
  {
    return mRelayError == relay_error::Stale;
  }
  /// @return Whether that node could not be reached.
  [[nodiscard]] bool RelayUnreachable() const noexcept
  {
    return mRelayUnreachable;
  }

  void OnHead(int aStatus, const header_list& aHeaders) override;
  void OnBody(std::string_view aPart) override;
  void OnEnd() override;
  void OnFailure(exchange_failure aFailure) override;

private:
  void Conclude(run_outcome aEnd);
  void Send(http_client& aClient,
            const socket_address& aPeer,
            http_request aRequest);
  [[nodiscard]] run_outcome EndOfRelay() const noexcept;

  run_observer* mOwner; ///< Null after the end.
  event_loop& mLoop;
  const target_protocol& mProtocol;
  std::string mBatch;
  std::size_t mIndex;
  std::string mSampler;
  item_call mCall;
  std::shared_ptr<http_exchange> mExchange;
  http_client* mClient = nullptr; ///< Of the start.
  std::optional<run_location> mPlace;
  std::optional<relay_error> mRelayError;
  bool mRelayUnreachable = false;
  bool mHeadSeen = false;
  event_stream_parser mStream;
  run_pace mPace;
  response_class mVerdict = response_class::Failed;
  std::int64_t mVersion = 0;
  std::size_t mNextEvent;
  std::size_t mHave; ///< Events that the owner has already.
  std::size_t mNewEvents = 0;
};

} // namespace arbutusferry::node
