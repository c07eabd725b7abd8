#include "soak.hpp"

#include "arbutusferry/json.hpp"

#include <algorithm>

namespace arbutusferry::lab {

namespace {

using std::chrono::milliseconds;

constexpr const char* kHost = "lab.example";

} // namespace

void
soak::Send(node::http_request aRequest,
           node::response_collector::callback aDone)
{
  aRequest.headers.Add("Host", kHost);
  aRequest.headers.Add("Authorization", "Bearer key");
  node::exchange_options options;
  options.connectTimeout = milliseconds(500);
  options.readTimeout = milliseconds(4'000);
  mClient->Send(Local(mNodes[Roll(mNodes.size())]->callers),
                std::move(aRequest),
                options,
                std::make_shared<node::response_collector>(std::move(aDone)));
}

void
soak::Call()
{
  if (mHealed) {
    return;
  }
  const bool repeatable = Roll(2) == 0;
  const std::string id = "r" + std::to_string(++mCalls);
  if (!repeatable) {
    mOnce.insert(id);
  }
  node::http_request request{ "POST",
                              repeatable ? "/i/x" : "/n/x",
                              { { "Arbutusferry-Request-Id", id },
                                { "Arbutusferry-Deadline-Ms", "2000" } },
                              "body" };
  Send(std::move(request),
       [this, id](const node::http_response* aResponse, auto) {
         if (!aResponse) {
           return;
         }
         const int status = aResponse->status;
         if (status == 200) {
           ++mAnswered;
           if (aResponse->body != "done " + id ||
               aResponse->headers.Get("Arbutusferry-Server-Stamp").empty()) {
             Found(id + ": the answer is not its own: " + aResponse->body);
           }
         } else if (status == 503 || status == 429) {
           mRefused.insert(id);
         } else if (status / 100 == 4) {
           Found(id + ": refused with " + std::to_string(status));
         }
       });
  Later(milliseconds(20 + Roll(40)), [this] { Call(); });
}

void
soak::Train()
{
  if (mHealed) {
    return;
  }
  auto added = std::make_unique<trained_batch>();
  added->model = Roll(2);
  added->minimum = std::max<std::int64_t>(1, mNamed[added->model] - 1);
  added->id = "b" + std::to_string(mBatches.size());
  added->items = 4 + Roll(8);
  added->started = mLoop.Now();
  trained_batch& entry = *added;
  mBatches.push_back(std::move(added));
  Step(entry);
  if (Roll(3) == 0) {
    const std::size_t model = Roll(2);
    ++mNamed[model];
    const std::string name = "m" + std::to_string(model);
    mStore.Put("keyed.op",
               "version/" + name,
               R"({"model":")" + name + R"(","version":)" +
                 std::to_string(mNamed[model]) + "}");
  }
  Later(milliseconds(400 + Roll(600)), [this] { Train(); });
}

void
soak::Step(trained_batch& aBatch)
{
  if (aBatch.ended || aBatch.busy) {
    return;
  }
  aBatch.busy = true;
  const bool complete = aBatch.results.size() == aBatch.items;
  const bool late = mLoop.Now() - aBatch.started > std::chrono::seconds(6);
  if (!aBatch.accepted) {
    if (mHealed && !aBatch.tried) {
      aBatch.ended = true;
      return;
    }
    Submit(aBatch);
  } else if (complete || (late && !mHealed)) {
    End(aBatch);
  } else {
    Read(aBatch);
  }
}

void
soak::Submit(trained_batch& aBatch)
{
  aBatch.tried = true;
  Json::Value body(Json::objectValue);
  const std::string model = "m" + std::to_string(aBatch.model);
  body["model"] = model;
  body["step"] = 1;
  body["min-version"] = Json::Int64(aBatch.minimum);
  body["target-count"] = 1;
  for (std::size_t index = 0; index < aBatch.items; ++index) {
    Json::Value item(Json::objectValue);
    // The second letter of an item names its model.
    item["id"] = "i" + std::to_string(aBatch.model) + aBatch.id + "-" +
                 std::to_string(index);
    item["path"] = "/b/x";
    item["headers"]["Arbutusferry-Model"] = model;
    item["body"] = "AAAA";
    item["group"] = "g" + std::to_string(index / 4);
    body["items"].append(std::move(item));
  }
  Send({ "POST",
         "/b/x",
         { { "Arbutusferry-Request-Id", aBatch.id } },
         WriteJson(body) },
       [this, &aBatch](const node::http_response* aResponse, auto) {
         aBatch.busy = false;
         if (aResponse && aResponse->status == 202) {
           aBatch.accepted = true;
         } else if (aResponse && aResponse->status / 100 == 4 &&
                    aResponse->status != 429) {
           Found(aBatch.id + ": refused with " +
                 std::to_string(aResponse->status));
         }
         Later(milliseconds(100), [this, &aBatch] { Step(aBatch); });
       });
}

void
soak::CheckResult(const trained_batch& aBatch, const Json::Value& aResult)
{
  const std::string item = aResult["id"].asString();
  if (aResult["state"].asString() != "completed") {
    if (!aBatch.endSent) {
      Found(item + ": errored");
    }
    return;
  }
  std::set<std::int64_t> made;
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
      expected += " is ";
      expected += line;
      Found(std::move(expected));
      return;
    }
    made.insert(std::stoll(line.substr(version + 2)));
  }
  std::set<std::int64_t> named;
  for (const Json::Value& version : aResult["versions"]) {
    named.insert(version.asInt64());
  }
  if (events != EventsOf(item)) {
    Found(item + ": " + std::to_string(events) + " events of " +
          std::to_string(EventsOf(item)));
  }
  if (made != named) {
    Found(item + ": the versions are not those that made it");
  }
  if (*made.begin() < aBatch.minimum) {
    Found(item + ": made by a version below the minimum");
  }
}

void
soak::Read(trained_batch& aBatch)
{
  // Now and then from an earlier position: it must hold what it held.
  const std::size_t after = aBatch.results.empty() || Roll(4) != 0
                              ? aBatch.results.size()
                              : Roll(aBatch.results.size());
  Send({ "GET",
         "/lots/" + aBatch.id + "?after=" + std::to_string(after),
         { { "Arbutusferry-Wait-Ms", "300" } },
         {} },
       [this, &aBatch, after](const node::http_response* aResponse, auto) {
         aBatch.busy = false;
         if (aResponse && aResponse->status == 404) {
           Found(aBatch.id + ": accepted and not found");
         }
         if (aResponse && aResponse->status == 200) {
           const auto parsed =
             Capture([&] { return ParseJson(aResponse->body, "results"); });
           const auto* page = std::get_if<Json::Value>(&parsed);
           if (!page || (*page)["total"].asUInt64() != aBatch.items) {
             Found(aBatch.id + ": a page that is none");
             return;
           }
           std::size_t position = after;
           for (const Json::Value& result : (*page)["results"]) {
             const std::string text = WriteJson(result);
             if (position < aBatch.results.size()) {
               if (aBatch.results[position] != text) {
                 Found(aBatch.id + ": position " + std::to_string(position) +
                       " has changed");
               }
             } else {
               CheckResult(aBatch, result);
               aBatch.results.push_back(text);
             }
             ++position;
           }
         }
         Later(milliseconds(60), [this, &aBatch] { Step(aBatch); });
       });
}

void
soak::End(trained_batch& aBatch)
{
  aBatch.endSent = true;
  Send({ "DELETE", "/lots/" + aBatch.id, {}, {} },
       [this, &aBatch](const node::http_response* aResponse, auto) {
         aBatch.busy = false;
         if (aResponse && aResponse->status == 200) {
           aBatch.ended = true;
           return;
         }
         if (aResponse && aResponse->status == 404) {
           Found(aBatch.id + ": accepted and not found at its end");
         }
         Later(milliseconds(100), [this, &aBatch] { Step(aBatch); });
       });
}

bool
soak::Settled() const
{
  return std::all_of(mBatches.begin(), mBatches.end(), [](const auto& aBatch) {
    return aBatch->ended;
  });
}

} // namespace arbutusferry::lab
