#pragma once

#include "arbutusferry/platform.hpp"
#include "arbutusferry/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// @return Interval of the syncs in a zone: max(`aMinimum`, members x 0.05 s),
/// so that the relay answers at most about 20 syncs a second.
/// @param aMinimum Minimum interval (`control_options::syncInterval`, 1 s by
/// default).
[[nodiscard]] duration
SyncInterval(std::size_t aMembers, duration aMinimum);

/// One control process's view of the control processes in its availability
/// zone. The platform's VM list supplies the candidates; liveness comes from
/// messages. The view only assigns work; safety never depends on it.
class zone_membership
{
public:
  /// @param aSelf Own VM id.
  /// @param aZone Own availability zone.
  zone_membership(std::string aSelf, std::string aZone);

  /// Replaces the candidates with the VMs of the own zone in the list. Leaving
  /// VMs, other than the own, are not candidates.
  void UpdateCandidates(const std::vector<vm_info>& aVms);

  /// Records that a member sent or answered a message.
  void OnHeard(const std::string& aMember, time_point aNow);

  /// Records that a member did not answer. It is suspected, and not chosen,
  /// until it is heard from or `kSuspicionTimeout` has passed.
  void OnFailed(const std::string& aMember, time_point aNow);

  /// @return Id of the relay, which reads the log and plans slots for the zone:
  /// the candidate with the highest rendezvous weight among the own process and
  /// those that are not suspected and have a control address. If the own
  /// process is leaving, it counts only if there is no other.
  [[nodiscard]] std::string Relay(time_point aNow) const;

  /// @return The candidate with this id, or nothing.
  [[nodiscard]] std::optional<vm_info> Find(std::string_view aMember) const;

  /// @return Sorted ids of the members heard from within `aWithin`, including
  /// the own id.
  [[nodiscard]] std::vector<std::string> Live(time_point aNow,
                                              duration aWithin) const;

  /// @return Number of candidates, at least 1.
  [[nodiscard]] std::size_t Size() const noexcept;

private:
  struct member
  {
    vm_info vm;
    std::uint64_t weight = 0;
    std::optional<time_point> heard;
    std::optional<time_point> failed;
  };

  std::string mSelf;
  std::string mZone;
  std::map<std::string, member, std::less<>> mMembers;
};

/// Time for which a member that did not answer is suspected.
inline constexpr std::chrono::seconds kSuspicionTimeout{ 10 };

/// @return The candidate of a zone with the highest rendezvous weight for the
/// relay role, or nothing if the list has none.
/// @param aExcluded Ids to skip.
[[nodiscard]] std::optional<vm_info>
FirstRelay(const std::vector<vm_info>& aVms,
           const std::string& aZone,
           const std::vector<std::string>& aExcluded);

/// @return Whether this member polls the load of the target, which is done by
/// the live member with the highest rendezvous weight.
[[nodiscard]] bool
PollsTarget(const std::string& aSelf,
            const std::vector<std::string>& aLive,
            const std::string& aTarget);

} // namespace arbutusferry
