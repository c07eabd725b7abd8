#pragma once

#include "arbutusferry/node/target_view.hpp"
#include "arbutusferry/time.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace arbutusferry::node {

/// What decides about the admission of a request.
struct offered_call
{
  std::uint64_t ticket = 0; ///< Unique among the calls in progress.
  std::string id;
  std::string fingerprint; ///< Same for repeats under other ids.
  std::string service;
  std::string team;
  int priority = 0; ///< 0 is served first.
  /// Whether it yields to callers' own requests.
  bool yields = false;
  time_point arrived;
  duration latencyTarget{};
  time_point answerBy; ///< When its caller gets its final response.
  std::size_t bytes = 0;
  /// Whether a target refused it as full since it was last offered.
  bool foundFull = false;
};

enum class admission_verdict
{
  Send,
  Wait,   ///< The decision follows.
  Refuse, ///< Its time would pass before a target could take it.
};

struct admission_decision
{
  admission_verdict verdict = admission_verdict::Send;
  /// If refused: delay after which the caller should retry.
  std::chrono::milliseconds retryAfter{ 0 };
};

/// Decides when requests are sent to targets, and learns from their outcomes.
class call_admission
{
public:
  using decided = std::function<void(const admission_decision&)>;

  virtual ~call_admission() = default;
  /// Asks for a new request.
  /// @param aDecided Called later, once, if the request has to wait, unless it
  /// leaves.
  virtual admission_decision Offer(const offered_call& aCall,
                                   time_point aNow,
                                   decided aDecided) = 0;
  /// Asks again for a request that no target took.
  virtual admission_decision OfferAgain(const offered_call& aCall,
                                        time_point aNow,
                                        decided aDecided) = 0;
  /// Forgets a waiting request.
  virtual void Leave(std::uint64_t aTicket) = 0;
  /// Notes a response.
  /// @param aTaken Time since it was sent to the target.
  virtual void NoteAnswered(const offered_call& aCall,
                            const std::string& aTarget,
                            duration aTaken,
                            time_point aNow) = 0;
  /// Notes that a target began a stream.
  virtual void NoteAccepted(const offered_call& aCall, time_point aNow) = 0;
  /// Notes that a target refused a request as full.
  virtual void NoteFull(const offered_call& aCall,
                        const std::string& aTarget,
                        time_point aNow) = 0;
  /// @return Whether a request may be repeated after it may have run.
  [[nodiscard]] virtual bool MayRetry(const offered_call& aCall,
                                      time_point aNow) = 0;
  /// @return Whether a request may be sent to a second target meanwhile.
  [[nodiscard]] virtual bool MayHedge(const offered_call& aCall,
                                      time_point aNow) = 0;
  /// @return The order of a service's targets under pressure, or null.
  [[nodiscard]] virtual const target_ranking* Ranking(
    const std::string& aService,
    time_point aNow) const = 0;
};

} // namespace arbutusferry::node
