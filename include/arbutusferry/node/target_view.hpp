#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// What a target says of itself.
struct target_entry
{
  std::string id; ///< New at almost every start.
  std::string service;
  socket_address address;
  std::string zone;
  int slots = 1;
  bool draining = false;
  bool reclaimable = false;    ///< May be taken away at short notice.
  std::int64_t bornUnixMs = 0; ///< Start; tells two starts of one id apart.
  std::map<std::string, std::int64_t> modelVersions;
};

/// All targets that are known, with what this process has seen of them.
class target_view
{
public:
  struct known_target
  {
    target_entry entry;
    /// Set when the registry dropped it; it is a last resort from then on.
    std::optional<time_point> removedSince;
    time_point drainingSince;
    /// Not offered work before this time, after failures.
    time_point avoidUntil;
    int failures = 0; ///< In a row.
    int outstanding = 0;
  };

  /// Adds or changes a target.
  void Update(const target_entry& aEntry, time_point aNow);
  /// Notes that the registry dropped a target.
  void Remove(const std::string& aId, time_point aNow);
  /// Forgets targets that were dropped longer ago than the last resort lasts.
  void Expire(time_point aNow);

  [[nodiscard]] known_target* Find(const std::string& aId);
  [[nodiscard]] std::map<std::string, known_target>& All() noexcept
  {
    return mTargets;
  }
  [[nodiscard]] const std::map<std::string, known_target>& All() const noexcept
  {
    return mTargets;
  }

  /// Chooses a target for a plain request: own zone first, fewest outstanding
  /// requests, none that failed just now while others are left.
  /// @param aTried Targets that this request was sent to.
  /// @param aSalt Breaks ties differently for each request.
  /// @return The target's id, or empty.
  [[nodiscard]] std::string Choose(const std::string& aService,
                                   const std::string& aZone,
                                   const std::vector<std::string>& aTried,
                                   std::uint64_t aSalt,
                                   time_point aNow) const;
  /// Notes how an exchange with a target ended.
  void NoteSuccess(const std::string& aId);
  void NoteFailure(const std::string& aId, time_point aNow);
  /// The target refused for want of room.
  void NoteFull(const std::string& aId, time_point aNow);

private:
  std::map<std::string, known_target> mTargets;
};

} // namespace arbutusferry::node
