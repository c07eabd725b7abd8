#pragma once

#include "arbutusferry/dispatcher.hpp"
#include "arbutusferry/node_sync.hpp"
#include "arbutusferry/rpc.hpp"
#include "arbutusferry/time.hpp"
#include "entry/config_view.hpp"

#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <vector>

namespace arbutusferry {

/// Makes a client of the control process at an address.
using rpc_factory =
  std::function<std::unique_ptr<rpc_client>(const std::string&)>;

/// Dependencies of a sync loop; all must outlive it.
struct sync_parts
{
  const clock_source* clock = nullptr;
  config_view* view = nullptr;
  dispatcher* work = nullptr;
  std::string environment;
  std::vector<std::string> controls; ///< Addresses in order of preference.
  rpc_factory makeClient;
  std::function<entry_info()> describe;
  std::function<std::vector<usage_counter>()> takeUsage;
  /// Called with counters that an answer confirmed.
  std::function<void(const std::vector<usage_counter>&)> confirmUsage;
};

/// Keeps a `node.sync` call open at a control process and applies its answers.
class sync_loop
{
public:
  explicit sync_loop(sync_parts aParts);

  /// Runs until stopped.
  void Run(const std::stop_token& aStop);

  /// Makes one `node.sync` call.
  /// @param aHoldMs Longest time for which the control process may hold the
  /// call.
  /// @return False if it failed; the next call goes to the next address.
  bool SyncOnce(std::int64_t aHoldMs);

private:
  /// @return Targets whose kind matches the routes of their class. The list of
  /// the platform may contain an engine in a class of services, which could not
  /// answer their calls.
  [[nodiscard]] std::vector<target_info> UsableTargets(
    std::vector<target_info> aTargets) const;
  void Apply(const node_sync_response& aResponse, time_point aSent);

  sync_parts mParts;
  std::size_t mControlIndex = 0;
  std::unique_ptr<rpc_client> mClient;
  node_sync_lists mLists;
  std::int64_t mGrantRound = -1; ///< Round of the grants in use.
};

} // namespace arbutusferry
