#include "support/harness.hpp"

#include "arbutusferry/json.hpp"
#include "arbutusferry/outcome.hpp"

#include <httplib.h>
#include <stdexcept>

namespace arbutusferry::harness {

namespace {

/// Only a process that hangs reaches it.
constexpr int kTimeoutSeconds = 60;

http_reply
SendRequest(const std::string& aAddress,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            const header_list& aHeaders,
            const std::function<bool(const std::string&)>& aOnChunk)
{
  httplib::Client client("http://" + aAddress);
  client.set_connection_timeout(kTimeoutSeconds);
  client.set_read_timeout(kTimeoutSeconds);
  client.set_write_timeout(kTimeoutSeconds);
  client.set_tcp_nodelay(true);
  httplib::Request request;
  request.method = aMethod;
  request.path = aPath;
  request.body = aBody;
  for (const auto& [name, value] : aHeaders) {
    request.headers.emplace(name, value);
  }
  if (!aBody.empty() && !request.has_header("Content-Type")) {
    request.headers.emplace("Content-Type", "application/json");
  }
  std::string received;
  if (aOnChunk) {
    request.content_receiver =
      [&](const char* aData, std::size_t aSize, std::uint64_t, std::uint64_t) {
        received.append(aData, aSize);
        return aOnChunk(std::string(aData, aSize));
      };
  }
  http_reply reply;
  const httplib::Result result = client.send(request);
  if (!result) {
    reply.failure = httplib::to_string(result.error());
    reply.body = received;
    return reply;
  }
  reply.status = result->status;
  reply.body = aOnChunk ? received : result->body;
  for (const auto& [name, value] : result->headers) {
    reply.headers[name] = value;
  }
  return reply;
}

} // namespace

Json::Value
Parse(const std::string& aText)
{
  const auto value = Capture([&] { return ParseJson(aText, "text"); });
  if (const auto* error = std::get_if<error_info>(&value)) {
    throw std::runtime_error(FormatError(*error) + ": " + aText);
  }
  return std::get<Json::Value>(value);
}

std::string
http_reply::Outcome() const
{
  const auto found = headers.find(kOutcomeHeader);
  return found == headers.end() ? "" : found->second;
}

Json::Value
http_reply::Parsed() const
{
  const auto value = Capture([&] { return ParseJson(body, "reply"); });
  const auto* parsed = std::get_if<Json::Value>(&value);
  return parsed != nullptr ? *parsed : Json::Value();
}

http_reply
Send(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody,
     const header_list& aHeaders)
{
  return SendRequest(aAddress, aMethod, aPath, aBody, aHeaders, {});
}

http_reply
SendStreaming(const std::string& aAddress,
              const std::string& aPath,
              const std::string& aBody,
              const header_list& aHeaders,
              const std::function<bool(const std::string&)>& aOnChunk)
{
  return SendRequest(aAddress, "POST", aPath, aBody, aHeaders, aOnChunk);
}

http_reply
Call(const std::string& aEntry,
     const std::string& aPath,
     const std::string& aBody,
     const std::string& aKey,
     const header_list& aHeaders)
{
  header_list headers = aHeaders;
  if (!aKey.empty()) {
    headers.emplace_back("Authorization", "Bearer " + aKey);
  }
  return Send(aEntry, "POST", aPath, aBody, headers);
}

std::vector<std::string>
TakePermits(const std::string& aEntry,
            const std::string& aRoute,
            const std::string& aKey,
            int aCount)
{
  Json::Value body(Json::objectValue);
  body["route"] = aRoute;
  body["count"] = aCount;
  const http_reply reply = Call(aEntry, "/v1/permits", WriteJson(body), aKey);
  std::vector<std::string> permits;
  const Json::Value answer = reply.Parsed();
  for (const Json::Value& permit : answer["permits"]) {
    permits.push_back(permit.asString());
  }
  if (reply.status != 200 || permits.size() != std::size_t(aCount)) {
    throw std::runtime_error("cannot obtain permits: status " +
                             std::to_string(reply.status) + " " +
                             reply.failure + " " + reply.body);
  }
  return permits;
}

http_reply
CallWithPermit(const std::string& aEntry,
               const std::string& aPath,
               const std::string& aBody,
               const std::string& aKey,
               const std::string& aPermit)
{
  return Call(aEntry, aPath, aBody, aKey, { { "Idempotency-Key", aPermit } });
}

std::map<std::string, int>
CountReceivedBodies(const std::string& aTarget, const std::string& aPath)
{
  std::map<std::string, int> bodies;
  const Json::Value seen = SendJson(aTarget, "GET", "/admin/seen");
  for (const Json::Value& request : seen["requests"]) {
    if (request["path"].asString() == aPath) {
      ++bodies[request["body"].asString()];
    }
  }
  return bodies;
}

Json::Value
SendJson(const std::string& aAddress,
         const std::string& aMethod,
         const std::string& aPath,
         const Json::Value& aBody)
{
  const http_reply reply =
    Send(aAddress, aMethod, aPath, aBody.isNull() ? "" : WriteJson(aBody), {});
  if (reply.status != 200) {
    throw std::runtime_error(aMethod + " " + aAddress + aPath + ": status " +
                             std::to_string(reply.status) + " " +
                             reply.failure + " " + reply.body);
  }
  return reply.Parsed();
}

} // namespace arbutusferry::harness
