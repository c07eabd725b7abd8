#include "soak_targets.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "soak_messages.hpp"

#include <algorithm>

namespace arbutusferry::node_soak {

namespace {

using std::chrono::milliseconds;

/// Delay of a weight order that gets no answer: longer than its sender waits,
/// but not until it has sent the order again, which makes this one void.
constexpr milliseconds kLateOrderDelay{ 1'100 };
/// Kinds of faulty replies of the plain service.
constexpr std::uint64_t kFaultyReplies = 5;
constexpr int kNoHttpStatus = 600;
/// Processing time of the plain service.
constexpr milliseconds kServiceDelay{ 5 };

} // namespace

void
limited_requests::Apply(const std::string& aTarget,
                        const node::responder& aResponder,
                        node::header_list& aHeaders)
{
  if (!mRule.Limit()) {
    return;
  }
  aHeaders.Add("Server-Limit", std::to_string(*mRule.Limit()));
  const std::string sender = findSender(aResponder);
  if (sender.empty()) {
    return; // The node has ended meanwhile.
  }
  if (const auto count = mRule.NoteRequest(sender, mLoop.Now())) {
    mFindings.push_back(aTarget + ": " + std::to_string(*count) +
                        " requests in 4 s, allowed " +
                        std::to_string(mRule.Allowed()));
  }
  mRule.NoteResponse(sender, mLoop.Now());
}

std::size_t
EventCount(const std::string& aItem)
{
  const std::uint64_t hash = Hash64(aItem);
  // Texts that must have one version are long, so that loads fall into them.
  const bool isLong = hash % 12 == 0 || (aItem.size() > 2 && aItem[2] == 'v');
  return isLong ? 60 + hash % 60 : 5 + hash % 15;
}

std::optional<std::string>
StreamRejection(const std::string& aRequest)
{
  return Hash64(aRequest, 13) % 10 == 0
           ? std::optional(R"({"error":"no prompt in )" + aRequest + "\"}")
           : std::nullopt;
}

fake_sampler::fake_sampler(node::event_loop& aLoop,
                           finding_list& aFindings,
                           std::string aId)
  : limit(aLoop, aFindings)
  , mLoop(aLoop)
  , mFindings(aFindings)
  , mId(std::move(aId))
{
}

std::string
fake_sampler::Record(const std::string& aAddress,
                     const std::string& aZone,
                     bool aDraining) const
{
  Json::Value record(Json::objectValue);
  record["service"] = service;
  record["version"] = software;
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
fake_sampler::SetOffline(bool aOffline)
{
  mOffline = aOffline;
  if (aOffline) {
    for (const auto& response : std::exchange(mOpenResponses, {})) {
      response->Abort();
    }
  }
}

void
fake_sampler::HandleOrder(const node::http_request& aRequest,
                          const std::shared_ptr<node::responder>& aResponder)
{
  const Json::Value order = ParseObject(aRequest.body);
  if (delaysOrders && ++mReceivedOrders % 3 == 0) {
    // It gets no answer before its sender gives up.
    const std::uint64_t timerId = mNextTimerId++;
    mTimers[timerId] =
      mLoop.After(kLateOrderDelay, [this, timerId, order, aResponder] {
        const auto ownTimer = mTimers.extract(timerId);
        (void)TakeOrder(order);
      });
    return;
  }
  const std::uint64_t fence = order["fence"].asUInt64();
  const std::string holder = order["holder"].asString();
  if (mHolderByFence.try_emplace(fence, holder).first->second != holder) {
    mFindings.push_back(mId + ": two holders sent orders with fencing token " +
                        std::to_string(fence));
  }
  const int status = TakeOrder(order);
  if (!checksFences && status != 412) {
    const auto violated = mHolders.Note(holder, fence, mLoop.Now());
    if (violated && !excused(*aResponder)) {
      mFindings.push_back(mId + ": " + *violated);
    }
  }
  aResponder->Send(MakeResponse(status));
}

int
fake_sampler::TakeOrder(const Json::Value& aOrder)
{
  const std::uint64_t fence = aOrder["fence"].asUInt64();
  if (checksFences && fence < mHighestFence) {
    return 412;
  }
  mHighestFence = std::max(mHighestFence, fence);
  if (mLoading || aOrder["expected-rev"].asUInt64() != mOrderCount) {
    return 409;
  }
  if (aOrder["version"].asInt64() < mVersions[aOrder["model"].asString()]) {
    mFindings.push_back(mId + ": received an order for an older version");
  }
  ++mOrderCount;
  Load(aOrder);
  return 202;
}

void
fake_sampler::Load(const Json::Value& aOrder)
{
  std::erase_if(mOpenResponses,
                [](const auto& aResponse) { return aResponse->Closed(); });
  mLoading = aOrder["mode"].asString() == "wait" && !mOpenResponses.empty();
  if (!mLoading) {
    mVersions[aOrder["model"].asString()] = aOrder["version"].asInt64();
    return;
  }
  const std::uint64_t timerId = mNextTimerId++;
  mTimers[timerId] = mLoop.After(eventInterval, [this, timerId, aOrder] {
    const auto ownTimer = mTimers.extract(timerId);
    Load(aOrder);
  });
}

void
fake_sampler::Handle(node::http_request aRequest,
                     std::shared_ptr<node::responder> aResponder)
{
  std::erase_if(mOpenResponses,
                [](const auto& aResponse) { return aResponse->Closed(); });
  if (mOffline) {
    aResponder->Abort();
    return;
  }
  if (onRequest &&
      (aRequest.target == "/order" || aRequest.target == "/report")) {
    onRequest(*aResponder);
  }
  if (aRequest.target == "/order") {
    HandleOrder(aRequest, aResponder);
    return;
  }
  if (aRequest.target == "/report") {
    Json::Value report = ParseObject(Record("127.0.0.1:1", "z", false));
    report["seq"] = Json::UInt64(mOrderCount);
    report["busy"] = mLoading;
    aResponder->Send(MakeResponse(200, WriteJson(report)));
    return;
  }
  node::header_list limitHeaders;
  limit.Apply(mId, *aResponder, limitHeaders);
  const std::string item(aRequest.headers.Get("Arbutusferry-Request-Id"));
  const std::string model(aRequest.headers.Get("Arbutusferry-Model"));
  const std::int64_t version = mVersions[model];
  // Only items name the weights that they need.
  const auto weights = aRequest.headers.Find("Arbutusferry-Expect-Version");
  if (aRequest.headers.Get("Arbutusferry-Expect-Instance") != mId ||
      (weights && *weights != std::to_string(version))) {
    aResponder->Send(MakeResponse(421));
    return;
  }
  if (onRequest) {
    onRequest(*aResponder);
  }
  if (aRequest.headers.Get("Arbutusferry-Tenant") != "acme") {
    mFindings.push_back(
      item + ": ran for tenant '" +
      std::string(aRequest.headers.Get("Arbutusferry-Tenant")) + "'");
  }
  const auto rejection = weights || aRequest.headers.Find("Last-Event-Id")
                           ? std::nullopt
                           : StreamRejection(item);
  if (rejection) {
    node::http_response error = MakeResponse(400, *rejection);
    error.headers.Add("Arbutusferry-Request-Id", item);
    error.headers.Add("Arbutusferry-Server-Stamp", "stamp");
    for (const auto& [name, value] : limitHeaders) {
      error.headers.Add(name, value);
    }
    aResponder->Send(std::move(error));
    return;
  }
  if (mLoading || mOpenResponses.size() >= 8) {
    node::http_response full = MakeResponse(503);
    full.headers.Add("Arbutusferry-Not-Run", "1");
    for (const auto& [name, value] : limitHeaders) {
      full.headers.Add(name, value);
    }
    aResponder->Send(std::move(full));
    return;
  }
  if (weights) {
    onItemStarted(item, version);
  }
  mOpenResponses.push_back(aResponder);
  node::header_list headers{ { "Content-Type", "text/event-stream" },
                             { "Arbutusferry-Request-Id", item },
                             { "Arbutusferry-Server-Stamp", "stamp" },
                             { "Arbutusferry-Weight-Versions",
                               std::to_string(version) } };
  for (const auto& [name, value] : limitHeaders) {
    headers.Add(name, value);
  }
  aResponder->Begin(200, headers);
  const std::uint64_t after =
    ParseNumber(std::string(aRequest.headers.Get("Last-Event-Id")));
  if (weights && after >= EventCount(item)) {
    // The sender has all events and has lost only the end of the stream.
    aResponder->End();
    return;
  }
  SendNextEvent(aResponder, item, after + 1, version);
}

void
fake_sampler::SendNextEvent(const std::shared_ptr<node::responder>& aResponder,
                            const std::string& aItem,
                            std::size_t aEventNumber,
                            std::int64_t aVersion)
{
  const std::uint64_t timerId = mNextTimerId++;
  mTimers[timerId] = mLoop.After(
    eventInterval, [this, timerId, aResponder, aItem, aEventNumber, aVersion] {
      const auto ownTimer = mTimers.extract(timerId);
      if (aResponder->Closed()) {
        return;
      }
      const std::int64_t currentVersion = mVersions["m" + aItem.substr(1, 1)];
      std::string event;
      if (currentVersion != aVersion) {
        event =
          "arbutusferry-weight-versions: " + std::to_string(currentVersion) +
          "\n";
      }
      event += "id: " + std::to_string(aEventNumber) + "\ndata: " + aItem +
               "." + std::to_string(aEventNumber) + ".v" +
               std::to_string(currentVersion) + "." + software + "\n\n";
      if (aEventNumber >= EventCount(aItem) && onItemFinished) {
        onItemFinished(aItem);
      }
      aResponder->Write(event);
      if (aEventNumber >= EventCount(aItem)) {
        aResponder->End();
      } else {
        SendNextEvent(aResponder, aItem, aEventNumber + 1, currentVersion);
      }
    });
}

bool
RewardAlwaysFails(const std::string& aItem)
{
  return Hash64(aItem, 5) % 12 == 0;
}

void
fake_plain_service::SendFaulty(
  node::http_response aResponse,
  faulty_reply aKind,
  const std::shared_ptr<node::responder>& aResponder)
{
  switch (aKind) {
    case faulty_reply::Aborted:
      aResponder->Abort();
      break;
    case faulty_reply::BrokenOff: {
      aResponder->Begin(aResponse.status, aResponse.headers);
      aResponder->Write(aResponse.body.substr(0, aResponse.body.size() / 2));
      const std::uint64_t timerId = mNextTimerId++;
      mTimers[timerId] =
        mLoop.After(kServiceDelay, [this, timerId, aResponder] {
          const auto ownTimer = mTimers.extract(timerId);
          aResponder->Abort();
        });
      break;
    }
    case faulty_reply::NoHttpStatus:
      aResponse.status = kNoHttpStatus;
      aResponder->Send(std::move(aResponse));
      break;
    case faulty_reply::FalseRefusal:
      aResponse.status = 503;
      aResponder->Send(std::move(aResponse));
      break;
    case faulty_reply::Unsigned:
      aResponse.headers.Remove("Arbutusferry-Server-Stamp");
      aResponder->Send(std::move(aResponse));
      break;
  }
}

void
fake_plain_service::Handle(node::http_request aRequest,
                           std::shared_ptr<node::responder> aResponder)
{
  const std::string request(aRequest.headers.Get("Arbutusferry-Request-Id"));
  if (aRequest.headers.Get("Arbutusferry-Expect-Instance") != id) {
    aResponder->Send(MakeResponse(421));
    return;
  }
  const int run = ++(*runCounts)[request];
  const std::string item = request.starts_with(kRewardPrefix)
                             ? request.substr(kRewardPrefix.size())
                             : std::string();
  if (!item.empty()) {
    onRewardCall(item, *aResponder);
  }
  const bool faulty =
    Hash64(request, 3) % 20 < static_cast<unsigned>(faultyRepliesPer20) &&
    run == 1;
  node::header_list limitHeaders;
  limit.Apply(id, *aResponder, limitHeaders);
  const std::uint64_t timerId = mNextTimerId++;
  const milliseconds drawn =
    longestRun * static_cast<int>(Hash64(request, 7) % 100) / 100;
  mTimers[timerId] = mLoop.After(
    std::max(kServiceDelay, drawn),
    [this, timerId, request, item, run, faulty, aResponder, limitHeaders] {
      const auto ownTimer = mTimers.extract(timerId);
      const bool fails = !item.empty() && RewardAlwaysFails(item);
      const std::string stamp = item.empty()
                                  ? std::string("stamp")
                                  : "score-" + item + "-" + std::to_string(run);
      if (!item.empty()) {
        onScored(item, fails ? std::string() : stamp);
      }
      node::http_response response =
        MakeResponse(fails ? 500 : 200, "done " + request);
      response.headers.Add("Arbutusferry-Request-Id", request);
      response.headers.Add("Arbutusferry-Server-Stamp", stamp);
      for (const auto& [name, value] : limitHeaders) {
        response.headers.Add(name, value);
      }
      if (faulty) {
        SendFaulty(
          std::move(response),
          static_cast<faulty_reply>(Hash64(request, 11) % kFaultyReplies),
          aResponder);
      } else {
        aResponder->Send(std::move(response));
      }
    });
}

} // namespace arbutusferry::node_soak
