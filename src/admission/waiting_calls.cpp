#include "admission/waiting_calls.hpp"

#include <algorithm>

namespace arbutusferry::node {

waiting_calls::key
waiting_calls::KeyOf(const entry& aEntry, time_point aNow)
{
  const offered_call& call = aEntry.call;
  const bool late = aEntry.latestStart < aNow;
  // The bytes of a request are all that is known of its work beforehand.
  return { call.priority,
           late,
           late ? call.answerBy : aEntry.latestStart,
           call.bytes,
           call.ticket };
}

std::vector<waiting_calls::entry>
waiting_calls::Add(entry aEntry, time_point aNow)
{
  const std::uint64_t ticket = aEntry.call.ticket;
  const key added = KeyOf(aEntry, aNow);
  mBytes += aEntry.call.bytes;
  mKeys[ticket] = added;
  mEntries.emplace(added, std::move(aEntry));
  std::vector<entry> dropped;
  while (!mEntries.empty() &&
         (mEntries.size() > mLimits.calls || mBytes > mLimits.bytes)) {
    dropped.push_back(*Remove(mEntries.rbegin()->second.call.ticket));
  }
  return dropped;
}

std::optional<waiting_calls::entry>
waiting_calls::Remove(std::uint64_t aTicket)
{
  const auto found = mKeys.find(aTicket);
  if (found == mKeys.end()) {
    return std::nullopt;
  }
  auto removed = mEntries.extract(found->second);
  mKeys.erase(found);
  mBytes -= removed.mapped().call.bytes;
  return std::move(removed.mapped());
}

void
waiting_calls::Reorder(time_point aNow)
{
  std::vector<std::uint64_t> late;
  for (const auto& [order, waiting] : mEntries) {
    if (!std::get<bool>(order) && waiting.latestStart < aNow) {
      late.push_back(waiting.call.ticket);
    }
  }
  for (const std::uint64_t ticket : late) {
    (void)Add(*Remove(ticket), aNow);
  }
}

std::size_t
waiting_calls::Before(const offered_call& aCall) const
{
  return static_cast<std::size_t>(
    std::count_if(mEntries.begin(), mEntries.end(), [&](const auto& aEntry) {
      const offered_call& other = aEntry.second.call;
      return other.priority == aCall.priority && other.team == aCall.team &&
             other.ticket != aCall.ticket && other.arrived <= aCall.arrived;
    }));
}

} // namespace arbutusferry::node
