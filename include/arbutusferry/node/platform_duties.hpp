#pragma once

#include "arbutusferry/node/environment_view.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/target_view.hpp"
#include "arbutusferry/node/usage_windows.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace arbutusferry::node {

/// How a call to the platform's ordering and billing interface ended.
enum class duty_status
{
  Done,
  Conflict, ///< A higher fencing token was seen, or no capacity is available.
  Failed,   ///< Not accepted, or no response.
};

/// The platform's ordering and billing interface.
class duty_client
{
public:
  virtual ~duty_client() = default;
  virtual void ReportUsage(std::int64_t aWindow,
                           const team_counts& aCounts,
                           std::uint64_t aFence,
                           std::function<void(duty_status)> aDone) = 0;
  virtual void OrderTargets(const std::string& aService,
                            const std::string& aZone,
                            int aCount,
                            std::uint64_t aFence,
                            std::function<void(duty_status)> aDone) = 0;
};

/// Sends one usage report for each window. Writes its counts to the journal
/// first, so that every repeat, even by a later leader, is the same.
class usage_reporter
{
public:
  struct parts
  {
    event_loop& loop;
    duty_client& client;
    std::uint64_t fence = 0;
    std::chrono::milliseconds window{ 5'000 };
    /// Time after a window's end by which its report is due.
    std::chrono::milliseconds due{ 10'000 };
    /// Makes the counts of a window durable, then calls the function.
    std::function<void(std::int64_t, const team_counts&, std::function<void()>)>
      persist;
    std::function<bool()> mayAct;
    std::function<void()> superseded;
  };

  usage_reporter(parts aParts,
                 const std::map<std::int64_t, std::string>& aPersisted);
  /// Adds the counts of a process.
  void Add(const std::string& aProcess, const window_counts& aWindows)
  {
    mTotals.Add(aProcess, aWindows);
  }
  /// Sends the reports that are due.
  void Tick();

private:
  struct report
  {
    team_counts counts;
    bool persisted = false;
    bool inProgress = false;
    bool done = false;
  };
  void Send(std::int64_t aWindow);

  parts mParts;
  usage_totals mTotals;
  std::map<std::int64_t, report> mReports;
  std::int64_t mFirstWindow = 0; ///< Earlier windows are forgotten.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

/// Decides how many targets to order for each service and zone.
class scale_plan
{
public:
  struct order
  {
    std::string service;
    std::string zone;
    int count = 0;
  };
  /// @param aZones All zones.
  /// @return Orders to send now.
  [[nodiscard]] std::vector<order> Due(const environment_view& aEnvironment,
                                       const target_view& aTargets,
                                       const std::vector<std::string>& aZones,
                                       time_point aNow);
  /// Notes how an order ended.
  void Note(const order& aOrder, duty_status aStatus, time_point aNow);

private:
  struct state
  {
    int ordered = -1;
    time_point notBefore;
    bool inProgress = false;
  };
  std::map<std::pair<std::string, std::string>, state> mStates;
};

} // namespace arbutusferry::node
