#include "arbutusferry/node/batch_leader.hpp"

namespace arbutusferry::node {

namespace {

/// A progress save uses calls of at most this fraction of the largest one, so
/// that results don't wait long behind it.
constexpr std::size_t kProgressCallDivisor = 4;

} // namespace

void
batch_leader::SaveProgress(std::size_t aMinNewEvents,
                           std::function<void()> aDone)
{
  std::vector<log_record> records;
  std::size_t bytes = 0;
  for (const auto& [id, entry] : mBatches.All()) {
    if (entry->Closed()) {
      continue;
    }
    for (std::size_t index = 0; index < entry->Items().size(); ++index) {
      item_state& item = entry->Items()[index];
      const bool open =
        item.phase == item_phase::Running || item.phase == item_phase::Waiting;
      const std::string run =
        item.progress.location ? item.progress.location->run : std::string();
      // At the end of a term, also save runs that no saved progress names.
      const bool unsavedRun =
        mHandedOver && !run.empty() && run != item.savedRun;
      if (open && (unsavedRun || item.progress.events.size() >=
                                   item.savedEvents + aMinNewEvents)) {
        std::string encoded = EncodeProgress(item.progress);
        const std::size_t size = encoded.size() + kRecordOverhead;
        if (size > mParts.log.MaxRecordBytes()) {
          continue; // Too large to save: a new leader generates it again.
        }
        if (bytes + size > mParts.log.MaxCallBytes() / kProgressCallDivisor) {
          mJournal.Append(std::exchange(records, {}), {});
          bytes = 0;
        }
        bytes += size;
        item.savedEvents = item.progress.events.size();
        item.savedRun = run;
        records.push_back({ ProgressKey(id, index), std::move(encoded) });
      }
    }
  }
  if (records.empty()) {
    aDone();
    return;
  }
  mJournal.Append(std::move(records), std::move(aDone));
}

void
batch_leader::HandOver(std::function<void()> aDone)
{
  mHandedOver = true;
  // Items keep their state; no further items are placed.
  mPool.DetachAll();
  CancelRewardCalls();
  SaveProgress(1, std::move(aDone));
}

} // namespace arbutusferry::node
