#include "soak.hpp"

#include "arbutusferry/json.hpp"

#include <algorithm>
#include <array>

namespace arbutusferry::node_soak {

namespace {

using std::chrono::milliseconds;

constexpr const char* kHost = "lab.example";
/// Failed reward calls without which no item may end as errored: the largest
/// `max-attempts` of the routes that an item and its call use.
constexpr int kRewardAttempts = 3;
/// More than a connection holds of what its peer doesn't read.
constexpr std::size_t kUploadBytes = 6'000'000;

} // namespace

void
soak_test::SendTo(const node_process& aNode,
                  node::http_request aRequest,
                  node::response_collector::callback aDone)
{
  aRequest.headers.Add("Host", kHost);
  aRequest.headers.Add("Authorization", "Bearer key");
  if (++mSentCount % 4 == 0) {
    // Another tenant's name, in a header that nodes use among themselves.
    aRequest.headers.Add("Ferry-Tenant", "birch");
  }
  node::exchange_options options;
  options.connectTimeout = milliseconds(500);
  options.readTimeout = milliseconds(4'000);
  mClient->Send(LoopbackAddress(aNode.callerPort),
                std::move(aRequest),
                options,
                std::make_shared<node::response_collector>(std::move(aDone)));
}

void
soak_test::CallService()
{
  if (mFaultsCleared) {
    return;
  }
  const bool idempotent = RandomBelow(2) == 0;
  const std::string id = "r" + std::to_string(++mCallCount);
  if (!idempotent) {
    mNonIdempotent.insert(id);
  }
  node::http_request request{ "POST",
                              idempotent ? "/i/x" : "/n/x",
                              { { "Arbutusferry-Request-Id", id },
                                { "Arbutusferry-Deadline-Ms", "2000" } },
                              "body" };
  const node_process& receiver = RandomNode();
  mCallsAtStopping += receiver.stopping ? 1 : 0;
  SendTo(
    receiver,
    std::move(request),
    [this, id, pid = receiver.pid, &receiver](
      const node::http_response* aResponse, node::exchange_failure aFailure) {
      if (!aResponse && aFailure == node::exchange_failure::Protocol) {
        AddFinding(id + ": the response is not one of HTTP");
      }
      if (!aResponse) {
        // Its end may not have been noticed yet, so the process is the same.
        if (mOptions.stopsOnly && receiver.stopping && receiver.pid == pid &&
            aFailure == node::exchange_failure::Broken &&
            mServiceRunCounts.contains(id)) {
          AddFinding(id + ": cut off by the stop of node " +
                     std::to_string(receiver.index) + " while it ran");
        }
        return;
      }
      const int status = aResponse->status;
      if (status == 200) {
        ++mAnsweredCount;
        if (aResponse->body != "done " + id ||
            aResponse->headers.Get("Arbutusferry-Server-Stamp").empty()) {
          AddFinding(
            id + ": response does not match the request: " + aResponse->body);
        }
      } else if (status == 503 || status == 429) {
        mRejected.insert(id);
      } else if (status / 100 == 4) {
        AddFinding(id + ": rejected with status " + std::to_string(status));
      }
    });
  RunAfter(milliseconds(20 + RandomBelow(40)), [this] { CallService(); });
}

void
soak_test::SendUpload()
{
  if (mFaultsCleared) {
    return;
  }
  const std::string id = "u" + std::to_string(++mUploadCount);
  constexpr std::array kPaths{ "/ui/x", "/un/x", "/us/x" };
  SendToNode({ "POST",
               kPaths.at(RandomBelow(kPaths.size())),
               { { "Arbutusferry-Request-Id", id },
                 { "Arbutusferry-Deadline-Ms", "2000" } },
               std::string(kUploadBytes, 'x') },
             [this, id](const node::http_response* aResponse, auto) {
               if (!aResponse || aResponse->status != 200) {
                 return;
               }
               ++mWholeUploads;
               const std::string whole = WholeUploadResponse(id);
               if (whole.empty() || aResponse->body != whole) {
                 AddFinding(id + ": a part of a response came as all of it: " +
                            aResponse->body);
               }
             });
  RunAfter(milliseconds(150 + RandomBelow(300)), [this] { SendUpload(); });
}

void
soak_test::StartBatch()
{
  if (mFaultsCleared) {
    return;
  }
  auto added = std::make_unique<trainer_batch>();
  added->model = RandomBelow(2);
  added->minVersion =
    std::max<std::int64_t>(1, mPublishedVersions[added->model] - 1);
  constexpr std::array kPaths{ "/b/x", "/v/x", "/o/x" };
  added->path = kPaths.at(mBatches.size() % kPaths.size());
  added->id = added->path.substr(1, 1) + std::to_string(mBatches.size());
  added->itemCount = 4 + RandomBelow(8);
  added->startTime = mLoop.Now();
  trainer_batch& batch = *added;
  mBatches.push_back(std::move(added));
  AdvanceBatch(batch);
  if (RandomBelow(3) == 0) {
    const std::size_t model = RandomBelow(2);
    ++mPublishedVersions[model];
    const std::string name = "m" + std::to_string(model);
    mStore.PutRecord("keyed.op",
                     "version/" + name,
                     R"({"model":")" + name + R"(","version":)" +
                       std::to_string(mPublishedVersions[model]) + "}");
  }
  RunAfter(milliseconds(400 + RandomBelow(600)), [this] { StartBatch(); });
}

void
soak_test::AdvanceBatch(trainer_batch& aBatch)
{
  if (aBatch.ended || aBatch.requestPending) {
    return;
  }
  aBatch.requestPending = true;
  const bool complete = aBatch.results.size() == aBatch.itemCount;
  const bool overdue = mLoop.Now() - aBatch.startTime > std::chrono::seconds(6);
  if (!aBatch.accepted) {
    if (mFaultsCleared && !aBatch.submitted) {
      aBatch.ended = true;
      return;
    }
    SubmitBatch(aBatch);
  } else if (complete || (overdue && !mFaultsCleared)) {
    EndBatch(aBatch);
  } else {
    ReadResults(aBatch);
  }
}

void
soak_test::SubmitBatch(trainer_batch& aBatch)
{
  aBatch.submitted = true;
  Json::Value body(Json::objectValue);
  const std::string model = "m" + std::to_string(aBatch.model);
  body["model"] = model;
  body["step"] = 1;
  body["min-version"] = Json::Int64(aBatch.minVersion);
  body["target-count"] = 1;
  for (std::size_t index = 0; index < aBatch.itemCount; ++index) {
    Json::Value item(Json::objectValue);
    // The second character of an item's id is the index of its model.
    item["id"] = "i" + std::to_string(aBatch.model) + aBatch.id + "-" +
                 std::to_string(index);
    item["path"] = aBatch.path;
    item["headers"]["Arbutusferry-Model"] = model;
    item["body"] = "AAAA";
    item["group"] = "g" + std::to_string(index / 4);
    const std::string id = item["id"].asString();
    mBatchOfItem[id] = &aBatch;
    item["scorer"]["id"] = std::string(kRewardPrefix) + id;
    item["scorer"]["host"] = kHost;
    item["scorer"]["path"] = "/i/score";
    item["scorer"]["body"] = "AAAA";
    body["items"].append(std::move(item));
  }
  SendToNode({ "POST",
               aBatch.path,
               { { "Arbutusferry-Request-Id", aBatch.id } },
               WriteJson(body) },
             [this, &aBatch](const node::http_response* aResponse, auto) {
               aBatch.requestPending = false;
               if (aResponse && aResponse->status == 202) {
                 aBatch.accepted = true;
               } else if (aResponse && aResponse->status / 100 == 4 &&
                          aResponse->status != 429) {
                 AddFinding(aBatch.id + ": rejected with status " +
                            std::to_string(aResponse->status));
               }
               RunAfter(milliseconds(100),
                        [this, &aBatch] { AdvanceBatch(aBatch); });
             });
}

void
soak_test::CheckResult(const trainer_batch& aBatch, const Json::Value& aResult)
{
  const std::string item = aResult["id"].asString();
  if (aResult["state"].asString() != "completed") {
    if (!aBatch.endRequested && mRewardFailures[item] < kRewardAttempts) {
      AddFinding(item + ": result is not completed after " +
                 std::to_string(mRewardFailures[item]) +
                 " failed reward calls");
    }
    return;
  }
  CheckScore(item, aResult);
  std::set<std::int64_t> generated;
  std::set<std::string> software;
  std::string text = aResult["text"].asString() + "\n";
  std::size_t events = 0;
  while (!text.empty()) {
    const std::string line = text.substr(0, text.find('\n'));
    text.erase(0, line.size() + 1);
    const auto version = line.rfind(".v");
    std::string expected = item;
    expected += '.';
    expected += std::to_string(++events);
    if (line.substr(0, version) != expected) {
      expected += ", got ";
      expected += line;
      AddFinding(std::move(expected));
      return;
    }
    generated.insert(std::stoll(line.substr(version + 2)));
    software.insert(line.substr(line.rfind('.') + 1));
  }
  std::set<std::int64_t> listed;
  for (const Json::Value& version : aResult["versions"]) {
    listed.insert(version.asInt64());
  }
  if (events != EventCount(item)) {
    AddFinding(item + ": " + std::to_string(events) + " events, expected " +
               std::to_string(EventCount(item)));
  }
  if (software.size() > 1) {
    AddFinding(item + ": text of two software versions");
  }
  if (SingleVersions() && aBatch.path == "/v/x" && generated.size() > 1) {
    AddFinding(item + ": text of two versions on a single-version route");
  }
  if (generated != listed) {
    AddFinding(item + ": listed versions differ from those of the events");
  }
  if (*generated.begin() < aBatch.minVersion) {
    AddFinding(item + ": generated by a version below the minimum");
  }
}

void
soak_test::ReadResults(trainer_batch& aBatch)
{
  // Sometimes rereads an earlier position, whose result must not change.
  const std::size_t after = aBatch.results.empty() || RandomBelow(4) != 0
                              ? aBatch.results.size()
                              : RandomBelow(aBatch.results.size());
  SendToNode(
    { "GET",
      "/lots/" + aBatch.id + "?after=" + std::to_string(after),
      { { "Arbutusferry-Wait-Ms", "300" } },
      {} },
    [this, &aBatch, after](const node::http_response* aResponse, auto) {
      aBatch.requestPending = false;
      if (aResponse && aResponse->status == 404) {
        AddFinding(aBatch.id + ": accepted batch not found");
      }
      if (aResponse && aResponse->status == 200) {
        const auto parsed =
          Capture([&] { return ParseJson(aResponse->body, "results"); });
        const auto* page = std::get_if<Json::Value>(&parsed);
        if (!page || (*page)["total"].asUInt64() != aBatch.itemCount) {
          AddFinding(aBatch.id + ": invalid result page");
          return;
        }
        std::size_t position = after;
        for (const Json::Value& result : (*page)["results"]) {
          const std::string text = WriteJson(result);
          if (position < aBatch.results.size()) {
            if (aBatch.results[position] != text) {
              AddFinding(aBatch.id + ": position " + std::to_string(position) +
                         " changed between reads");
            }
          } else {
            CheckResult(aBatch, result);
            aBatch.results.push_back(text);
          }
          ++position;
        }
      }
      RunAfter(milliseconds(60), [this, &aBatch] { AdvanceBatch(aBatch); });
    });
}

void
soak_test::EndBatch(trainer_batch& aBatch)
{
  aBatch.endRequested = true;
  SendToNode(
    { "DELETE", "/lots/" + aBatch.id, {}, {} },
    [this, &aBatch](const node::http_response* aResponse, auto) {
      aBatch.requestPending = false;
      if (aResponse && aResponse->status == 200) {
        aBatch.ended = true;
        aBatch.endedAt = mLoop.Now();
        return;
      }
      if (aResponse && aResponse->status == 404) {
        AddFinding(aBatch.id + ": accepted batch not found when ending it");
      }
      RunAfter(milliseconds(100), [this, &aBatch] { AdvanceBatch(aBatch); });
    });
}

bool
soak_test::AllBatchesEnded() const
{
  return std::all_of(mBatches.begin(), mBatches.end(), [](const auto& aBatch) {
    return aBatch->ended;
  });
}

} // namespace arbutusferry::node_soak
