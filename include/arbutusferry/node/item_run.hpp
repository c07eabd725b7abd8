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

/// Outcome of a run of an item.
enum class run_outcome
{
  Complete,
  Full,       ///< Not run: the sampler has no free slot or is at its limit.
  Misplaced,  ///< Not run: the target or its weight version is another.
  Broken,     ///< The connection broke or the response is malformed.
  Failed,     ///< The target reported a failure.
  Impossible, ///< The target reported that the item can never succeed.
  RelayLost,  ///< The relaying node doesn't hold the run, or is gone.
};

[[nodiscard]] std::string_view
RunOutcomeName(run_outcome aEnd) noexcept;

class item_run;

/// Receives the events of runs.
class run_observer
{
public:
  virtual ~run_observer() = default;
  /// Called for each new event of the item, in order.
  /// @param aVersion Weight version that generated it.
  virtual void OnRunEvent(const item_run& aRun,
                          std::string aData,
                          std::int64_t aVersion) = 0;
  virtual void OnRunEnded(const item_run& aRun, run_outcome aEnd) = 0;
  /// Called with what the sampler's response says of its limit. Not called when
  /// attached to a stream, whose head may be old.
  virtual void OnRunLimit(const item_run& aRun,
                          const limit_notice& aNotice,
                          bool aGenuine) = 0;
  /// Called with the relaying node's clock, in milliseconds.
  virtual void OnRelayClock(const item_run& aRun, std::int64_t aClockMs) = 0;
};

/// One run of an item at a sampler. Its HTTP exchange keeps it alive.
class item_run final
  : public response_sink
  , public std::enable_shared_from_this<item_run>
{
public:
  item_run(run_observer& aObserver,
           event_loop& aLoop,
           const target_protocol& aProtocol,
           std::string aBatch,
           std::size_t aIndex,
           std::string aSampler,
           item_call aCall);

  /// Sends the request to the sampler.
  void Start(http_client& aClient,
             const target_entry& aTarget,
             start_right aRight = start_right::Any);
  /// Sends the request through a node that keeps the stream if the leader is
  /// lost.
  /// @param aSentAt The node's estimated clock in milliseconds.
  void StartRelayed(http_client& aClient,
                    run_location aPlace,
                    std::uint64_t aFence,
                    std::optional<std::int64_t> aSentAt,
                    const target_entry& aTarget,
                    start_right aRight = start_right::Any);
  /// Reads, from its start, a relayed stream that an earlier leader began.
  /// @param aKnownEvents Events of the item that the observer has already.
  void Attach(http_client& aClient,
              run_location aPlace,
              std::uint64_t aFence,
              std::size_t aKnownEvents);
  /// Ends the run; its observer gets no further calls.
  void Cancel();
  /// Closes this connection; its observer gets no further calls. A relayed run
  /// goes on for the next leader, any other ends.
  void Detach();

  [[nodiscard]] const std::string& Batch() const noexcept { return mBatch; }
  [[nodiscard]] std::size_t Index() const noexcept { return mIndex; }
  [[nodiscard]] const std::string& Sampler() const noexcept { return mSampler; }
  [[nodiscard]] const item_call& Call() const noexcept { return mCall; }
  [[nodiscard]] const run_timing& Timing() const noexcept { return mTiming; }
  [[nodiscard]] std::size_t NewEvents() const noexcept { return mNewEvents; }
  /// @return The relaying node and its stream, if the run is relayed.
  [[nodiscard]] const std::optional<run_location>& Location() const noexcept
  {
    return mPlace;
  }
  /// @return Whether the relaying node knows of a later leader.
  [[nodiscard]] bool Superseded() const noexcept
  {
    return mRelayError == relay_error::Stale;
  }
  /// @return Whether the relaying node could not be reached.
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
            http_request aRequest,
            const target_entry* aTarget = nullptr,
            start_right aRight = start_right::Any);
  [[nodiscard]] run_outcome RelayErrorEnd() const noexcept;

  run_observer* mObserver; ///< Null after the end.
  event_loop& mLoop;
  const target_protocol& mProtocol;
  std::string mBatch;
  std::size_t mIndex;
  std::string mSampler;
  item_call mCall;
  std::shared_ptr<http_exchange> mExchange;
  http_client* mClient = nullptr; ///< Client that sent the request.
  std::optional<run_location> mPlace;
  std::optional<relay_error> mRelayError;
  bool mRelayUnreachable = false;
  bool mHeadSeen = false;
  bool mAttached = false; ///< An earlier leader started the run.
  event_stream_parser mStream;
  run_timing mTiming;
  response_class mVerdict = response_class::Failed;
  std::int64_t mVersion = 0;
  std::size_t mNextEvent;
  std::size_t mKnownEvents; ///< Events that the observer has at the start.
  std::size_t mNewEvents = 0;
};

} // namespace arbutusferry::node
