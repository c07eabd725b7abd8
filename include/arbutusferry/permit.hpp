#pragma once

#include "arbutusferry/error.hpp"
#include "arbutusferry/outcome.hpp"
#include "arbutusferry/time.hpp"
#include "arbutusferry/upstream.hpp"

#include <cstddef>
#include <cstdint>
#include <json/value.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutusferry {

/// Answer kept for repeats of a request.
struct stored_answer
{
  outcome result = outcome::Unknown;
  int status = 0;
  std::string contentType;
  header_list headers;
  std::string body;
};

/// What the owner of a permit does with a request that carries it.
enum class permit_action
{
  Run,             ///< Run the request now; the permit is marked as running.
  Wait,            ///< Another request with this permit runs; ask again later.
  Replay,          ///< Return the stored answer.
  RequestMismatch, ///< The permit is bound to another request.
  OwnerMismatch,   ///< The permit was issued for another stage, team or route.
  Expired, ///< Issued, but its state was dropped: the request may have run.
  Forged,  ///< Never issued.
  Foreign, ///< Issued by another instance, which decides.
  Full,    ///< No room for another answer; nothing was run.
};

/// Decision about one request.
struct permit_decision
{
  permit_action action = permit_action::Forged;
  const stored_answer* answer = nullptr; ///< Valid until the next change.
};

/// Bounds of a permit table.
struct permit_limits
{
  std::size_t maxPermits = 65'536;
  std::size_t maxAnswerBytes = 64U << 20U;
  /// Counted from the issue of a permit, then from its answer.
  duration retention = std::chrono::minutes(10);
};

/// Permits of one entry instance and of those whose tables it took over. A
/// permit lets one request run at most once.
/// Not thread-safe; the time is passed in.
class permit_table
{
public:
  /// @param aInstance Own instance id; must not contain a dot.
  /// @param aSecret HMAC key that authenticates the permits.
  permit_table(std::string aInstance,
               std::string aSecret,
               const permit_limits& aLimits);

  /// Issues permits.
  /// @param aUser Stage, team and route they are valid for.
  /// @return `Overloaded` when the table is full.
  [[nodiscard]] result<std::vector<std::string>> Issue(std::size_t aCount,
                                                       const std::string& aUser,
                                                       time_point aNow);

  /// Decides about a request and, for `Run`, marks its permit as running.
  /// @param aRequestHash Hash of method, path and body.
  /// @param aMayRun If false, returns `Full` instead of `Run`.
  [[nodiscard]] permit_decision Claim(std::string_view aPermit,
                                      const std::string& aUser,
                                      const std::string& aRequestHash,
                                      time_point aNow,
                                      bool aMayRun = true);

  /// Stores the answer of a running permit.
  void Finish(std::string_view aPermit, stored_answer aAnswer, time_point aNow);

  /// Makes a running permit usable again because nothing was sent.
  void Release(std::string_view aPermit);

  /// Drops permits whose retention time has passed.
  void Expire(time_point aNow);

  /// @return The table in parts, for the entry that takes over. A permit that
  /// still runs, or whose answer does not fit into a part, is exported with the
  /// outcome `unknown`.
  /// @param aMaxPartBytes Approximate limit of a part in bytes of JSON text.
  [[nodiscard]] std::vector<Json::Value> Export(
    time_point aNow,
    std::size_t aMaxPartBytes) const;

  /// Takes over the table of another instance once all of its parts have
  /// arrived. Idempotent.
  /// @param aPeer Sender, for errors.
  [[nodiscard]] result<void> Import(const Json::Value& aTable,
                                    const std::string& aPeer,
                                    time_point aNow);

  /// @return Instances whose permits this table took over.
  [[nodiscard]] std::vector<std::string> Adopted() const;

  /// @return Instance named by a permit, or empty if it is malformed.
  [[nodiscard]] static std::string IssuerOf(std::string_view aPermit);

  [[nodiscard]] std::size_t Size() const noexcept { return mPermits.size(); }
  [[nodiscard]] std::size_t AnswerBytes() const noexcept
  {
    return mAnswerBytes;
  }

private:
  enum class permit_state
  {
    Unused,
    Running,
    Finished,
  };
  struct permit_entry
  {
    permit_state state = permit_state::Unused;
    std::string user;
    std::string requestHash; ///< Empty until the first request.
    time_point expiresAt{};
    stored_answer answer;
  };
  /// Received parts of an incomplete table.
  struct staged_table
  {
    std::set<std::int64_t> parts;
    std::map<std::string, std::string> secrets;
    std::vector<std::pair<std::string, permit_entry>> permits;
  };
  using permit_map = std::map<std::string, permit_entry, std::less<>>;

  [[nodiscard]] std::string ComputeMac(const std::string& aInstance,
                                       const std::string& aSecret,
                                       std::string_view aNonce) const;
  [[nodiscard]] bool IsAuthentic(std::string_view aPermit) const;
  void Insert(const std::string& aPermit, permit_entry aEntry);
  [[nodiscard]] static result<std::pair<std::string, permit_entry>> ReadEntry(
    const Json::Value& aValue,
    const std::string& aPeer,
    const std::string& aPath,
    const Json::Value& aSecrets,
    const permit_limits& aLimits,
    time_point aNow);
  [[nodiscard]] Json::Value WriteEntry(const std::string& aPermit,
                                       const permit_entry& aEntry,
                                       time_point aNow,
                                       std::size_t aMaxPartBytes) const;
  static std::size_t StoredBytes(const stored_answer& aAnswer);

  std::string mInstance;
  permit_limits mLimits;
  std::map<std::string, std::string, std::less<>> mSecrets; ///< By instance.
  permit_map mPermits;
  std::multimap<time_point, std::string> mExpiryQueue;
  std::map<std::string, staged_table> mStaged; ///< By sender.
  std::size_t mAnswerBytes = 0;
};

} // namespace arbutusferry
