#pragma once

#include "arbutusferry/node/batch_table.hpp"
#include "arbutusferry/node/record_log.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry::node {

/// Bytes reserved in a record for its key (255 at most) and lengths.
inline constexpr std::size_t kRecordOverhead = 300;

/// Encodes a batch as a journal value.
/// @param aWithRequests Whether to include the items' requests; otherwise the
/// items have only their ids and groups.
[[nodiscard]] std::string
EncodeBatch(const batch_request& aBatch, bool aWithRequests = true);
[[nodiscard]] std::optional<batch_request>
DecodeBatch(const std::string& aText);
/// Encodes a batch as the values of consecutive journal records.
/// @param aMaxBytes Size limit of a value.
/// @return At least one value; none is empty, since that removes a record.
[[nodiscard]] std::vector<std::string>
EncodeBatchParts(const batch_request& aBatch, std::size_t aMaxBytes);
/// Encodes a result without its text, which has a separate record unless it is
/// empty: a record without a value is removed.
[[nodiscard]] std::string
EncodeResult(const batch_result& aResult);
[[nodiscard]] std::optional<batch_result>
DecodeResult(const std::string& aText);

[[nodiscard]] std::string
EncodeProgress(const item_progress& aProgress);
[[nodiscard]] std::optional<item_progress>
DecodeProgress(const std::string& aText);

/// Prefix of all text keys.
inline constexpr std::string_view kTextKeyPrefix = "t/";

/// Journal keys. Text keys sort last, so a new leader stops reading at the
/// first of them.
[[nodiscard]] std::string
BatchKey(const std::string& aBatch, std::size_t aPart);
[[nodiscard]] std::string
ResultKey(const std::string& aBatch, std::size_t aPosition);
[[nodiscard]] std::string
TextKey(const std::string& aBatch, std::size_t aPosition);
/// @return Prefix of the keys of a batch's texts, which positions follow.
[[nodiscard]] std::string
TextPrefix(const std::string& aBatch);
[[nodiscard]] std::string
EndKey(const std::string& aBatch);
[[nodiscard]] std::string
ProgressKey(const std::string& aBatch, std::size_t aItem);
[[nodiscard]] std::string
UsageKey(std::int64_t aWindow);
[[nodiscard]] std::string
LimitKey(const std::string& aTarget);

/// Contents of a journal without texts, read at the start of a term.
struct journal_contents
{
  std::vector<batch_request> batches;
  std::map<std::string, std::size_t> partCounts; ///< Records per batch.
  std::map<std::string, std::map<std::size_t, batch_result>> results;
  std::set<std::string> ended;
  /// By batch and item index.
  std::map<std::string, std::map<std::size_t, item_progress>> progress;
  std::map<std::int64_t, std::string> usage; ///< By window.
  /// Limits that targets have named, in requests per second.
  std::map<std::string, double> limits;
};

/// Decodes the records of a journal.
class journal_reader
{
public:
  void Add(const log_entry& aEntry);
  /// Joins and decodes the parts of batches; drops incomplete ones.
  [[nodiscard]] journal_contents Finish();

private:
  std::map<std::string, std::map<std::size_t, std::string>> mParts;
  journal_contents mContents;
};

} // namespace arbutusferry::node
