#include "lab.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"

#include <algorithm>

namespace arbutusferry::lab {

namespace {

using node::ParseInteger;
using std::chrono::milliseconds;

/// Time that the store takes for an append.
constexpr milliseconds kAppendTime{ 4 };
/// Delay of an append that is carried out late.
constexpr milliseconds kLate{ 1'000 };
/// Time that the plain service works on a request.
constexpr milliseconds kWork{ 5 };

std::string
Query(const std::string& aTarget, const std::string& aName)
{
  const auto mark = aTarget.find('?');
  std::string query = mark == std::string::npos ? "" : aTarget.substr(mark);
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

std::uint64_t
Number(const std::string& aText)
{
  return static_cast<std::uint64_t>(ParseInteger(aText).value_or(0));
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
PartitionOf(const std::string& aTarget)
{
  return Query(aTarget, "topic") + "/" + Query(aTarget, "part");
}

node::http_response
Answer(int aStatus, std::string aBody = {})
{
  node::http_response response;
  response.status = aStatus;
  response.body = std::move(aBody);
  return response;
}

Json::Value
Parse(const std::string& aText)
{
  const auto parsed = Capture([&] { return ParseJson(aText, "lab"); });
  const auto* value = std::get_if<Json::Value>(&parsed);
  return value ? *value : Json::Value(Json::objectValue);
}

/// Standard base64, which the store writes.
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
lab_store::Append(const append_call& aCall)
{
  partition& target = mPartitions[aCall.partition];
  const std::string end = std::to_string(target.payloads.size());
  partition::producer* producer = nullptr;
  if (!aCall.producer.empty()) {
    const bool known = target.producers.contains(aCall.producer);
    producer = &target.producers[aCall.producer];
    if (aCall.epoch < producer->epoch) {
      return { 409, R"({"why":"fenced"})" };
    }
    if (!known || aCall.epoch > producer->epoch) {
      *producer = { aCall.epoch, aCall.sequence, {} };
    } else if (!aCall.payloads.empty() &&
               aCall.sequence + 1 == producer->next) {
      return { 200, producer->lastAnswer };
    } else if (!aCall.payloads.empty() && aCall.sequence != producer->next) {
      return { 409,
               R"({"why":"seq","expected":)" + std::to_string(producer->next) +
                 "}" };
    }
  }
  if (aCall.at && *aCall.at != target.payloads.size()) {
    return { 412, "{\"end\":" + end + "}" };
  }
  target.payloads.insert(
    target.payloads.end(), aCall.payloads.begin(), aCall.payloads.end());
  std::string answer = "{\"offset\":" + end +
                       ",\"end\":" + std::to_string(target.payloads.size()) +
                       "}";
  if (producer && !aCall.payloads.empty()) {
    ++producer->next;
    producer->lastAnswer = answer;
  }
  for (const auto& wake : std::exchange(target.waiting, {})) {
    wake();
  }
  return { 200, std::move(answer) };
}

void
lab_store::Put(const std::string& aTopic,
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
lab_store::HandleAppend(const node::http_request& aRequest,
                        const std::shared_ptr<node::responder>& aResponder)
{
  append_call call;
  call.partition = PartitionOf(aRequest.target);
  call.producer = Query(aRequest.target, "producer");
  call.epoch = Number(Query(aRequest.target, "epoch"));
  call.sequence = Number(Query(aRequest.target, "seq"));
  if (const std::string at = Query(aRequest.target, "at"); !at.empty()) {
    call.at = Number(at);
  }
  for (std::size_t at = 0; at + 4 <= aRequest.body.size();) {
    std::size_t size = 0;
    for (int byte = 0; byte < 4; ++byte) {
      size = size << 8U | static_cast<unsigned char>(aRequest.body[at++]);
    }
    call.payloads.push_back(aRequest.body.substr(at, size));
    at += size;
  }
  const bool lose = Roll() < loseOf10;
  const bool late = Roll() < lateOf10;
  mTimers.push_back(mLoop.After(late ? kLate : kAppendTime,
                                [this, call, lose, late, aResponder] {
                                  const auto [status, body] = Append(call);
                                  if (lose || late) {
                                    aResponder->Abort();
                                  } else {
                                    aResponder->Send(Answer(status, body));
                                  }
                                }));
  if (late) {
    // The caller hears nothing more on this connection.
    aResponder->Abort();
  }
  if (mTimers.size() > 4'096) {
    mTimers.erase(mTimers.begin(), mTimers.begin() + 2'048);
  }
}

void
lab_store::HandleRead(const std::string& aTarget,
                      time_point aUntil,
                      const std::shared_ptr<node::responder>& aResponder)
{
  partition& source = mPartitions[PartitionOf(aTarget)];
  const std::uint64_t from = Number(Query(aTarget, "from"));
  if (from >= source.payloads.size() && mLoop.Now() < aUntil) {
    const auto again = [this, aTarget, aUntil, aResponder] {
      if (!aResponder->Closed()) {
        HandleRead(aTarget, aUntil, aResponder);
      }
    };
    auto done = std::make_shared<bool>(false);
    const auto once = [again, done] {
      if (!std::exchange(*done, true)) {
        again();
      }
    };
    source.waiting.push_back(once);
    mTimers.push_back(mLoop.After(aUntil - mLoop.Now(), once));
    return;
  }
  std::string body = BigEndian(source.payloads.size(), 8) + BigEndian(0, 8);
  for (std::size_t at = from; at < source.payloads.size(); ++at) {
    body += BigEndian(source.payloads[at].size(), 4) + source.payloads[at];
  }
  aResponder->Send(Answer(200, std::move(body)));
}

void
lab_store::HandleNewest(const std::string& aTarget, node::responder& aResponder)
{
  const partition& source = mPartitions[PartitionOf(aTarget)];
  const std::string after = Query(aTarget, "after");
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
  aResponder.Send(Answer(200, WriteJson(page)));
}

void
lab_store::Handle(node::http_request aRequest,
                  std::shared_ptr<node::responder> aResponder)
{
  if (busy) {
    aResponder->Send(Answer(503));
  } else if (aRequest.target.starts_with("/log-append")) {
    HandleAppend(aRequest, aResponder);
  } else if (aRequest.target.starts_with("/log-read")) {
    const auto wait = milliseconds(Number(Query(aRequest.target, "wait-ms")));
    HandleRead(aRequest.target, mLoop.Now() + wait, aResponder);
  } else {
    HandleNewest(aRequest.target, *aResponder);
  }
}

void
lab_duties::Handle(node::http_request aRequest,
                   std::shared_ptr<node::responder> aResponder)
{
  const std::uint64_t fence =
    Number(std::string(aRequest.headers.Get("Arbutusferry-Fence-Token")));
  const std::string holder(aRequest.headers.Get("Arbutusferry-Duty-Holder"));
  const std::string& known = mHolders.try_emplace(fence, holder).first->second;
  if (known != holder) {
    mFindings.push_back("two holders report under fence " +
                        std::to_string(fence));
  }
  if (fence < mFence) {
    aResponder->Send(Answer(409));
    return;
  }
  mFence = fence;
  if (aRequest.target == "/usage") {
    const Json::Value report = Parse(aRequest.body);
    const std::string counts = WriteJson(report["counts"]);
    const auto [entry, added] =
      mReports.try_emplace(report["window"].asInt64(), counts);
    if (entry->second != counts) {
      mFindings.push_back("two reports of window " +
                          std::to_string(entry->first) + ": " + entry->second +
                          " and " + counts);
    }
  }
  aResponder->Send(Answer(200));
}

std::size_t
EventsOf(const std::string& aItem)
{
  const std::uint64_t hash = Hash64(aItem);
  return hash % 12 == 0 ? 60 + hash % 60 : 5 + hash % 15;
}

lab_sampler::lab_sampler(node::event_loop& aLoop,
                         findings& aFindings,
                         std::string aId)
  : mLoop(aLoop)
  , mFindings(aFindings)
  , mId(std::move(aId))
{
}

std::string
lab_sampler::Record(const std::string& aAddress,
                    const std::string& aZone,
                    bool aDraining) const
{
  Json::Value record(Json::objectValue);
  record["service"] = "models";
  record["address"] = aAddress;
  record["zone"] = aZone;
  record["slots"] = 8;
  record["state"] = aDraining ? "draining" : "ready";
  record["born"] = 1;
  Json::Value& models = record["models"] = Json::Value(Json::arrayValue);
  for (const auto& [name, version] : mVersions) {
    Json::Value model(Json::objectValue);
    model["name"] = name;
    model["version"] = Json::Int64(version);
    models.append(std::move(model));
  }
  return WriteJson(record);
}

void
lab_sampler::SetDark(bool aDark)
{
  mDark = aDark;
  if (aDark) {
    for (const auto& run : std::exchange(mRunning, {})) {
      run->Abort();
    }
  }
}

void
lab_sampler::Order(const node::http_request& aRequest,
                   node::responder& aResponder)
{
  const Json::Value order = Parse(aRequest.body);
  const std::uint64_t fence = order["fence"].asUInt64();
  const std::string holder = order["holder"].asString();
  if (mHolders.try_emplace(fence, holder).first->second != holder) {
    mFindings.push_back(mId + ": two holders order under fence " +
                        std::to_string(fence));
  }
  if (fence < mFence) {
    aResponder.Send(Answer(412));
    return;
  }
  mFence = fence;
  if (order["expected-rev"].asUInt64() != mOrders) {
    aResponder.Send(Answer(409));
    return;
  }
  std::int64_t& version = mVersions[order["model"].asString()];
  if (order["version"].asInt64() < version) {
    mFindings.push_back(mId + ": ordered back to an older version");
  }
  version = order["version"].asInt64();
  ++mOrders;
  aResponder.Send(Answer(202));
}

void
lab_sampler::Handle(node::http_request aRequest,
                    std::shared_ptr<node::responder> aResponder)
{
  std::erase_if(mRunning, [](const auto& aRun) { return aRun->Closed(); });
  if (mDark) {
    aResponder->Abort();
    return;
  }
  if (aRequest.target == "/order") {
    Order(aRequest, *aResponder);
    return;
  }
  if (aRequest.target == "/report") {
    Json::Value report = Parse(Record("127.0.0.1:1", "z", false));
    report["seq"] = Json::UInt64(mOrders);
    report["busy"] = false;
    aResponder->Send(Answer(200, WriteJson(report)));
    return;
  }
  const std::string item(aRequest.headers.Get("Arbutusferry-Request-Id"));
  const std::string model(aRequest.headers.Get("Arbutusferry-Model"));
  const std::int64_t version = mVersions[model];
  if (aRequest.headers.Get("Arbutusferry-Expect-Instance") != mId ||
      aRequest.headers.Get("Arbutusferry-Expect-Version") !=
        std::to_string(version)) {
    aResponder->Send(Answer(421));
    return;
  }
  if (mRunning.size() >= 8) {
    node::http_response full = Answer(503);
    full.headers.Add("Arbutusferry-Not-Run", "1");
    aResponder->Send(std::move(full));
    return;
  }
  onRun(item, version);
  mRunning.push_back(aResponder);
  aResponder->Begin(
    200,
    { { "Content-Type", "text/event-stream" },
      { "Arbutusferry-Request-Id", item },
      { "Arbutusferry-Server-Stamp", "stamp" },
      { "Arbutusferry-Weight-Versions", std::to_string(version) } });
  Produce(aResponder,
          item,
          Number(std::string(aRequest.headers.Get("Last-Event-Id"))) + 1,
          version);
}

void
lab_sampler::Produce(const std::shared_ptr<node::responder>& aResponder,
                     const std::string& aItem,
                     std::size_t aNumber,
                     std::int64_t aVersion)
{
  const std::uint64_t handle = mNextTimer++;
  mTimers[handle] =
    mLoop.After(pace, [this, handle, aResponder, aItem, aNumber, aVersion] {
      const auto self = mTimers.extract(handle);
      if (aResponder->Closed()) {
        return;
      }
      const std::int64_t now = mVersions["m" + aItem.substr(1, 1)];
      std::string event;
      if (now != aVersion) {
        event = "arbutusferry-weight-versions: " + std::to_string(now) + "\n";
      }
      event += "id: " + std::to_string(aNumber) + "\ndata: " + aItem + "." +
               std::to_string(aNumber) + ".v" + std::to_string(now) + "\n\n";
      aResponder->Write(event);
      if (aNumber >= EventsOf(aItem)) {
        aResponder->End();
      } else {
        Produce(aResponder, aItem, aNumber + 1, now);
      }
    });
}

void
lab_desk::Handle(node::http_request aRequest,
                 std::shared_ptr<node::responder> aResponder)
{
  const std::string request(aRequest.headers.Get("Arbutusferry-Request-Id"));
  if (aRequest.headers.Get("Arbutusferry-Expect-Instance") != id) {
    aResponder->Send(Answer(421));
    return;
  }
  const int run = ++(*runs)[request];
  const bool cut =
    Hash64(request, 3) % 20 < static_cast<unsigned>(failOf20) && run == 1;
  const std::uint64_t handle = mNextTimer++;
  mTimers[handle] =
    mLoop.After(kWork, [this, handle, request, cut, aResponder] {
      const auto self = mTimers.extract(handle);
      if (cut) {
        aResponder->Abort();
        return;
      }
      node::http_response response = Answer(200, "done " + request);
      response.headers.Add("Arbutusferry-Request-Id", request);
      response.headers.Add("Arbutusferry-Server-Stamp", "stamp");
      aResponder->Send(std::move(response));
    });
}

} // namespace arbutusferry::lab
