#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// A partition of a topic in the shared log.
struct log_partition
{
  std::string topic;
  int part = 0;
  /// Keyed topics keep the newest record of each key forever.
  bool keyed = false;
};

struct log_record
{
  std::string key; ///< Empty in topics without keys.
  /// Empty in a keyed topic: deletes the key.
  std::string value;
};

struct log_entry
{
  std::uint64_t offset = 0;
  log_record record;
};

/// Makes the appends of one writer idempotent, and fences off earlier writers.
struct log_producer
{
  std::string name;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

enum class append_status
{
  Done,
  WrongEnd,      ///< The partition did not end at the expected offset.
  Fenced,        ///< A higher epoch was seen.
  WrongSequence, ///< Another sequence number is expected.
  Refused,       ///< Nothing was appended and nothing will be.
  Invalid, ///< Refused, and would be again: against the rules of the store.
  Unknown, ///< It may have been appended, or may be later.
};

struct append_request
{
  log_partition where;
  std::vector<log_record> records; ///< Empty: only sets the epoch.
  std::optional<std::uint64_t> expectedEnd;
  std::optional<log_producer> producer;
};

struct append_result
{
  append_status status = append_status::Unknown;
  std::uint64_t offset = 0; ///< Of the first record, if `Done`.
  std::uint64_t end = 0;
  std::uint64_t expectedSequence = 0; ///< If `WrongSequence`.
};

enum class read_status
{
  Done,
  Truncated, ///< Records from the requested offset on were discarded.
  Failed,
};

struct read_result
{
  read_status status = read_status::Failed;
  std::vector<log_entry> entries;
  std::uint64_t end = 0;
};

/// One page of the newest records of a keyed partition. Pages don't form a
/// snapshot: records written meanwhile are at or after the `end` of the first.
struct newest_result
{
  bool done = false;
  std::vector<log_entry> entries;
  bool more = false;
  std::uint64_t end = 0;
};

/// The platform's log. Callbacks run on the event loop.
class record_log
{
public:
  virtual ~record_log() = default;
  virtual void Append(append_request aRequest,
                      std::function<void(const append_result&)> aDone) = 0;
  /// @param aWaitMilliseconds Longest wait for a record at `aFrom`.
  virtual void Read(const log_partition& aWhere,
                    std::uint64_t aFrom,
                    std::int64_t aWaitMilliseconds,
                    std::function<void(const read_result&)> aDone) = 0;
  /// @param aAfter Key after which the page starts; empty for the first.
  virtual void Newest(const log_partition& aWhere,
                      const std::string& aAfter,
                      std::function<void(const newest_result&)> aDone) = 0;
  /// Largest record and largest call, in bytes.
  [[nodiscard]] virtual std::size_t MaxRecordBytes() const = 0;
  [[nodiscard]] virtual std::size_t MaxCallBytes() const = 0;
};

} // namespace arbutusferry::node
