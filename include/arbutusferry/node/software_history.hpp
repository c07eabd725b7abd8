#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace arbutusferry::node {

/// Software versions that the targets of a service had, as stored.
struct software_record
{
  /// Unix time in milliseconds since when no version is missing; 0 if none ever
  /// was.
  std::int64_t completeSince = 0;
  /// Unix time in milliseconds at which each version left; 0 while a target has
  /// it.
  std::map<std::string, std::int64_t> left;
};

[[nodiscard]] std::string
EncodeSoftware(const software_record& aRecord);

/// @return Nothing if the text is no record.
[[nodiscard]] std::optional<software_record>
DecodeSoftware(const std::string& aText);

/// Tells which software versions may have begun a stream whose caller takes it
/// up again. A version counts for as long as callers wait for streams after its
/// last target has left.
class software_history
{
public:
  /// Software versions of the known targets, by service.
  using version_map = std::map<std::string, std::set<std::string>>;

  /// Forgets what was noted: from now on no version is missed.
  /// @param aUnixMs Unix time in milliseconds; 0 if none was missed before.
  void Begin(std::int64_t aUnixMs);
  /// Declares that no target served before this history began.
  void NoteFirstStart();
  /// Notes the versions of all known targets. Call `Begin` before.
  void Note(const version_map& aVersions, std::int64_t aUnixMs);
  /// @return Whether targets of a service are known to have a version now, so
  /// that another one which has it changes nothing.
  [[nodiscard]] bool Serves(const std::string& aService,
                            const std::string& aVersion) const;
  /// Adds what another process has stored.
  void Restore(const std::string& aService, const software_record& aStored);
  /// @return The records that say more than the stored ones, by service.
  [[nodiscard]] std::map<std::string, software_record> Unsaved() const;
  void NoteSaved(const std::string& aService, const software_record& aRecord);
  /// @return The only version that may have begun a stream; nothing if there
  /// may be several.
  [[nodiscard]] std::optional<std::string> OnlyOrigin(
    const std::string& aService,
    std::int64_t aUnixMs) const;

private:
  std::int64_t mCompleteSince = 0;
  std::map<std::string, software_record> mRecords; ///< By service.
  std::map<std::string, software_record> mStored;  ///< By service.
};

} // namespace arbutusferry::node
