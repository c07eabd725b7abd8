#include "arbutusferry/node/target_gateway.hpp"

#include "arbutusferry/logging.hpp"
#include "arbutusferry/node/request_text.hpp"

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kGatewayPath = "/gateway/";
constexpr std::string_view kSendPath = "/gateway/send";
constexpr std::string_view kProbePath = "/gateway/probe";
constexpr const char* kTargetHeader = "Ferry-Target";
constexpr const char* kSentAtHeader = "Ferry-Sent-At";
/// Time from sending the message within which the target must be connected.
constexpr const char* kConnectWithinHeader = "Ferry-Connect-Within-Ms";
constexpr const char* kReadTimeoutHeader = "Ferry-Read-Timeout-Ms";
constexpr const char* kZoneHeader = "Ferry-Target-Zone";
/// By what right the request starts; absent from builds without cold targets.
constexpr const char* kStartHeader = "Ferry-Start";
constexpr const char* kEchoHeader = "Ferry-Echo-Header";
constexpr const char* kErrorHeader = "Ferry-Gateway-Error";
constexpr const char* kClockHeader = "Ferry-Time";

std::int64_t
ClockMs(const event_loop& aLoop)
{
  return ToMilliseconds(aLoop.Now().time_since_epoch());
}

gateway_error
ErrorOf(exchange_failure aFailure)
{
  switch (aFailure) {
    case exchange_failure::Refused:
      return gateway_error::Refused;
    case exchange_failure::NotSent:
      return gateway_error::NotSent;
    case exchange_failure::Broken:
      return gateway_error::Broken;
    case exchange_failure::Protocol:
      return gateway_error::Protocol;
    case exchange_failure::Timeout:
      break;
  }
  return gateway_error::Timeout;
}

void
SendError(const event_loop& aLoop, responder& aResponder, gateway_error aError)
{
  http_response response;
  response.status = 502;
  response.headers = { { kErrorHeader, std::string(EnumName(aError)) },
                       { kClockHeader, std::to_string(ClockMs(aLoop)) } };
  aResponder.Send(std::move(response));
}

http_request
MakeMessage(std::string_view aPath, const gateway_call& aCall)
{
  http_request message;
  message.method = "POST";
  message.target = aPath;
  message.headers = {
    { kTargetHeader, FormatAddress(aCall.target) },
    { kConnectWithinHeader,
      std::to_string(aCall.options.connectTimeout.count()) },
    { kReadTimeoutHeader, std::to_string(aCall.options.readTimeout.count()) },
  };
  if (!aCall.options.echoHeader.empty()) {
    message.headers.Add(kEchoHeader, aCall.options.echoHeader);
  }
  if (!aCall.options.targetZone.empty()) {
    message.headers.Add(kZoneHeader, aCall.options.targetZone);
  }
  if (aCall.options.start != start_right::Any) {
    message.headers.Add(kStartHeader,
                        std::string(EnumName(aCall.options.start)));
  }
  if (aCall.sentAt) {
    message.headers.Add(kSentAtHeader, std::to_string(*aCall.sentAt));
  }
  return message;
}

std::optional<gateway_call>
ReadCall(const header_list& aHeaders)
{
  const auto target = ParseAddress(aHeaders.Get(kTargetHeader));
  const auto connectWithin = ParseInteger(aHeaders.Get(kConnectWithinHeader));
  const auto readTimeout = ParseInteger(aHeaders.Get(kReadTimeoutHeader));
  if (!target || !connectWithin || !readTimeout) {
    return std::nullopt;
  }
  gateway_call call;
  call.target = *target;
  call.options.connectTimeout = milliseconds(*connectWithin);
  call.options.readTimeout = milliseconds(*readTimeout);
  call.options.echoHeader = aHeaders.Get(kEchoHeader);
  call.options.start = ParseEnum<start_right>(aHeaders.Get(kStartHeader))
                         .value_or(start_right::Any);
  call.options.targetZone = aHeaders.Get(kZoneHeader);
  call.sentAt = ParseInteger(aHeaders.Get(kSentAtHeader));
  return call;
}

} // namespace

http_request
MakeGatewaySend(const gateway_call& aCall, const http_request& aRequest)
{
  http_request message = MakeMessage(kSendPath, aCall);
  message.body = SerializeRequest(aRequest);
  return message;
}

http_request
MakeGatewayProbe(const gateway_call& aCall)
{
  return MakeMessage(kProbePath, aCall);
}

std::optional<gateway_error>
ReadGatewayError(const header_list& aHeaders)
{
  const auto text = aHeaders.Find(kErrorHeader);
  if (!text) {
    return std::nullopt;
  }
  return ParseEnum<gateway_error>(*text).value_or(gateway_error::Broken);
}

std::optional<std::int64_t>
ReadGatewayClock(const header_list& aHeaders)
{
  return ParseInteger(aHeaders.Get(kClockHeader));
}

void
StripGatewayHeaders(header_list& aHeaders)
{
  aHeaders.Remove(kClockHeader);
}

/// Passes a target's response on to the node that asked for it.
class target_gateway::passage final : public response_sink
{
public:
  /// @param aKeepsLength Whether the length that the target names is that of
  /// the body: not after a HEAD request.
  passage(event_loop& aLoop,
          std::shared_ptr<responder> aResponder,
          bool aKeepsLength)
    : mLoop(aLoop)
    , mResponder(std::move(aResponder))
    , mKeepsLength(aKeepsLength)
  {
  }

  void OnHead(int aStatus, const header_list& aHeaders) override
  {
    header_list headers;
    for (const auto& [name, value] : aHeaders) {
      // The connection to the other node has its own framing, but only a
      // length tells that node that a stream is whole.
      if (!EqualIgnoringCase(name, "Connection") &&
          !EqualIgnoringCase(name, "Keep-Alive") &&
          !EqualIgnoringCase(name, "Transfer-Encoding") &&
          (mKeepsLength || !EqualIgnoringCase(name, "Content-Length"))) {
        headers.Add(name, value);
      }
    }
    RemoveNodeHeaders(headers);
    headers.Add(kClockHeader, std::to_string(ClockMs(mLoop)));
    mBegun = true;
    mResponder->Begin(aStatus, headers);
  }
  void OnBody(std::string_view aPart) override { mResponder->Write(aPart); }
  void OnEnd() override { mResponder->End(); }
  void OnFailure(exchange_failure aFailure) override
  {
    if (mBegun) {
      mResponder->Abort();
    } else {
      SendError(mLoop, *mResponder, ErrorOf(aFailure));
    }
  }

private:
  event_loop& mLoop;
  std::shared_ptr<responder> mResponder;
  bool mKeepsLength;
  bool mBegun = false;
};

bool
target_gateway::IsGatewayPath(std::string_view aPath)
{
  return aPath.starts_with(kGatewayPath);
}

void
target_gateway::Serve(const http_request& aRequest,
                      const std::shared_ptr<responder>& aResponder)
{
  auto call = ReadCall(aRequest.headers);
  const bool probe = aRequest.target == kProbePath;
  auto request = probe ? std::nullopt : ParseRequest(aRequest.body.Text());
  if (!call || (!probe && !request)) {
    Log(log_level::Error, "gateway_message_unreadable");
    SendError(mLoop, *aResponder, gateway_error::Malformed);
    return;
  }
  if (mStopping || mTargets.CutOff() || !mTargets.OrdersRead()) {
    SendError(mLoop, *aResponder, gateway_error::CutOff);
    return;
  }
  // A message that was held up on its way may belong to a caller who is gone.
  const milliseconds transit(ClockMs(mLoop) - call->sentAt.value_or(0));
  if (!call->sentAt || transit >= call->options.connectTimeout ||
      transit <= -call->options.connectTimeout) {
    SendError(mLoop, *aResponder, gateway_error::Late);
    return;
  }
  call->options.connectTimeout -= std::max(transit, milliseconds(0));
  if (probe) {
    mTargets.ProbeDirectly(
      call->target,
      call->options.connectTimeout,
      [&loop = mLoop, aResponder](std::optional<exchange_failure> aFailure) {
        if (aFailure) {
          SendError(loop, *aResponder, ErrorOf(*aFailure));
          return;
        }
        http_response response;
        response.status = 204;
        response.headers.Add(kClockHeader, std::to_string(ClockMs(loop)));
        aResponder->Send(std::move(response));
      });
    return;
  }
  call->options.directOnly = true;
  const bool keepsLength = request->method != "HEAD";
  const auto exchange =
    mTargets.Send(call->target,
                  std::move(*request),
                  call->options,
                  std::make_shared<passage>(mLoop, aResponder, keepsLength));
  aResponder->OnDisconnect([exchange] { exchange->Cancel(); });
}

} // namespace arbutusferry::node
