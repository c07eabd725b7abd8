#include "arbutusferry/http_status.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/upstream.hpp"
#include "exchange/event_parser.hpp"
#include "exchange/socket_stream.hpp"

#include <algorithm>
#include <cctype>
#include <map>
#include <sys/socket.h>

namespace arbutusferry {

namespace {

/// Maximum size of status line and headers; targets send a few hundred bytes.
constexpr std::size_t kMaxHeadBytes = 65'536;

/// Splits "IP:port".
/// @return False if there is no port.
bool
SplitAddress(const std::string& aAddress, std::string& aHost, int& aPort)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos || colon == 0 || aAddress.size() - colon > 6 ||
      aAddress.size() - colon < 2) {
    return false;
  }
  aPort = 0;
  for (std::size_t i = colon + 1; i < aAddress.size(); ++i) {
    if (std::isdigit(static_cast<unsigned char>(aAddress[i])) == 0) {
      return false;
    }
    aPort = aPort * 10 + (aAddress[i] - '0');
  }
  aHost = aAddress.substr(0, colon);
  return aPort > 0 && aPort < 65'536;
}

/// Client connection whose reads and writes go through `socket_stream`.
class connection final : public httplib::ClientImpl
{
public:
  connection(const std::string& aHost, int aPort, const clock_source& aClock)
    : httplib::ClientImpl(aHost, aPort)
    , mClock(aClock)
  {
    set_url_encode(false);
    set_decompress(false);
    set_tcp_nodelay(true);
  }

  void BeginExchange(time_point aDeadline, exchange_control& aControl)
  {
    mDeadline = aDeadline;
    mControl = &aControl;
    mWritten = 0;
    mTimedOut = false;
    mCancelled = false;
  }

  /// Replaces the read limit of the head once the head has arrived.
  void SetBodyBudget(std::size_t aBytes)
  {
    if (mStream != nullptr) {
      mStream->SetReadBudget(aBytes);
    }
  }

  [[nodiscard]] bool AnythingWritten() const noexcept { return mWritten > 0; }
  [[nodiscard]] bool TimedOut() const noexcept { return mTimedOut; }
  [[nodiscard]] bool Cancelled() const noexcept { return mCancelled; }

private:
  bool process_socket(
    const Socket& aSocket,
    std::function<bool(httplib::Stream& aStream)> aCallback) override
  {
    const socket_t descriptor = aSocket.sock;
    if (!mControl->Attach(
          [descriptor] { ::shutdown(descriptor, SHUT_RDWR); })) {
      mCancelled = true;
      return false;
    }
    socket_stream stream(descriptor, mClock);
    stream.SetDeadline(mDeadline, mDeadline);
    stream.SetReadBudget(kMaxHeadBytes);
    mStream = &stream;
    const bool succeeded = aCallback(stream);
    mStream = nullptr;
    mControl->Detach();
    mCancelled = mControl->Cancelled();
    mWritten = stream.Written();
    mTimedOut = stream.TimedOut();
    return succeeded;
  }

  const clock_source& mClock;
  time_point mDeadline{};
  socket_stream* mStream = nullptr;
  exchange_control* mControl = nullptr;
  std::size_t mWritten = 0;
  bool mTimedOut = false;
  bool mCancelled = false;
};

/// Validates one answer as it arrives.
class answer_validator
{
public:
  answer_validator(const upstream_request& aRequest,
                   const event_handler& aOnEvent,
                   std::size_t aMaxBytes)
    : mRequest(aRequest)
    , mOnEvent(aOnEvent)
    , mMaxBytes(aMaxBytes)
  {
  }

  bool OnHead(const httplib::Response& aResponse)
  {
    mStatus = aResponse.status;
    if (!IsFinalHttpStatus(mStatus)) {
      return Fail("the status " + std::to_string(mStatus) +
                  " is not that of a final answer");
    }
    for (const auto& [name, value] : aResponse.headers) {
      mHeaders.emplace_back(name, value);
    }
    if (aResponse.get_header_value_count(kExchangeIdHeader) != 1 ||
        aResponse.get_header_value(kExchangeIdHeader) != mRequest.exchangeId) {
      return Fail("X-Request-Id is missing, repeated or of another exchange");
    }
    mIsEventStream = mRequest.events && mStatus == 200;
    const std::string length = aResponse.get_header_value("Content-Length");
    const bool chunked =
      aResponse.get_header_value("Transfer-Encoding") == "chunked";
    if (aResponse.get_header_value_count("Content-Length") > 1 ||
        (chunked && !length.empty())) {
      return Fail(
        "repeated Content-Length, or Content-Length with chunked encoding");
    }
    if (!length.empty()) {
      if (length.size() > 15 ||
          !std::all_of(length.begin(), length.end(), [](unsigned char aDigit) {
            return std::isdigit(aDigit) != 0;
          })) {
        return Fail("Content-Length is not a valid number");
      }
      mContentLength = std::stoull(length);
    }
    const bool hasNoBody =
      mRequest.method == "HEAD" || mStatus == 204 || mStatus == 304;
    if (!mIsEventStream && !hasNoBody && !chunked && !mContentLength) {
      return Fail("the answer has neither Content-Length nor chunked encoding");
    }
    if (hasNoBody) {
      mContentLength.reset();
    }
    return true;
  }

  bool OnBody(std::string_view aBytes)
  {
    if (mIsEventStream) {
      return mParser.Feed(aBytes, [this](const std::string& aData) {
        return OnEvent(aData);
      }) || Fail("an event exceeds the size limit");
    }
    if (mBody.size() + aBytes.size() > mMaxBytes) {
      return Fail("the answer is larger than " + std::to_string(mMaxBytes) +
                  " bytes");
    }
    mBody += aBytes;
    return true;
  }

  /// @param aTransferred Whether the client read the answer to its end.
  /// @return True if the answer is complete.
  bool Complete(bool aTransferred)
  {
    if (mIsEventStream) {
      return mEndMarkerSeen ||
             (mProblem.empty() && Fail("the event stream has no end marker"));
    }
    if (!aTransferred) {
      return false;
    }
    return !mContentLength || mBody.size() == *mContentLength ||
           Fail("the body length differs from Content-Length");
  }

  void MoveTo(upstream_answer& aAnswer)
  {
    aAnswer.status = mStatus;
    aAnswer.headers = std::move(mHeaders);
    aAnswer.body = std::move(mBody);
    aAnswer.eventsDelivered = mEventsDelivered;
  }

  [[nodiscard]] const std::string& Problem() const noexcept { return mProblem; }
  [[nodiscard]] int Status() const noexcept { return mStatus; }

private:
  bool Fail(std::string aProblem)
  {
    if (mProblem.empty()) {
      mProblem = std::move(aProblem);
    }
    return false;
  }

  bool OnEvent(const std::string& aData)
  {
    if (mEndMarkerSeen) {
      return Fail("an event follows the end marker");
    }
    if (aData == "[DONE]") {
      mEndMarkerSeen = true;
      return true;
    }
    auto parsed = Capture([&] { return ParseJson(aData, "event"); });
    auto* value = std::get_if<0>(&parsed);
    if (value == nullptr || !value->isObject()) {
      return Fail("an event is not a JSON object");
    }
    if (!(*value)["id"].isString() ||
        (*value)["id"].asString() != mRequest.exchangeId) {
      return Fail("the id of an event is missing or of another exchange");
    }
    mEventsDelivered = true;
    return mOnEvent(*value) || Fail("the event handler cancelled the exchange");
  }

  const upstream_request& mRequest;
  const event_handler& mOnEvent;
  std::size_t mMaxBytes;
  int mStatus = 0;
  header_list mHeaders;
  std::optional<std::uint64_t> mContentLength;
  bool mIsEventStream = false;
  bool mEndMarkerSeen = false;
  bool mEventsDelivered = false;
  event_parser mParser;
  std::string mBody;
  std::string mProblem;
};

class http_upstream final : public upstream_transport
{
public:
  http_upstream(const upstream_options& aOptions, const clock_source& aClock)
    : mOptions(aOptions)
    , mClock(aClock)
  {
  }

  upstream_answer Exchange(const target_info& aTarget,
                           const upstream_request& aRequest,
                           const event_handler& aOnEvent,
                           exchange_control& aControl) override;

private:
  std::unique_ptr<connection> AcquireConnection(
    const target_info& aTarget,
    const upstream_request& aRequest);
  void KeepIdle(const std::string& aAddress,
                std::unique_ptr<connection> aConnection);

  upstream_options mOptions;
  const clock_source& mClock;
  std::mutex mMutex;
  std::map<std::string, std::vector<std::unique_ptr<connection>>>
    mIdleConnections;
};

std::unique_ptr<connection>
http_upstream::AcquireConnection(const target_info& aTarget,
                                 const upstream_request& aRequest)
{
  if (aRequest.idempotent) {
    const std::lock_guard lock(mMutex);
    const auto found = mIdleConnections.find(aTarget.address);
    if (found != mIdleConnections.end() && !found->second.empty()) {
      auto reused = std::move(found->second.back());
      found->second.pop_back();
      return reused;
    }
  }
  std::string host;
  int port = 0;
  if (!SplitAddress(aTarget.address, host, port)) {
    return nullptr;
  }
  auto created = std::make_unique<connection>(host, port, mClock);
  created->set_keep_alive(aRequest.idempotent);
  return created;
}

void
http_upstream::KeepIdle(const std::string& aAddress,
                        std::unique_ptr<connection> aConnection)
{
  const std::lock_guard lock(mMutex);
  auto& idle = mIdleConnections[aAddress];
  if (idle.size() < mOptions.maxIdlePerTarget) {
    idle.push_back(std::move(aConnection));
  }
}

upstream_answer
http_upstream::Exchange(const target_info& aTarget,
                        const upstream_request& aRequest,
                        const event_handler& aOnEvent,
                        exchange_control& aControl)
{
  upstream_answer answer;
  const auto fail =
    [&](outcome aOutcome, error_code aCode, std::string aMessage) {
      answer.result = aOutcome;
      answer.error =
        error_info{ aCode, "exchange", aTarget.address, std::move(aMessage) };
      return answer;
    };
  const duration remaining = aRequest.deadline - mClock.Now();
  if (remaining <= duration::zero()) {
    return fail(outcome::NotRun,
                error_code::Timeout,
                "the deadline passed before sending");
  }
  auto client = AcquireConnection(aTarget, aRequest);
  if (!client) {
    return fail(outcome::NotRun,
                error_code::Unreachable,
                "the address is not of the form IP:port");
  }
  client->set_connection_timeout(std::min(remaining, mOptions.connectTimeout));
  client->BeginExchange(aRequest.deadline, aControl);

  answer_validator validator(aRequest, aOnEvent, mOptions.maxAnswerBytes);
  httplib::Request request;
  request.method = aRequest.method;
  request.path = aRequest.path;
  request.body = aRequest.body;
  for (const auto& [name, value] : aRequest.headers) {
    request.set_header(name, value); // Skips values with line breaks.
  }
  request.headers.emplace(kExchangeIdHeader, aRequest.exchangeId);
  request.response_handler = [&](const httplib::Response& aResponse) {
    // The validator limits the body; its limit differs for event streams.
    client->SetBodyBudget(std::numeric_limits<std::size_t>::max());
    return validator.OnHead(aResponse);
  };
  request.content_receiver =
    [&](const char* aData, std::size_t aSize, std::uint64_t, std::uint64_t) {
      return validator.OnBody(std::string_view(aData, aSize));
    };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool transferred = client->send(request, response, error);
  const bool complete =
    validator.Status() != 0 && validator.Complete(transferred);
  if (complete) {
    validator.MoveTo(answer);
    answer.result = outcome::Answered;
    if (transferred && aRequest.idempotent &&
        FindHeader(answer.headers, "Connection") != "close") {
      KeepIdle(aTarget.address, std::move(client));
    }
    return answer;
  }
  validator.MoveTo(answer);
  answer.body.clear();
  if (!client->AnythingWritten()) {
    return fail(outcome::NotRun,
                error_code::Unreachable,
                aControl.Cancelled() ? "cancelled before sending"
                                     : httplib::to_string(error));
  }
  if (client->TimedOut()) {
    return fail(outcome::Unknown,
                error_code::Timeout,
                "the target did not answer in time");
  }
  if (!validator.Problem().empty()) {
    return fail(
      outcome::Unknown, error_code::BrokenExchange, validator.Problem());
  }
  return fail(outcome::Unknown,
              error_code::BrokenExchange,
              client->Cancelled()
                ? "cancelled"
                : "the connection ended during the exchange: " +
                    httplib::to_string(error));
}

} // namespace

void
exchange_control::Cancel()
{
  const std::lock_guard lock(mMutex);
  mCancelled = true;
  if (mAbort) {
    mAbort();
  }
}

bool
exchange_control::Cancelled() const
{
  const std::lock_guard lock(mMutex);
  return mCancelled;
}

bool
exchange_control::Attach(std::function<void()> aAbort)
{
  const std::lock_guard lock(mMutex);
  if (mCancelled) {
    return false;
  }
  mAbort = std::move(aAbort);
  return true;
}

void
exchange_control::Detach()
{
  const std::lock_guard lock(mMutex);
  mAbort = nullptr;
}

std::unique_ptr<upstream_transport>
MakeHttpTransport(const upstream_options& aOptions, const clock_source& aClock)
{
  return std::make_unique<http_upstream>(aOptions, aClock);
}

} // namespace arbutusferry
