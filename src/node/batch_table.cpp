#include "arbutusferry/node/batch_table.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

/// Retention of progress after its batch ended. Trainers resubmit unfinished
/// groups in one of the next steps, seconds later.
constexpr std::chrono::seconds kProgressRetention{ 30 };

} // namespace

bool
item_progress::MeetsMinimumVersion(std::int64_t aMinimum) const
{
  return std::all_of(
    versions.begin(), versions.end(), [&](std::int64_t aVersion) {
      return aVersion >= aMinimum;
    });
}

bool
item_progress::HasOneVersion() const
{
  return std::all_of(
    versions.begin(), versions.end(), [&](std::int64_t aVersion) {
      return aVersion == versions.front();
    });
}

std::string
item_progress::Text() const
{
  std::string text;
  for (std::size_t index = 0; index < events.size(); ++index) {
    if (index > 0) {
      text += '\n';
    }
    text += events[index];
  }
  return text;
}

std::vector<std::int64_t>
item_progress::DistinctVersions() const
{
  const std::set<std::int64_t> distinct(versions.begin(), versions.end());
  return { distinct.begin(), distinct.end() };
}

batch::batch(batch_request aRequest, bool aEnded)
  : mRequest(std::move(aRequest))
  , mItems(mRequest.items.size())
  , mEnded(aEnded)
{
  std::map<std::string, std::size_t> numbers;
  mGroupOf.reserve(mRequest.items.size());
  for (std::size_t index = 0; index < mRequest.items.size(); ++index) {
    const std::string& group = mRequest.items[index].group;
    mItemIndexes.emplace(mRequest.items[index].id, index);
    ++mUncommittedByGroup[group];
    mGroupOf.push_back(
      numbers.try_emplace(group, numbers.size()).first->second);
  }
}

std::optional<std::size_t>
batch::FindItem(const std::string& aId) const
{
  const auto found = mItemIndexes.find(aId);
  return found == mItemIndexes.end() ? std::nullopt
                                     : std::optional(found->second);
}

void
batch::CommitResult(batch_result aResult)
{
  item_state& item = mItems.at(aResult.item);
  item.phase = item_phase::Committed;
  item.progress = {};
  batch_item& request = mRequest.items[aResult.item];
  request.body.clear();
  request.body.shrink_to_fit();
  request.reward.reset();
  item.scoring = {};
  if (--mUncommittedByGroup[request.group] == 0) {
    ++mCompleteGroups;
  }
  mHoldsTexts = mHoldsTexts || !aResult.text.empty();
  mResults.push_back(std::move(aResult));
  assignedPositions = std::max(assignedPositions, mResults.size());
}

void
batch::End()
{
  mEnded = true;
  for (std::size_t index = 0; index < mItems.size(); ++index) {
    mItems[index].progress = {};
    mItems[index].scoring = {};
    mRequest.items[index].body.clear();
    mRequest.items[index].body.shrink_to_fit();
    mRequest.items[index].reward.reset();
  }
}

void
batch::SetText(std::size_t aPosition, std::string aText)
{
  batch_result& result = mResults.at(aPosition);
  result.text = std::move(aText);
  result.loaded = true;
  mHoldsTexts = true;
}

void
batch::ReleaseTexts()
{
  for (batch_result& result : mResults) {
    // An empty text has no record to read it from again.
    result.loaded = result.loaded && result.text.empty();
    result.text.clear();
    result.text.shrink_to_fit();
  }
  mHoldsTexts = false;
}

std::size_t
batch::UncommittedItems(const std::string& aGroup) const
{
  const auto found = mUncommittedByGroup.find(aGroup);
  return found == mUncommittedByGroup.end() ? 0 : found->second;
}

std::size_t
batch::MissingItems() const
{
  std::set<std::string> carried;
  for (std::size_t index = 0; index < mItems.size(); ++index) {
    if (mItems[index].carried) {
      carried.insert(mRequest.items[index].group);
    }
  }
  std::size_t missing = 0;
  std::size_t wanted =
    mRequest.neededGroups - std::min(mRequest.neededGroups, mCompleteGroups);
  std::vector<std::size_t> others;
  for (const auto& [group, uncommitted] : mUncommittedByGroup) {
    if (uncommitted > 0 && carried.contains(group)) {
      missing += uncommitted;
      wanted -= std::min<std::size_t>(wanted, 1);
    } else if (uncommitted > 0) {
      others.push_back(uncommitted);
    }
  }
  std::sort(others.begin(), others.end());
  for (std::size_t at = 0; at < std::min(wanted, others.size()); ++at) {
    missing += others[at];
  }
  return missing;
}

batch&
batch_table::Add(batch_request aRequest, bool aEnded)
{
  const std::string id = aRequest.id;
  auto added = std::make_unique<batch>(std::move(aRequest), aEnded);
  for (std::size_t index = 0; !aEnded && index < added->Items().size();
       ++index) {
    const auto kept = mKeptProgress.find(added->Request().items[index].id);
    if (kept == mKeptProgress.end()) {
      continue;
    }
    item_state& item = added->Items()[index];
    item.carried = true;
    if (kept->second.progress.MeetsMinimumVersion(
          added->Request().minimumVersion)) {
      item.progress = std::move(kept->second.progress);
    }
    mKeptProgress.erase(kept);
  }
  return *(mBatches[id] = std::move(added));
}

batch*
batch_table::Find(const std::string& aId)
{
  const auto found = mBatches.find(aId);
  return found == mBatches.end() ? nullptr : found->second.get();
}

void
batch_table::End(batch& aBatch, time_point aNow)
{
  if (aBatch.Ended()) {
    return;
  }
  for (std::size_t index = 0; index < aBatch.Items().size(); ++index) {
    item_state& item = aBatch.Items()[index];
    if (item.phase != item_phase::Committed) {
      KeepProgress(
        aBatch.Request().items[index].id, std::move(item.progress), aNow);
    }
  }
  aBatch.End();
  aBatch.endedAt = aNow;
}

void
batch_table::KeepProgress(const std::string& aItem,
                          item_progress aProgress,
                          time_point aNow)
{
  aProgress.location.reset(); // The run has ended.
  // A later batch names a reward call of its own.
  aProgress.rewardErrors = 0;
  mKeptProgress[aItem] = { std::move(aProgress), aNow };
}

void
batch_table::Erase(const std::string& aId)
{
  mBatches.erase(aId);
}

void
batch_table::ExpireProgress(time_point aNow)
{
  std::erase_if(mKeptProgress, [&](const auto& aEntry) {
    return aNow - aEntry.second.since >= kProgressRetention;
  });
}

std::vector<event_stream_parser::event>
event_stream_parser::Feed(std::string_view aBytes)
{
  std::vector<event> events;
  for (const char byte : aBytes) {
    if (byte != '\n') {
      mLine += byte;
      continue;
    }
    if (!mLine.empty() && mLine.back() == '\r') {
      mLine.pop_back();
    }
    if (mLine.empty()) {
      if (mHasData) {
        events.push_back(std::move(mEvent));
      }
      mEvent = {};
      mHasData = mHasFields = false;
      continue;
    }
    mHasFields = true;
    std::string_view line = mLine;
    const auto value = [&](std::size_t aSkip) {
      std::string_view rest = line.substr(aSkip);
      return rest.starts_with(' ') ? rest.substr(1) : rest;
    };
    if (line.starts_with("data:")) {
      if (mHasData) {
        mEvent.data += '\n';
      }
      mEvent.data += value(5);
      mHasData = true;
    } else if (line.starts_with("id:")) {
      mEvent.id = static_cast<std::size_t>(ParseInteger(value(3)).value_or(0));
    } else {
      mEvent.otherLines.emplace_back(line);
    }
    mLine.clear();
  }
  return events;
}

} // namespace arbutusferry::node
