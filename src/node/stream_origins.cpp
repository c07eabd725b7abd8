#include "arbutusferry/node/stream_origins.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kOriginPath = "/stream-origins";
constexpr const char* kStreamHeader = "Ferry-Stream";
constexpr const char* kSoftwareHeader = "Ferry-Software";
/// Nodes that keep a stream's origin besides the one that serves it. With
/// three, 96 of 100 origins survive when a third of all nodes is lost at once.
constexpr std::size_t kCopies = 3;
constexpr std::chrono::seconds kExpireInterval{ 5 };
/// Time limit of a question to another node: many times a round trip within a
/// region.
constexpr milliseconds kQuestionTimeout{ 200 };

exchange_options
QuestionOptions()
{
  exchange_options options;
  options.connectTimeout = kQuestionTimeout;
  options.readTimeout = kQuestionTimeout;
  options.madeAtOnce = true;
  return options;
}

http_request
MakeRequest(const char* aMethod, const std::string& aStream)
{
  http_request request;
  request.method = aMethod;
  request.target = kOriginPath;
  request.headers.Add(kStreamHeader, aStream);
  return request;
}

/// Questions to several nodes: the first that knows the origin decides.
struct pending_question
{
  std::size_t open = 0;
  std::function<void(const std::optional<std::string>&)> done;
};

} // namespace

shared_stream_origins::shared_stream_origins(parts aParts)
  : mParts(std::move(aParts))
  , mExpiryTimer(mParts.loop, kExpireInterval, [this] { Expire(); })
{
}

void
shared_stream_origins::Keep(const std::string& aStream,
                            const std::string& aSoftware)
{
  mOrigins.insert_or_assign(aStream, origin{ aSoftware, mParts.loop.Now() });
}

void
shared_stream_origins::Note(const std::string& aStream,
                            const std::string& aSoftware)
{
  Keep(aStream, aSoftware);
  for (const node_entry& node :
       mParts.nodes.ChooseKeepers(aStream, mParts.vm, kCopies)) {
    http_request request = MakeRequest("POST", aStream);
    request.headers.Add(kSoftwareHeader, aSoftware);
    mParts.client.Send(node.address,
                       std::move(request),
                       QuestionOptions(),
                       std::make_shared<response_collector>(
                         [aStream, vm = node.vm](const http_response* aResponse,
                                                 exchange_failure) {
                           if (!aResponse || aResponse->status / 100 != 2) {
                             Log(log_level::Info,
                                 "stream_origin_not_copied",
                                 { { "request", aStream }, { "node", vm } });
                           }
                         }));
  }
}

void
shared_stream_origins::Find(
  const std::string& aStream,
  const std::string& aService,
  std::function<void(const std::optional<std::string>&)> aDone)
{
  if (const auto known = mOrigins.find(aStream); known != mOrigins.end()) {
    aDone(known->second.software);
    return;
  }
  const auto keepers =
    aStream.empty() ? std::vector<node_entry>()
                    : mParts.nodes.ChooseKeepers(aStream, mParts.vm, kCopies);
  if (keepers.empty()) {
    aDone(mParts.candidates.OnlyOrigin(aService));
    return;
  }
  auto question = std::make_shared<pending_question>();
  question->open = keepers.size();
  question->done = std::move(aDone);
  for (const node_entry& node : keepers) {
    mParts.client.Send(
      node.address,
      MakeRequest("GET", aStream),
      QuestionOptions(),
      std::make_shared<response_collector>(
        [this, question, aService](const http_response* aResponse,
                                   exchange_failure) {
          --question->open;
          const auto software = aResponse && aResponse->status == 200
                                  ? aResponse->headers.Find(kSoftwareHeader)
                                  : std::nullopt;
          if ((software || question->open == 0) && question->done) {
            const auto done = std::exchange(question->done, nullptr);
            done(software ? std::optional<std::string>(*software)
                          : mParts.candidates.OnlyOrigin(aService));
          }
        }));
  }
}

bool
shared_stream_origins::IsOriginPath(std::string_view aPath)
{
  return aPath == kOriginPath;
}

void
shared_stream_origins::Serve(const http_request& aRequest,
                             responder& aResponder)
{
  const auto stream = aRequest.headers.Find(kStreamHeader);
  const auto software = aRequest.headers.Find(kSoftwareHeader);
  http_response response;
  if (!stream || (aRequest.method == "POST" && !software)) {
    response.status = 400;
  } else if (aRequest.method == "POST") {
    Keep(std::string(*stream), std::string(*software));
    response.status = 204;
  } else {
    const auto known = mOrigins.find(std::string(*stream));
    response.status = known == mOrigins.end() ? 404 : 200;
    if (known != mOrigins.end()) {
      response.headers.Add(kSoftwareHeader, known->second.software);
    }
  }
  aResponder.Send(std::move(response));
}

void
shared_stream_origins::Expire()
{
  const time_point now = mParts.loop.Now();
  std::erase_if(mOrigins, [&](const auto& aEntry) {
    return now - aEntry.second.since >= kOriginRetention;
  });
}

} // namespace arbutusferry::node
