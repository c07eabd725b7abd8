#include "world.hpp"

#include <algorithm>
#include <json/json.h>

namespace review {

namespace {

/// Latency of an append.
constexpr std::int64_t kAppendMs = 4;
/// `record-bytes`; a call with a larger record is refused whole.
constexpr std::size_t kMaxRecordBytes = 262'144;
constexpr std::size_t kMaxPageItems = 500;
constexpr std::size_t kMaxPageBytes = 1'000'000;
/// Appends of a producer whose answers are repeated.
constexpr std::size_t kKeptAnswers = 5;

std::string
Query(const std::string& aTarget, const std::string& aName)
{
  const std::size_t mark = aTarget.find('?');
  if (mark == std::string::npos) {
    return {};
  }
  const std::string query = "&" + aTarget.substr(mark + 1);
  const std::size_t at = query.find("&" + aName + "=");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + aName.size() + 2;
  return query.substr(begin, query.find('&', begin) - begin);
}

std::uint64_t
Number(const std::string& aText)
{
  return aText.empty() ? 0 : std::stoull(aText);
}

std::string
BigEndian(std::uint64_t aNumber, int aBytes)
{
  std::string text;
  for (int shift = 8 * (aBytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>((aNumber >> shift) & 0xffU);
  }
  return text;
}

std::string
Base64(const std::string& aBytes)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    std::uint32_t bits = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - at);
    for (std::size_t index = 0; index < 3; ++index) {
      bits =
        bits << 8U |
        (index < count ? static_cast<unsigned char>(aBytes[at + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      text += index <= count ? kDigits[bits >> (18 - 6 * index) & 63U] : '=';
    }
  }
  return text;
}

std::string
Compact(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

const field_list kJson{ { "Content-Type", "application/json" } };

} // namespace

platform_store::platform_store()
  : mServer([this](const request& aRequest, channel& aChannel) {
    Serve(aRequest, aChannel);
  })
{
}

platform_store::partition&
platform_store::Find(const std::string& aTarget)
{
  return mPartitions[Query(aTarget, "topic") + "/" + Query(aTarget, "part")];
}

void
platform_store::Put(const std::string& aTopic,
                    const std::string& aKey,
                    const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  mPartitions[aTopic + "/0"].records.push_back(BigEndian(aKey.size(), 1) +
                                               aKey + aValue);
  mChanged.notify_all();
}

std::string
platform_store::Newest(const std::string& aTopic, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  const auto& records = mPartitions[aTopic + "/0"].records;
  for (auto at = records.rbegin(); at != records.rend(); ++at) {
    const std::size_t size = static_cast<unsigned char>((*at)[0]);
    if (at->substr(1, size) == aKey) {
      return at->substr(1 + size);
    }
  }
  return {};
}

void
platform_store::SetDown(bool aDown)
{
  const std::lock_guard lock(mMutex);
  mDown = aDown;
  mChanged.notify_all();
}

void
platform_store::Serve(const request& aRequest, channel& aChannel)
{
  {
    const std::lock_guard lock(mMutex);
    if (mDown) {
      aChannel.Send(503, {}, {});
      return;
    }
  }
  if (aRequest.target.starts_with("/log-append")) {
    Append(aRequest, aChannel);
  } else if (aRequest.target.starts_with("/log-read")) {
    Read(aRequest, aChannel);
  } else if (aRequest.target.starts_with("/log-newest")) {
    List(aRequest, aChannel);
  } else {
    aChannel.Send(404, {}, {});
  }
}

void
platform_store::Append(const request& aRequest, channel& aChannel)
{
  std::vector<std::string> added;
  for (std::size_t at = 0; at + 4 <= aRequest.body.size();) {
    std::size_t size = 0;
    for (int byte = 0; byte < 4; ++byte) {
      size = size << 8U | static_cast<unsigned char>(aRequest.body[at++]);
    }
    if (size > kMaxRecordBytes) {
      aChannel.Send(413, {}, {});
      return;
    }
    added.push_back(aRequest.body.substr(at, size));
    at += size;
  }
  partition* target = nullptr;
  {
    const std::lock_guard lock(mMutex);
    target = &Find(aRequest.target);
  }
  // A partition processes its appends one at a time.
  const std::lock_guard appending(target->appending);
  SleepMs(kAppendMs);
  const std::lock_guard lock(mMutex);
  if (mDown) {
    aChannel.Send(503, {}, {});
    return;
  }
  Json::Value answer(Json::objectValue);
  const std::size_t end = target->records.size();
  const std::string name = Query(aRequest.target, "producer");
  const std::uint64_t epoch = Number(Query(aRequest.target, "epoch"));
  const std::uint64_t sequence = Number(Query(aRequest.target, "seq"));
  producer* sender = nullptr;
  if (!name.empty()) {
    const bool known = target->producers.contains(name);
    sender = &target->producers[name];
    if (known && epoch < sender->epoch) {
      answer["why"] = "fenced";
      aChannel.Send(409, kJson, Compact(answer));
      return;
    }
    if (!known || epoch > sender->epoch) {
      *sender = {};
      sender->epoch = epoch;
    }
    if (!added.empty()) {
      for (const auto& [sent, text] : sender->answers) {
        if (sent == sequence) {
          aChannel.Send(200, kJson, text);
          return;
        }
      }
      if (sender->next && *sender->next != sequence) {
        answer["why"] = "seq";
        answer["expected"] = Json::UInt64(*sender->next);
        aChannel.Send(409, kJson, Compact(answer));
        return;
      }
    }
  }
  const std::string at = Query(aRequest.target, "at");
  if (!at.empty() && Number(at) != end) {
    answer["end"] = Json::UInt64(end);
    aChannel.Send(412, kJson, Compact(answer));
    return;
  }
  target->records.insert(target->records.end(), added.begin(), added.end());
  answer["offset"] = Json::UInt64(end);
  answer["end"] = Json::UInt64(target->records.size());
  const std::string text = Compact(answer);
  if (sender && !added.empty()) {
    sender->next = sequence + 1;
    sender->answers.emplace_back(sequence, text);
    if (sender->answers.size() > kKeptAnswers) {
      sender->answers.pop_front();
    }
  }
  mChanged.notify_all();
  aChannel.Send(200, kJson, text);
}

void
platform_store::Read(const request& aRequest, channel& aChannel)
{
  const std::uint64_t from = Number(Query(aRequest.target, "from"));
  const auto until =
    std::chrono::steady_clock::now() +
    std::chrono::milliseconds(Number(Query(aRequest.target, "wait-ms")));
  std::string body;
  {
    std::unique_lock lock(mMutex);
    const partition& source = Find(aRequest.target);
    mChanged.wait_until(
      lock, until, [&] { return mDown || source.records.size() > from; });
    if (mDown) {
      aChannel.Send(503, {}, {});
      return;
    }
    body = BigEndian(source.records.size(), 8) + BigEndian(0, 8);
    for (std::size_t at = from;
         at < source.records.size() && body.size() < kMaxPageBytes;
         ++at) {
      body += BigEndian(source.records[at].size(), 4) + source.records[at];
    }
  }
  aChannel.Send(200, {}, body);
}

void
platform_store::List(const request& aRequest, channel& aChannel)
{
  const std::string after = Query(aRequest.target, "after");
  Json::Value page(Json::objectValue);
  Json::Value& items = page["items"] = Json::Value(Json::arrayValue);
  page["has-more"] = false;
  {
    const std::lock_guard lock(mMutex);
    const partition& source = Find(aRequest.target);
    page["end"] = Json::UInt64(source.records.size());
    std::map<std::string, std::pair<std::size_t, std::string>> newest;
    for (std::size_t at = 0; at < source.records.size(); ++at) {
      const std::string& record = source.records[at];
      const std::size_t size = static_cast<unsigned char>(record[0]);
      newest[record.substr(1, size)] = { at, record.substr(1 + size) };
    }
    std::size_t bytes = 0;
    for (const auto& [key, entry] : newest) {
      if (key <= after || entry.second.empty()) {
        continue;
      }
      if (items.size() == kMaxPageItems || bytes > kMaxPageBytes) {
        page["has-more"] = true;
        break;
      }
      Json::Value item(Json::objectValue);
      item["key"] = key;
      item["value"] = Base64(entry.second);
      item["offset"] = Json::UInt64(entry.first);
      bytes += key.size() + entry.second.size();
      items.append(std::move(item));
    }
  }
  aChannel.Send(200, kJson, Compact(page));
}

platform_duties::platform_duties()
  : mServer([this](const request& aRequest, channel& aChannel) {
    const std::uint64_t fence =
      Number(Field(aRequest.fields, "Arbutusferry-Fence-Token"));
    const std::lock_guard lock(mMutex);
    if (fence < mHighestFence) {
      aChannel.Send(409, {}, {});
      return;
    }
    mHighestFence = fence;
    aChannel.Send(200, {}, {});
  })
{
}

} // namespace review
