#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/node/request_limit.hpp"
#include "arbutusferry/node/software_history.hpp"
#include "arbutusferry/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// State of a target as it reports it.
struct target_entry
{
  std::string id; ///< Changes at almost every start.
  std::string service;
  socket_address address;
  std::string zone;
  /// Version of the target's software, not of its weights; empty if it names
  /// none.
  std::string software;
  int slots = 1;
  bool draining = false;
  bool reclaimable = false; ///< May be taken away at short notice.
  /// Start time; distinguishes two starts of one id.
  std::int64_t bornUnixMs = 0;
  std::map<std::string, std::int64_t> modelVersions;
};

/// Orders targets by the time that a request is expected to take there.
class target_ranking
{
public:
  virtual ~target_ranking() = default;
  /// @param aSalt Varies the order among requests.
  /// @return A number; targets with smaller ones are chosen first.
  [[nodiscard]] virtual double Rank(const target_entry& aTarget,
                                    int aOutstanding,
                                    std::uint64_t aSalt) const = 0;
};

/// Which targets may serve a plain request.
struct target_query
{
  std::string service;
  /// The only software version that may serve it, if any.
  std::optional<std::string> software;
  std::string zone;               ///< Zone of this node.
  std::vector<std::string> tried; ///< Already sent there; chosen last.
  std::set<std::string> excluded; ///< Never chosen.
  std::uint64_t salt = 0;         ///< Breaks ties differently by request.
  /// Whether targets count as full before callers' requests find no slot.
  bool leavesSlots = false;
  /// Replaces the choice by zone and outstanding requests, if not null.
  const target_ranking* ranking = nullptr;
};

/// Slots of each target that reward calls leave to callers' own requests.
/// @param aSlots Slots of the target.
[[nodiscard]] int
SlotsKeptForCallers(int aSlots);

/// All known targets, with this process's observations of them.
class target_view
{
public:
  struct known_target
  {
    target_entry entry;
    /// Set when the registry removed it; it is a last resort from then on.
    std::optional<time_point> removedSince;
    time_point drainingSince;
    /// Not offered work before this time, after failures.
    time_point avoidUntil;
    int failures = 0; ///< In a row.
    int outstanding = 0;
    target_limit limit;
    /// Earliest start that the leader offers while the target has a limit.
    time_point nextStart;
  };

  /// Adds or changes a target.
  void Update(const target_entry& aEntry, time_point aNow);
  /// Notes that the registry removed a target.
  void Remove(const std::string& aId, time_point aNow);
  /// Forgets removed targets that are no longer a last resort.
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

  /// Chooses a target for a plain request: in the own zone while that has free
  /// slots, with the fewest outstanding requests. One that has named a limit
  /// recently is chosen only if the others failed recently or were tried; one
  /// that failed recently or was tried only if no other is left.
  /// @return The target's id, or empty.
  [[nodiscard]] std::string Choose(const target_query& aQuery,
                                   time_point aNow) const;
  /// @return The number of targets that neither drain nor are gone nor
  /// excluded.
  [[nodiscard]] std::size_t CountReady(const target_query& aQuery) const;
  /// @return The software versions of all known targets.
  [[nodiscard]] software_history::version_map SoftwareVersions() const;
  /// Takes the bursts of all limits as used, when this process begins to share
  /// out the rates of targets.
  void SpendLimitBursts(time_point aNow);
  /// Notes how an exchange with a target ended.
  void NoteSuccess(const std::string& aId);
  void NoteFailure(const std::string& aId, time_point aNow);
  /// Notes that a target refused a request because it was full.
  void NoteFull(const std::string& aId, time_point aNow);
  /// Applies what a target's response says about its limit, as
  /// `target_limit::Note` does.
  void NoteLimit(const std::string& aId,
                 const limit_notice& aNotice,
                 bool aGenuine,
                 time_point aSentAt,
                 time_point aNow);

private:
  [[nodiscard]] static bool Fits(const known_target& aTarget,
                                 const target_query& aQuery);

  std::map<std::string, known_target> mTargets;
};

} // namespace arbutusferry::node
