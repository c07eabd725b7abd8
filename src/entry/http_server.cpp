#include "entry/http_server.hpp"

#include "arbutusferry/logging.hpp"
#include "entry/thread_pool.hpp"
#include "exchange/socket_stream.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <linux/filter.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace arbutusferry {

namespace {

/// Limits in time and bytes for reading what the caller still sends after the
/// response. Closing a socket with unread data makes the kernel send a reset,
/// which can discard the response in transit.
constexpr duration kLingerTime = std::chrono::milliseconds(500);
constexpr std::size_t kLingerBytes = 16U << 20U;

/// Queued 503 responses; beyond them the accepting thread sends the response
/// itself.
constexpr std::size_t kMaxRefusals = 128;

/// Backlog of the listening socket; cpp-httplib requests only 5.
constexpr int kBacklog = 512;

/// Longest time for which a stopping server keeps idle connections open.
constexpr duration kDrainTime = std::chrono::seconds(2);
constexpr std::chrono::milliseconds kDrainPoll{ 10 };
/// Consecutive checks that must find no connection: a connection that is being
/// accepted is briefly in neither the backlog nor the count.
constexpr int kDrainChecks = 5;

/// State of the connection that the current thread serves.
struct connection_state
{
  bool mustClose = false;
  std::string problem; ///< Why the request head is rejected; empty if valid.
};

thread_local connection_state* gConnection = nullptr;
thread_local bool gRefusing = false;

/// Serves connections on a bounded thread pool and rejects those beyond its
/// limits.
class connection_queue final : public httplib::TaskQueue
{
public:
  /// @param aOpen Counts accepted connections that have not ended.
  connection_queue(const http_limits& aLimits, std::atomic<int>& aOpen)
    : mOpen(aOpen)
    , mServing(aLimits.maxConnections, aLimits.maxWaiting)
    , mRefusing(1, kMaxRefusals)
  {
  }

  void enqueue(std::function<void()> aAccepted) override
  {
    ++mOpen;
    std::function<void()> connection = [this, aAccepted] {
      aAccepted();
      --mOpen;
    };
    if (mServing.Run(connection)) {
      return;
    }
    std::function<void()> refusal = [connection] {
      gRefusing = true;
      connection();
      gRefusing = false;
    };
    if (!mRefusing.Run(refusal)) {
      refusal();
    }
  }

  void shutdown() override
  {
    mServing.Stop();
    mRefusing.Stop();
  }

private:
  std::atomic<int>& mOpen;
  thread_pool mServing;
  thread_pool mRefusing;
};

bool
IsNumber(const std::string& aText)
{
  return !aText.empty() && aText.size() <= 15 &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aDigit) {
           return std::isdigit(aDigit) != 0;
         });
}

bool
HasControlCharacter(const std::string& aText)
{
  return std::any_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return (aByte < ' ' && aByte != '\t') || aByte == 0x7f;
  });
}

/// @return Error in the framing of a request; empty if there is none.
/// cpp-httplib parses a malformed length as 0 and takes the body for the next
/// request. Behind a shared proxy, a caller could prepend bytes to the request
/// of another one (request smuggling).
std::string
FramingProblem(const httplib::Request& aRequest)
{
  const std::size_t lengths = aRequest.get_header_value_count("Content-Length");
  const std::size_t encodings =
    aRequest.get_header_value_count("Transfer-Encoding");
  if (lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1)) {
    return "ambiguous length of the body";
  }
  if (lengths == 1 && !IsNumber(aRequest.get_header_value("Content-Length"))) {
    return "header Content-Length: expected a number";
  }
  if (encodings == 1 &&
      aRequest.get_header_value("Transfer-Encoding") != "chunked") {
    return "header Transfer-Encoding: expected chunked";
  }
  const std::string& method = aRequest.method;
  const bool takesBody = method == "POST" || method == "PUT" ||
                         method == "PATCH" || method == "DELETE";
  const bool hasBody =
    encodings == 1 ||
    (lengths == 1 && aRequest.get_header_value("Content-Length") != "0");
  if (hasBody && !takesBody) {
    return "method " + method + " takes no body";
  }
  // A DELETE may have no body. Without a length, cpp-httplib would read up to
  // the end of the connection, so `Handle` does not read then.
  if (takesBody && lengths + encodings == 0 && method != "DELETE") {
    return "header Content-Length: expected with method " + method;
  }
  if (aRequest.has_header("Content-Encoding")) {
    return "header Content-Encoding: expected none";
  }
  // cpp-httplib decodes percent escapes in header values, so an escaped line
  // break would inject a header into a forwarded request.
  const bool injected = HasControlCharacter(aRequest.target) ||
                        std::any_of(aRequest.headers.begin(),
                                    aRequest.headers.end(),
                                    [](const auto& aOne) {
                                      return HasControlCharacter(aOne.first) ||
                                             HasControlCharacter(aOne.second);
                                    });
  if (injected) {
    return "control characters in the request line or a header";
  }
  return {};
}

class listening_server final : public httplib::Server
{
public:
  listening_server(const http_limits& aLimits, const clock_source& aClock)
    : mLimits(aLimits)
    , mClock(aClock)
    , mWake(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
  {
  }

  ~listening_server() override
  {
    if (mWake >= 0) {
      ::close(mWake);
    }
  }

  void SetRefusal(std::string aRefusal) { mRefusal = std::move(aRefusal); }

  void RaiseBacklog() { ::listen(svr_sock_, kBacklog); }

  [[nodiscard]] std::atomic<int>& Open() noexcept { return mOpen; }

  /// Stops taking new connections and serves those that the kernel has
  /// accepted: closing the listening socket at once would reset connections
  /// whose request was already sent. Each response closes its connection.
  /// Returns when all connections have ended, or after `kDrainTime`.
  void Drain()
  {
    mDraining = true;
    RefuseConnects();
    const time_point end = mClock.Now() + kDrainTime;
    int idleChecks = 0;
    while (idleChecks < kDrainChecks && mClock.Now() < end) {
      pollfd backlog{ svr_sock_, POLLIN, 0 };
      const bool empty = ::poll(&backlog, 1, 0) == 0;
      idleChecks = empty && mOpen == 0 ? idleChecks + 1 : 0;
      std::this_thread::sleep_for(kDrainPoll);
    }
  }

  void WakeIdleConnections()
  {
    mStopping = true;
    const std::uint64_t one = 1;
    if (::write(mWake, &one, sizeof(one)) < 0) {
      Log(log_level::Warning, "wake_failed");
    }
  }

private:
  /// Makes the kernel drop connection requests (segments with SYN), so that the
  /// backlog only shrinks. Callers retry and are refused once the socket is
  /// closed.
  void RefuseConnects()
  {
    constexpr std::uint32_t kFlagsOffset = 13;
    constexpr std::uint32_t kSynFlag = 0x02;
    constexpr std::uint32_t kWholePacket = 0xffffffff;
    std::array<sock_filter, 4> code{ {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSynFlag, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, kWholePacket),
    } };
    const sock_fprog program{ code.size(), code.data() };
    if (::setsockopt(
          svr_sock_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) !=
        0) {
      Log(log_level::Warning, "refuse_connects_failed");
    }
  }

  bool process_and_close_socket(socket_t aSocket) override
  {
    socket_stream stream(aSocket, mClock);
    if (gRefusing) {
      stream.SetDeadline(mClock.Now() + kLingerTime,
                         mClock.Now() + kLingerTime);
      stream.write(mRefusal.data(), mRefusal.size());
    } else {
      ServeConnection(stream);
    }
    Linger(aSocket, stream);
    return true;
  }

  void ServeConnection(socket_stream& aStream)
  {
    connection_state state;
    gConnection = &state;
    aStream.SetWriteStall(mLimits.writeStallTimeout);
    bool open = true;
    while (open && !mStopping &&
           aStream.WaitReadable(mLimits.idleTimeout, mWake)) {
      const time_point start = mClock.Now();
      aStream.SetDeadline(start + mLimits.headTimeout, time_point::max());
      aStream.SetReadBudget(mLimits.maxHeadBytes);
      const std::size_t written = aStream.Written();
      bool closed = false;
      const bool served = process_request(
        aStream, mStopping, closed, [&](httplib::Request& aRequest) {
          aStream.SetDeadline(mClock.Now() + mLimits.bodyTimeout,
                              time_point::max());
          // Leaves room for the framing of a body in small chunks.
          aStream.SetReadBudget(mLimits.maxBodyBytes * 2 + 65'536);
          PrepareRequest(state, aRequest);
          if (mDraining && !state.mustClose) {
            state.mustClose = true;
            aRequest.headers.emplace("Connection", "close");
          }
        });
      if (!served && aStream.Written() == written) {
        WriteHeadError(aStream);
      }
      open = served && !closed && !state.mustClose;
    }
    gConnection = nullptr;
  }

  static void PrepareRequest(connection_state& aState,
                             httplib::Request& aRequest)
  {
    aState.problem = FramingProblem(aRequest);
    if (!aState.problem.empty()) {
      aState.mustClose = true;
      aRequest.headers.emplace("Connection", "close");
    }
    // Otherwise cpp-httplib would compress responses, split them into ranges
    // and parse multipart bodies instead of passing them on.
    aRequest.headers.erase("Accept-Encoding");
    aRequest.ranges.clear();
    const auto type = aRequest.headers.find("Content-Type");
    if (type != aRequest.headers.end() &&
        type->second.starts_with("multipart/form-data")) {
      aRequest.headers.emplace(kMultipartType, type->second);
      type->second = "application/octet-stream";
    }
  }

  void WriteHeadError(socket_stream& aStream) const
  {
    if (aStream.OverBudget()) {
      aStream.write(mHeadTooLarge.data(), mHeadTooLarge.size());
    } else if (aStream.TimedOut()) {
      aStream.write(mHeadTooSlow.data(), mHeadTooSlow.size());
    }
  }

  void Linger(socket_t aSocket, socket_stream& aStream) const
  {
    ::shutdown(aSocket, SHUT_WR);
    aStream.SetDeadline(mClock.Now() + kLingerTime, time_point::max());
    aStream.SetReadBudget(kLingerBytes);
    std::array<char, 4096> rest{};
    while (!mStopping && aStream.read(rest.data(), rest.size()) > 0) {
    }
    httplib::detail::close_socket(aSocket);
  }

public:
  static constexpr const char* kMultipartType = "X-Internal-Multipart-Type";

  void SetHeadErrors(std::string aTooLarge, std::string aTooSlow)
  {
    mHeadTooLarge = std::move(aTooLarge);
    mHeadTooSlow = std::move(aTooSlow);
  }

private:
  http_limits mLimits;
  const clock_source& mClock;
  int mWake;
  std::atomic<bool> mStopping{ false };
  std::atomic<bool> mDraining{ false };
  std::atomic<int> mOpen{ 0 };
  std::string mRefusal;
  std::string mHeadTooLarge;
  std::string mHeadTooSlow;
};

std::string
SerializeResponse(const http_response& aResponse, const std::string& aReason)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aResponse.status) + " " + aReason + "\r\n";
  for (const auto& [name, value] : aResponse.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Type: " + aResponse.contentType +
          "\r\nContent-Length: " + std::to_string(aResponse.body.size()) +
          "\r\nConnection: close\r\n\r\n";
  return text + aResponse.body;
}

class http_server_impl final : public http_server
{
public:
  http_server_impl(const http_limits& aLimits,
                   const clock_source& aClock,
                   http_handler aHandler,
                   http_error_handler aErrors)
    : mLimits(aLimits)
    , mServer(aLimits, aClock)
    , mHandler(std::move(aHandler))
    , mErrors(std::move(aErrors))
  {
    mServer.SetRefusal(SerializeResponse(mErrors(503, "too many connections"),
                                         "Service Unavailable"));
    mServer.SetHeadErrors(
      SerializeResponse(mErrors(431, "the request head is too large"),
                        "Request Header Fields Too Large"),
      SerializeResponse(
        mErrors(408, "the request head was not received in time"),
        "Request Timeout"));
    mServer.new_task_queue = [this] {
      return new connection_queue(mLimits, mServer.Open());
    };
    mServer.set_tcp_nodelay(true);
    // By default cpp-httplib also sets SO_REUSEPORT, which lets two processes
    // share a port and its connections without an error.
    mServer.set_socket_options([](socket_t aSocket) {
      const int yes = 1;
      ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    });
    mServer.set_payload_max_length(mLimits.maxBodyBytes);
    RegisterHandlers();
  }

  result<std::string> Bind(const std::string& aAddress) override;
  void Serve() override { mServer.listen_after_bind(); }

  void Stop() override
  {
    mServer.Drain();
    mServer.WakeIdleConnections();
    mServer.stop();
  }

private:
  void RegisterHandlers();
  void Handle(const httplib::Request& aRequest,
              const httplib::ContentReader* aReader,
              httplib::Response& aResponse);
  static void FillResponse(http_response aFrom, httplib::Response& aTo);

  http_limits mLimits;
  listening_server mServer;
  http_handler mHandler;
  http_error_handler mErrors;
};

result<std::string>
http_server_impl::Bind(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  const std::string host = aAddress.substr(0, colon);
  const std::string portText =
    colon == std::string::npos ? "" : aAddress.substr(colon + 1);
  if (!IsNumber(portText) || portText.size() > 5 ||
      std::stoi(portText) > 65'535) {
    return MakeError(error_code::InvalidSettings,
                     "bind",
                     aAddress,
                     "field \"listen\": expected IP:port");
  }
  int port = std::stoi(portText);
  const bool bound = port == 0 ? (port = mServer.bind_to_any_port(host)) > 0
                               : mServer.bind_to_port(host, port);
  if (!bound) {
    return MakeError(error_code::InvalidSettings,
                     "bind",
                     aAddress,
                     "field \"listen\": expected a free address of this host");
  }
  mServer.RaiseBacklog();
  return host + ":" + std::to_string(port);
}

void
http_server_impl::RegisterHandlers()
{
  const auto withoutBody = [this](const httplib::Request& aRequest,
                                  httplib::Response& aResponse) {
    Handle(aRequest, nullptr, aResponse);
  };
  const auto withBody = [this](const httplib::Request& aRequest,
                               httplib::Response& aResponse,
                               const httplib::ContentReader& aReader) {
    Handle(aRequest, &aReader, aResponse);
  };
  const char* anyPath = R"([\s\S]*)";
  mServer.set_pre_routing_handler(
    [this](const httplib::Request&, httplib::Response& aResponse) {
      if (gConnection == nullptr || gConnection->problem.empty()) {
        return httplib::Server::HandlerResponse::Unhandled;
      }
      FillResponse(mErrors(400, gConnection->problem), aResponse);
      return httplib::Server::HandlerResponse::Handled;
    });
  mServer.Get(anyPath, withoutBody);
  mServer.Options(anyPath, withoutBody);
  mServer.Post(anyPath, withBody);
  mServer.Put(anyPath, withBody);
  mServer.Patch(anyPath, withBody);
  mServer.Delete(anyPath, withBody);
  // Called for every status from 400 up; only responses that cpp-httplib made
  // itself lack the outcome header.
  mServer.set_error_handler(
    [this](const httplib::Request&, httplib::Response& aResponse) {
      if (!aResponse.has_header(kOutcomeHeader)) {
        if (gConnection != nullptr) {
          gConnection->mustClose = true;
        }
        FillResponse(mErrors(aResponse.status, "malformed request"), aResponse);
      }
    });
  mServer.set_exception_handler([this](const httplib::Request&,
                                       httplib::Response& aResponse,
                                       const std::exception_ptr& aException) {
    try {
      std::rethrow_exception(aException);
    } catch (const std::exception& exception) {
      Log(log_level::Error,
          "handler_failed",
          { { "message", exception.what() } });
    } catch (...) {
      Log(log_level::Error, "handler_failed");
    }
    FillResponse(mErrors(500, "internal error"), aResponse);
  });
}

void
http_server_impl::Handle(const httplib::Request& aRequest,
                         const httplib::ContentReader* aReader,
                         httplib::Response& aResponse)
{
  http_request request;
  request.method = aRequest.method;
  request.requestTarget = aRequest.target;
  request.path = aRequest.path;
  request.remoteIp = aRequest.remote_addr;
  const std::string multipart =
    aRequest.get_header_value(listening_server::kMultipartType);
  for (const auto& [name, value] : aRequest.headers) {
    if (name == "Content-Type" && !multipart.empty()) {
      request.headers.emplace_back(name, multipart);
    } else if (name != listening_server::kMultipartType) {
      request.headers.emplace_back(name, value);
    }
  }
  const bool hasBody = aRequest.has_header("Content-Length") ||
                       aRequest.has_header("Transfer-Encoding");
  if (aReader != nullptr && hasBody) {
    bool tooLarge = false;
    const bool read = (*aReader)([&](const char* aData, std::size_t aSize) {
      tooLarge = request.body.size() + aSize > mLimits.maxBodyBytes;
      if (!tooLarge) {
        request.body.append(aData, aSize);
      }
      return !tooLarge;
    });
    if (!read) {
      gConnection->mustClose = true;
      tooLarge = tooLarge || aResponse.status == 413;
      FillResponse(mErrors(tooLarge ? 413 : 400,
                           tooLarge
                             ? "the body is larger than " +
                                 std::to_string(mLimits.maxBodyBytes) + " bytes"
                             : "the body is incomplete or malformed"),
                   aResponse);
      return;
    }
  }
  FillResponse(mHandler(request), aResponse);
}

void
http_server_impl::FillResponse(http_response aFrom, httplib::Response& aTo)
{
  aTo.status = aFrom.status;
  for (const auto& [name, value] : aFrom.headers) {
    aTo.set_header(name, value);
  }
  if (!aFrom.next) {
    aTo.set_content(aFrom.body, aFrom.contentType);
    if (aFrom.onEnd) {
      aFrom.onEnd(true);
    }
    return;
  }
  aTo.set_chunked_content_provider(
    aFrom.contentType,
    [next = std::move(aFrom.next)](std::size_t, httplib::DataSink& aSink) {
      std::string part;
      const bool more = next(part);
      if (!part.empty() && !aSink.write(part.data(), part.size())) {
        return false;
      }
      if (!more) {
        aSink.done();
        return true;
      }
      return aSink.is_writable();
    },
    [ended = std::move(aFrom.onEnd)](bool aSuccess) {
      if (ended) {
        ended(aSuccess);
      }
    });
}

} // namespace

std::unique_ptr<http_server>
MakeHttpServer(const http_limits& aLimits,
               const clock_source& aClock,
               http_handler aHandler,
               http_error_handler aErrors)
{
  return std::make_unique<http_server_impl>(
    aLimits, aClock, std::move(aHandler), std::move(aErrors));
}

} // namespace arbutusferry
