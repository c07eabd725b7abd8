#include "soak_servers.hpp"

#include "soak_messages.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"

#include <algorithm>

namespace arbutusferry::node_soak {

namespace {

using std::chrono::milliseconds;

/// Latency of an append.
constexpr milliseconds kAppendDelay{ 4 };
/// Delay of an append with an injected delay.
constexpr milliseconds kLateAppendDelay{ 1'000 };
std::string
QueryParameter(const std::string& aTarget, const std::string& aName)
{
  const auto queryStart = aTarget.find('?');
  std::string query =
    queryStart == std::string::npos ? "" : aTarget.substr(queryStart);
  for (char& byte : query) {
    byte = byte == '?' ? '&' : byte;
  }
  const auto at = query.find("&" + aName + "=");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aName.size() + 2;
  return query.substr(begin, query.find('&', begin) - begin);
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
PartitionKey(const std::string& aTarget)
{
  return QueryParameter(aTarget, "topic") + "/" +
         QueryParameter(aTarget, "part");
}

/// Encodes as standard base64, the encoding of the store's values.
std::string
Base64(const std::string& aText)
{
  std::string text = EncodeBase64Url(aText);
  std::replace(text.begin(), text.end(), '-', '+');
  std::replace(text.begin(), text.end(), '_', '/');
  text.append((4 - text.size() % 4) % 4, '=');
  return text;
}

} // namespace

std::pair<int, std::string>
fake_store::Append(const append_request& aRequest)
{
  partition& target = mPartitions[aRequest.partition];
  const std::string end = std::to_string(target.payloads.size());
  partition::producer* producer = nullptr;
  if (!aRequest.producer.empty()) {
    const bool known = target.producers.contains(aRequest.producer);
    producer = &target.producers[aRequest.producer];
    if (aRequest.epoch < producer->epoch) {
      return { 409, R"({"why":"fenced"})" };
    }
    if (!known || aRequest.epoch > producer->epoch) {
      *producer = { aRequest.epoch, aRequest.sequence, {} };
    } else if (!aRequest.payloads.empty() &&
               aRequest.sequence + 1 == producer->nextSequence) {
      return { 200, producer->lastReply };
    } else if (!aRequest.payloads.empty() &&
               aRequest.sequence != producer->nextSequence) {
      return { 409,
               R"({"why":"seq","expected":)" +
                 std::to_string(producer->nextSequence) + "}" };
    }
  }
  if (aRequest.expectedEnd && *aRequest.expectedEnd != target.payloads.size()) {
    return { 412, "{\"end\":" + end + "}" };
  }
  target.payloads.insert(
    target.payloads.end(), aRequest.payloads.begin(), aRequest.payloads.end());
  std::string answer = "{\"offset\":" + end +
                       ",\"end\":" + std::to_string(target.payloads.size()) +
                       "}";
  if (producer && !aRequest.payloads.empty()) {
    ++producer->nextSequence;
    producer->lastReply = answer;
  }
  for (const auto& notify : std::exchange(target.waiters, {})) {
    notify();
  }
  return { 200, std::move(answer) };
}

void
fake_store::PutRecord(const std::string& aTopic,
                      const std::string& aKey,
                      const std::string& aText)
{
  (void)Append({ aTopic + "/0",
                 { BigEndian(aKey.size(), 1) + aKey + aText },
                 {},
                 {},
                 0,
                 0 });
}

void
fake_store::HandleAppend(const node::http_request& aRequest,
                         const std::shared_ptr<node::responder>& aResponder)
{
  append_request append;
  append.partition = PartitionKey(aRequest.target);
  append.producer = QueryParameter(aRequest.target, "producer");
  append.epoch = ParseNumber(QueryParameter(aRequest.target, "epoch"));
  append.sequence = ParseNumber(QueryParameter(aRequest.target, "seq"));
  if (const std::string at = QueryParameter(aRequest.target, "at");
      !at.empty()) {
    append.expectedEnd = ParseNumber(at);
  }
  for (std::size_t at = 0; at + 4 <= aRequest.body.size();) {
    std::size_t size = 0;
    for (int byte = 0; byte < 4; ++byte) {
      size =
        size << 8U | static_cast<unsigned char>(aRequest.body.Text()[at++]);
    }
    append.payloads.push_back(aRequest.body.Text().substr(at, size));
    at += size;
  }
  const bool loseReply = NextDraw() < lostRepliesPer10;
  const bool delayed = NextDraw() < delayedAppendsPer10;
  mTimers.push_back(mLoop.After(delayed ? kLateAppendDelay : kAppendDelay,
                                [this, append, loseReply, delayed, aResponder] {
                                  const auto [status, body] = Append(append);
                                  if (loseReply || delayed) {
                                    aResponder->Abort();
                                  } else {
                                    aResponder->Send(
                                      MakeResponse(status, body));
                                  }
                                }));
  if (delayed) {
    // The connection closes now; the append is executed later.
    aResponder->Abort();
  }
  if (mTimers.size() > 4'096) {
    mTimers.erase(mTimers.begin(), mTimers.begin() + 2'048);
  }
}

void
fake_store::HandleRead(const std::string& aTarget,
                       time_point aUntil,
                       const std::shared_ptr<node::responder>& aResponder)
{
  partition& source = mPartitions[PartitionKey(aTarget)];
  const std::uint64_t from = ParseNumber(QueryParameter(aTarget, "from"));
  if (from >= source.payloads.size() && mLoop.Now() < aUntil) {
    const auto retry = [this, aTarget, aUntil, aResponder] {
      if (!aResponder->Closed()) {
        HandleRead(aTarget, aUntil, aResponder);
      }
    };
    auto done = std::make_shared<bool>(false);
    const auto retryOnce = [retry, done] {
      if (!std::exchange(*done, true)) {
        retry();
      }
    };
    source.waiters.push_back(retryOnce);
    mTimers.push_back(mLoop.After(aUntil - mLoop.Now(), retryOnce));
    return;
  }
  std::string body = BigEndian(source.payloads.size(), 8) + BigEndian(0, 8);
  for (std::size_t at = from; at < source.payloads.size(); ++at) {
    body += BigEndian(source.payloads[at].size(), 4) + source.payloads[at];
  }
  aResponder->Send(MakeResponse(200, std::move(body)));
}

void
fake_store::HandleNewest(const std::string& aTarget,
                         node::responder& aResponder)
{
  const partition& source = mPartitions[PartitionKey(aTarget)];
  const std::string after = QueryParameter(aTarget, "after");
  std::map<std::string, std::pair<std::size_t, std::string>> newest;
  for (std::size_t at = 0; at < source.payloads.size(); ++at) {
    const std::string& payload = source.payloads[at];
    const std::size_t size = static_cast<unsigned char>(payload[0]);
    newest[payload.substr(1, size)] = { at, payload.substr(1 + size) };
  }
  Json::Value page(Json::objectValue);
  Json::Value& items = page["items"] = Json::Value(Json::arrayValue);
  page["has-more"] = false;
  page["end"] = Json::UInt64(source.payloads.size());
  for (const auto& [key, entry] : newest) {
    if (key <= after || entry.second.empty()) {
      continue;
    }
    if (items.size() == 500) {
      page["has-more"] = true;
      break;
    }
    Json::Value item(Json::objectValue);
    item["key"] = key;
    item["offset"] = Json::UInt64(entry.first);
    item["value"] = Base64(entry.second);
    items.append(std::move(item));
  }
  aResponder.Send(MakeResponse(200, WriteJson(page)));
}

void
fake_store::Handle(node::http_request aRequest,
                   std::shared_ptr<node::responder> aResponder)
{
  if (unavailable) {
    aResponder->Send(MakeResponse(503));
  } else if (aRequest.target.starts_with("/log-append")) {
    HandleAppend(aRequest, aResponder);
  } else if (aRequest.target.starts_with("/log-read")) {
    const auto wait =
      milliseconds(ParseNumber(QueryParameter(aRequest.target, "wait-ms")));
    HandleRead(aRequest.target, mLoop.Now() + wait, aResponder);
  } else {
    HandleNewest(aRequest.target, *aResponder);
  }
}

void
fake_duty_service::Handle(node::http_request aRequest,
                          std::shared_ptr<node::responder> aResponder)
{
  const std::uint64_t fence =
    ParseNumber(std::string(aRequest.headers.Get("Arbutusferry-Fence-Token")));
  const std::string holder(aRequest.headers.Get("Arbutusferry-Duty-Holder"));
  const std::string& knownHolder =
    mHolderByFence.try_emplace(fence, holder).first->second;
  if (knownHolder != holder) {
    mFindings.push_back("two holders reported with fencing token " +
                        std::to_string(fence));
  }
  if (checksFences && fence < mHighestFence) {
    aResponder->Send(MakeResponse(409));
    return;
  }
  mHighestFence = std::max(mHighestFence, fence);
  if (!checksFences) {
    const auto violated = mHolders.Note(holder, fence, mLoop.Now());
    if (violated && !excused(*aResponder)) {
      mFindings.push_back("duty: " + *violated);
    }
  }
  if (aRequest.target == "/usage") {
    const Json::Value report = ParseObject(aRequest.body);
    const std::string counts = WriteJson(report["counts"]);
    const auto [entry, added] =
      mCountsByWindow.try_emplace(report["window"].asInt64(), counts);
    if (entry->second != counts) {
      mFindings.push_back("conflicting usage reports for window " +
                          std::to_string(entry->first) + ": " + entry->second +
                          " and " + counts);
    }
  }
  aResponder->Send(MakeResponse(200));
}

} // namespace arbutusferry::node_soak
