#pragma once

#include "admission/call_admission.hpp"
#include "admission/capacity_estimate.hpp"
#include "admission/class_shares.hpp"
#include "admission/target_speeds.hpp"
#include "admission/waiting_calls.hpp"
#include "arbutusferry/log_limiter.hpp"
#include "arbutusferry/metrics.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/retry_budget.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace arbutusferry::node {

/// Admission by what this node's own requests meet; no messages between nodes.
/// Each service is separate. While its targets have capacity, all requests are
/// sent at once.
class node_admission final : public call_admission
{
public:
  using estimate_factory = std::function<std::unique_ptr<capacity_estimate>()>;

  node_admission(
    event_loop& aLoop,
    metrics_registry& aMetrics,
    estimate_factory aMakeEstimate =
      [] { return std::make_unique<queueing_estimate>(); },
    const waiting_limits& aLimits = {});

  admission_decision Offer(const offered_call& aCall,
                           time_point aNow,
                           decided aDecided) override;
  admission_decision OfferAgain(const offered_call& aCall,
                                time_point aNow,
                                decided aDecided) override;
  void Leave(std::uint64_t aTicket) override;
  void NoteAnswered(const offered_call& aCall,
                    const std::string& aTarget,
                    duration aTaken,
                    time_point aNow) override;
  void NoteAccepted(const offered_call& aCall, time_point aNow) override;
  void NoteFull(const offered_call& aCall,
                const std::string& aTarget,
                time_point aNow) override;
  [[nodiscard]] bool MayRetry(const offered_call& aCall,
                              time_point aNow) override;
  [[nodiscard]] bool MayHedge(const offered_call& aCall,
                              time_point aNow) override;
  [[nodiscard]] const target_ranking* Ranking(const std::string& aService,
                                              time_point aNow) const override;

private:
  /// What is known of a service.
  struct service_load
  {
    service_load(std::unique_ptr<capacity_estimate> aEstimate,
                 const waiting_limits& aLimits)
      : estimate(std::move(aEstimate))
      , waiting(aLimits)
    {
    }
    std::unique_ptr<capacity_estimate> estimate;
    class_shares shares;
    waiting_calls waiting;
    target_speeds speeds;
    retry_budget retries;
    retry_budget hedges;
    /// All targets were full; nothing that waits is sent before this time.
    time_point fullUntil;
    bool pressed = false; ///< As last logged.
  };
  /// A request that was refused and may come back.
  struct refused_call
  {
    time_point arrived; ///< When it first arrived.
    time_point refusedAt;
  };

  service_load& Load(const std::string& aService);
  /// @return The share of offered requests to send now.
  double ShareOf(const std::string& aService,
                 service_load& aLoad,
                 time_point aNow);
  [[nodiscard]] admission_decision WaitOrRefuse(service_load& aLoad,
                                                waiting_calls::entry aEntry,
                                                duration aWait,
                                                time_point aNow);
  [[nodiscard]] admission_decision Refusal(const offered_call& aCall,
                                           service_load& aLoad,
                                           duration aWait,
                                           const char* aReason,
                                           time_point aNow);
  /// Sends or refuses waiting requests whose time has come.
  void Dispatch(const std::string& aService,
                service_load& aLoad,
                time_point aNow);
  void DispatchAll();
  void ArmTimer();
  void CountVerdict(const offered_call& aCall, const char* aVerdict);

  event_loop& mLoop;
  metrics_registry& mMetrics;
  estimate_factory mMakeEstimate;
  waiting_limits mLimits;
  std::map<std::string, service_load> mServices;
  std::map<std::uint64_t, std::string> mWaitingService; ///< By ticket.
  std::map<std::string, refused_call> mRefused;         ///< By fingerprint.
  log_limiter mLogLimiter;
  std::unique_ptr<timer> mTimer; ///< Set only while requests wait.
};

} // namespace arbutusferry::node
