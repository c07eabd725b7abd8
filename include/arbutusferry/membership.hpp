#pragma once

#include "arbutusferry/platform.hpp"
#include "arbutusferry/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// @return Interval of the syncs in a zone: max(1 s, members x 0.05 s), so
/// that the relay answers at most about 20 syncs a second.
[[nodiscard]] duration
SyncInterval(std::size_t aMembers, duration aMinimum);

/// Control processes of one availability zone as one of them sees them. The
/// platform's VM list supplies the candidates; liveness comes from messages.
/// It decides only who does which work, never whether an action is safe.
class zone_membership
{
public:
  /// @param aSelf Own VM id.
  /// @param aZone Own availability zone.
  zone_membership(std::string aSelf, std::string aZone);

  /// Replaces the candidates by the VMs of the own zone in the list. Leaving
  /// VMs are not candidates for work.
  void UpdateCandidates(const std::vector<vm_info>& aVms);

  /// A member sent or answered a message.
  void OnHeard(const std::string& aMember, time_point aNow);

  /// A member did not answer. It is passed over until it is heard from or
  /// until `kSuspicionTimeout` passed.
  void OnFailed(const std::string& aMember, time_point aNow);

  /// @return Own process or the first candidate in rendezvous order that is
  /// not suspected; it reads the log and plans slots for the zone.
  [[nodiscard]] std::string Relay(time_point aNow) const;

  /// @return The candidate with this id, or nothing.
  [[nodiscard]] std::optional<vm_info> Find(std::string_view aMember) const;

  /// @return Sorted ids of the members heard from within `aWithin`, with the
  /// own id.
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

/// Time for which a member that did not answer is passed over.
inline constexpr std::chrono::seconds kSuspicionTimeout{ 10 };

/// @return First candidate of a zone in rendezvous order for the relay role,
/// or an empty id when the list has none.
/// @param aExcluded Ids to skip.
[[nodiscard]] std::optional<vm_info>
FirstRelay(const std::vector<vm_info>& aVms,
           const std::string& aZone,
           const std::vector<std::string>& aExcluded);

/// @return Whether this member polls the load of the target: the one with the
/// highest rendezvous weight among the live members does.
[[nodiscard]] bool
PollsTarget(const std::string& aSelf,
            const std::vector<std::string>& aLive,
            const std::string& aTarget);

} // namespace arbutusferry
