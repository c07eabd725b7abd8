#pragma once

#include "arbutusferry/node/record_log.hpp"
#include "arbutusferry/node/target_view.hpp"

#include <map>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// The limits of targets in the journal, from which a new leader knows them
/// before it starts items.
class limit_records
{
public:
  /// Sets the limits that the journal holds, in requests per second by target.
  void Restore(const std::map<std::string, double>& aPerSecond,
               time_point aNow);
  /// Applies restored limits to targets that have become known.
  /// @return Records of the limits that differ from the journal.
  [[nodiscard]] std::vector<log_record> Synchronize(target_view& aTargets,
                                                    time_point aNow);

private:
  struct saved_limit
  {
    double perSecond = 0;
    bool applied = false; ///< The target has the limit, or a later one.
  };
  std::map<std::string, saved_limit> mSaved; ///< By target.
  time_point mRestoredAt;
};

} // namespace arbutusferry::node
