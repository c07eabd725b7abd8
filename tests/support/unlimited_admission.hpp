#pragma once

#include "admission/call_admission.hpp"
#include "arbutusferry/node/event_loop.hpp"

#include <map>
#include <memory>

namespace arbutusferry::node {

/// The policy before admission control, for comparison: sends every request at
/// once, and polls full targets.
class unlimited_admission final : public call_admission
{
public:
  /// Delay before a request is retried after all targets were full.
  static constexpr std::chrono::milliseconds kFullRetryDelay{ 25 };

  explicit unlimited_admission(event_loop& aLoop)
    : mLoop(aLoop)
  {
  }
  admission_decision Offer(const offered_call&, time_point, decided) override
  {
    return {};
  }
  admission_decision OfferAgain(const offered_call& aCall,
                                time_point,
                                decided aDecided) override
  {
    mTimers[aCall.ticket] =
      mLoop.After(kFullRetryDelay, [decided = std::move(aDecided)] {
        decided(admission_decision{});
      });
    return { admission_verdict::Wait, {} };
  }
  void Leave(std::uint64_t aTicket) override { mTimers.erase(aTicket); }
  void NoteAnswered(const offered_call&,
                    const std::string&,
                    duration,
                    time_point) override
  {
  }
  void NoteAccepted(const offered_call&, time_point) override {}
  void NoteFull(const offered_call&, const std::string&, time_point) override {}
  [[nodiscard]] bool MayRetry(const offered_call&, time_point) override
  {
    return true;
  }
  [[nodiscard]] bool MayHedge(const offered_call&, time_point) override
  {
    return true;
  }
  [[nodiscard]] const target_ranking* Ranking(const std::string&,
                                              time_point) const override
  {
    return nullptr;
  }

private:
  event_loop& mLoop;
  std::map<std::uint64_t, std::unique_ptr<timer>> mTimers;
};

} // namespace arbutusferry::node
