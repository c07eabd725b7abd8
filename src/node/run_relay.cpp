#include "arbutusferry/node/run_relay.hpp"

#include "arbutusferry/enum_names.hpp"
#include "arbutusferry/logging.hpp"
#include "arbutusferry/node/request_text.hpp"

#include <algorithm>
#include <vector>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kRunPath = "/runs/";
constexpr const char* kTargetHeader = "Ferry-Target";
/// Zone of the sampler.
constexpr const char* kZoneHeader = "Ferry-Target-Zone";
/// By what right the run starts; absent from leaders that know of no cold
/// targets.
constexpr const char* kStartHeader = "Ferry-Start";
/// Regions that the run may reach; absent if all.
constexpr const char* kHomesHeader = "Ferry-Home-Regions";
constexpr const char* kFenceHeader = "Ferry-Fence";
constexpr const char* kErrorHeader = "Ferry-Relay-Error";
constexpr const char* kSentAtHeader = "Ferry-Sent-At";
constexpr const char* kClockHeader = "Ferry-Time";
/// Limit of the sampler in requests per second, with `relay_error::Limited`.
constexpr const char* kLimitHeader = "Ferry-Limit";

/// Burst of a relayed sampler: above the leader's, whose runs may arrive
/// unevenly.
constexpr int kRelayLimitBurst = kLimitBurst + 1;

/// A request to start a run that was in transit for longer is refused, as its
/// batch may have ended meanwhile. So is one without a sending time, or with
/// one that is further ahead of this node's clock: the leader's estimate of the
/// clock is wrong. Part of `kRunStartMargin` in ferry_node.cpp.
constexpr milliseconds kMaxTransitTime{ 1'000 };

/// The same for a start that was granted at a cold sampler, where late arrivals
/// add to the requests of a later second.
constexpr milliseconds kMaxColdTransitTime{ 250 };

/// Time for which a run goes on without a leader: a new one claims leadership
/// within about 3 s and then reads the journal.
constexpr milliseconds kOrphanRetention{ 5'000 };
/// Time for which a finished run is kept: the leader may be lost before it has
/// saved the result.
constexpr milliseconds kFinishedRetention{ 3'000 };
constexpr milliseconds kExpireInterval{ 500 };

std::int64_t
ClockMs(const event_loop& aLoop)
{
  return ToMilliseconds(aLoop.Now().time_since_epoch());
}

start_right
RightOf(const http_request& aRequest)
{
  return ParseEnum<start_right>(aRequest.headers.Get(kStartHeader))
    .value_or(start_right::Warm);
}

void
SendError(const event_loop& aLoop,
          responder& aResponder,
          relay_error aError,
          const std::optional<request_limit>& aLimit = std::nullopt)
{
  http_response response;
  response.status = 502;
  response.headers.Add(kErrorHeader, std::string(EnumName(aError)));
  response.headers.Add(kClockHeader, std::to_string(ClockMs(aLoop)));
  if (aLimit) {
    response.headers.Add(kLimitHeader, std::to_string(aLimit->perSecond));
  }
  aResponder.Send(std::move(response));
}

http_request
MakeRunRequest(const char* aMethod, const std::string& aRun)
{
  http_request request;
  request.method = aMethod;
  request.target.append(kRunPath).append(aRun);
  return request;
}

} // namespace

http_request
MakeRelayedRun(const std::string& aRun,
               std::uint64_t aFence,
               std::optional<std::int64_t> aSentAt,
               const socket_address& aTarget,
               const http_request& aRequest,
               const std::string& aZone,
               start_right aRight,
               const home_regions& aHomes)
{
  http_request request = MakeRunRequest("POST", aRun);
  if (!aZone.empty()) {
    request.headers.Add(kZoneHeader, aZone);
  }
  if (aRight != start_right::Any) {
    request.headers.Add(kStartHeader, std::string(EnumName(aRight)));
  }
  if (aHomes.Restricted()) {
    request.headers.Add(kHomesHeader, aHomes.Text());
  }
  if (aSentAt) {
    request.headers.Add(kSentAtHeader, std::to_string(*aSentAt));
  }
  request.headers.Add(kTargetHeader, FormatAddress(aTarget));
  request.headers.Add(kFenceHeader, std::to_string(aFence));
  request.body = SerializeRequest(aRequest);
  return request;
}

http_request
MakeRelayedAttach(const std::string& aRun, std::uint64_t aFence)
{
  http_request request = MakeRunRequest("GET", aRun);
  request.headers.Add(kFenceHeader, std::to_string(aFence));
  return request;
}

http_request
MakeRelayedCancel(const std::string& aRun)
{
  return MakeRunRequest("DELETE", aRun);
}

std::optional<relay_error>
ReadRelayError(const header_list& aHeaders)
{
  const auto text = aHeaders.Find(kErrorHeader);
  if (!text) {
    return std::nullopt;
  }
  return ParseEnum<relay_error>(*text).value_or(relay_error::Broken);
}

limit_notice
ReadRelayLimit(const header_list& aHeaders)
{
  const auto perSecond = ParseDecimal(aHeaders.Get(kLimitHeader));
  return { perSecond.has_value(), perSecond };
}

std::optional<std::int64_t>
ReadRelayClock(const header_list& aHeaders)
{
  return ParseInteger(aHeaders.Get(kClockHeader));
}

/// One relayed run: the response so far and the leaders that read it.
class run_relay::run final
  : public response_sink
  , public std::enable_shared_from_this<run>
{
public:
  run(event_loop& aLoop,
      const target_protocol& aProtocol,
      std::string aTarget,
      std::shared_ptr<limit_table> aLimits,
      std::function<void()> aLeaderDisconnected)
    : mLoop(aLoop)
    , mProtocol(aProtocol)
    , mTarget(std::move(aTarget))
    , mLimits(std::move(aLimits))
    , mStarted(aLoop.Now())
    , mLeaderDisconnected(std::move(aLeaderDisconnected))
    , mLastChange(aLoop.Now())
  {
  }

  void Start(http_client& aClient,
             const socket_address& aTarget,
             std::string aZone,
             start_right aRight,
             home_regions aHomes,
             http_request aRequest)
  {
    exchange_options options;
    options.connectTimeout =
      aRight == start_right::Granted ? kColdConnectTimeout : kRunConnectTimeout;
    options.start = aRight;
    options.readTimeout = kRunIdleTimeout;
    options.echoHeader = mProtocol.EchoHeader();
    options.targetZone = std::move(aZone);
    options.homes = std::move(aHomes);
    mExchange =
      aClient.Send(aTarget, std::move(aRequest), options, shared_from_this());
  }

  void Attach(std::shared_ptr<responder> aReader)
  {
    if (mError) {
      SendError(mLoop, *aReader, *mError);
      return;
    }
    if (mStatus != 0) {
      BeginResponse(*aReader);
      if (!mBody.empty()) {
        aReader->Write(mBody);
      }
    }
    if (mEnded) {
      aReader->End();
      return;
    }
    const std::weak_ptr<responder> weak = aReader;
    aReader->OnDisconnect([self = weak_from_this(), weak] {
      const auto alive = self.lock();
      if (alive) {
        alive->RemoveReader(weak.lock());
      }
    });
    mReaders.push_back(std::move(aReader));
  }

  /// Cancels the request to the sampler and disconnects the readers.
  void Cancel()
  {
    if (const auto exchange = std::exchange(mExchange, nullptr)) {
      exchange->Cancel();
    }
    for (const auto& reader : std::exchange(mReaders, {})) {
      reader->Abort();
    }
  }

  [[nodiscard]] bool Expired(time_point aNow) const
  {
    const milliseconds retention =
      mEnded || mError ? kFinishedRetention : kOrphanRetention;
    return mReaders.empty() && aNow - mLastChange >= retention;
  }

  void OnHead(int aStatus, const header_list& aHeaders) override
  {
    mStatus = aStatus;
    NoteLimit(aHeaders);
    for (const auto& [name, value] : aHeaders) {
      // The connection to the leader has its own framing.
      if (!EqualIgnoringCase(name, "Connection") &&
          !EqualIgnoringCase(name, "Keep-Alive") &&
          !EqualIgnoringCase(name, "Transfer-Encoding") &&
          !EqualIgnoringCase(name, "Content-Length")) {
        mHeaders.Add(name, value);
      }
    }
    RemoveNodeHeaders(mHeaders);
    for (const auto& reader : mReaders) {
      BeginResponse(*reader);
    }
  }

  void OnBody(std::string_view aPart) override
  {
    mBody += aPart;
    for (const auto& reader : mReaders) {
      reader->Write(aPart);
    }
  }

  void OnEnd() override
  {
    mEnded = true;
    mLastChange = mLoop.Now();
    for (const auto& reader : std::exchange(mReaders, {})) {
      reader->End();
    }
  }

  void OnFailure(exchange_failure aFailure) override
  {
    mError =
      NothingSent(aFailure) ? relay_error::Unreachable : relay_error::Broken;
    mLastChange = mLoop.Now();
    for (const auto& reader : std::exchange(mReaders, {})) {
      if (mStatus == 0) {
        SendError(mLoop, *reader, *mError);
      } else {
        reader->Abort();
      }
    }
  }

private:
  void NoteLimit(const header_list& aHeaders)
  {
    const response_class verdict =
      mProtocol.ClassifyResponse(mStatus, aHeaders);
    const limit_notice notice = mProtocol.ReadLimit(aHeaders);
    const auto known = mLimits->find(mTarget);
    if (verdict == response_class::WrongTarget ||
        (known == mLimits->end() && !notice.perSecond)) {
      return;
    }
    target_limit& limit =
      mLimits->try_emplace(mTarget, kRelayLimitBurst).first->second;
    limit.Note(
      notice, verdict == response_class::Genuine, mStarted, mLoop.Now());
    if (!limit.Named()) {
      mLimits->erase(mTarget);
    }
  }

  void BeginResponse(responder& aReader) const
  {
    header_list headers = mHeaders;
    headers.Add(kClockHeader, std::to_string(ClockMs(mLoop)));
    aReader.Begin(mStatus, headers);
  }

  void RemoveReader(const std::shared_ptr<responder>& aReader)
  {
    if (std::erase(mReaders, aReader) == 0) {
      return;
    }
    mLastChange = mLoop.Now();
    mLeaderDisconnected();
  }

  event_loop& mLoop;
  const target_protocol& mProtocol;
  std::string mTarget; ///< Address of the sampler.
  std::shared_ptr<limit_table> mLimits;
  time_point mStarted;
  std::function<void()> mLeaderDisconnected;
  std::shared_ptr<http_exchange> mExchange;
  int mStatus = 0; ///< 0 until the head of the response.
  header_list mHeaders;
  std::string mBody;
  bool mEnded = false;
  std::optional<relay_error> mError;
  std::vector<std::shared_ptr<responder>> mReaders;
  time_point mLastChange; ///< End, or disconnection of the last reader.
};

run_relay::run_relay(parts aParts)
  : mParts(std::move(aParts))
  , mExpiryTimer(mParts.loop, kExpireInterval, [this] { Expire(); })
{
}

run_relay::~run_relay()
{
  for (const auto& [id, entry] : std::exchange(mRuns, {})) {
    entry->Cancel();
  }
}

void
run_relay::Handle(http_request aRequest, std::shared_ptr<responder> aResponder)
{
  if (!std::string_view(aRequest.target).starts_with(kRunPath)) {
    mParts.fallback.Handle(std::move(aRequest), std::move(aResponder));
    return;
  }
  const std::string id = aRequest.target.substr(kRunPath.size());
  const auto found = mRuns.find(id);
  if (aRequest.method == "DELETE") {
    if (found != mRuns.end()) {
      const auto cancelled = mRuns.extract(found);
      cancelled.mapped()->Cancel();
    }
    http_response done;
    done.status = 204;
    aResponder->Send(std::move(done));
    return;
  }
  const auto fence =
    ParseInteger(aRequest.headers.Get(kFenceHeader)).value_or(0);
  if (static_cast<std::uint64_t>(fence) < mParts.highestFence()) {
    Log(log_level::Warning,
        "run_refused",
        { { "run", id },
          { "fence", std::to_string(fence) },
          { "highest", std::to_string(mParts.highestFence()) } });
    SendError(mParts.loop, *aResponder, relay_error::Stale);
  } else if (found != mRuns.end()) {
    found->second->Attach(std::move(aResponder));
  } else if (aRequest.method == "POST") {
    const auto sentAt = ParseInteger(aRequest.headers.Get(kSentAtHeader));
    const std::int64_t transit = ClockMs(mParts.loop) - sentAt.value_or(0);
    const milliseconds longest = RightOf(aRequest) == start_right::Granted
                                   ? kMaxColdTransitTime
                                   : kMaxTransitTime;
    if (!sentAt || transit < -longest.count() || transit > longest.count()) {
      SendError(mParts.loop, *aResponder, relay_error::Late);
      return;
    }
    Start(id, aRequest, std::move(aResponder));
  } else {
    SendError(mParts.loop, *aResponder, relay_error::Unknown);
  }
}

void
run_relay::Start(const std::string& aRun,
                 const http_request& aRequest,
                 std::shared_ptr<responder> aResponder)
{
  const auto target = ParseAddress(aRequest.headers.Get(kTargetHeader));
  auto request = ParseRequest(aRequest.body.Text());
  if (!target || !request) {
    Log(log_level::Error, "run_unreadable", { { "run", aRun } });
    SendError(mParts.loop, *aResponder, relay_error::Unknown);
    return;
  }
  if (!mParts.mayStart()) {
    // Without a response the leader avoids this node, not the sampler.
    Log(log_level::Info, "run_before_orders", { { "run", aRun } });
    aResponder->Abort();
    return;
  }
  const time_point now = mParts.loop.Now();
  const std::string address = FormatAddress(*target);
  const auto limit = mLimits->find(address);
  if (limit != mLimits->end() && !limit->second.Reserve(now, now)) {
    SendError(
      mParts.loop, *aResponder, relay_error::Limited, limit->second.Named());
    return;
  }
  auto started = std::make_shared<run>(
    mParts.loop, mParts.protocol, address, mLimits, mParts.leaderDisconnected);
  mRuns[aRun] = started;
  started->Start(mParts.client,
                 *target,
                 std::string(aRequest.headers.Get(kZoneHeader)),
                 RightOf(aRequest),
                 home_regions::FromText(aRequest.headers.Find(kHomesHeader)),
                 std::move(*request));
  started->Attach(std::move(aResponder));
}

void
run_relay::Expire()
{
  const time_point now = mParts.loop.Now();
  std::vector<std::shared_ptr<run>> expired;
  std::erase_if(mRuns, [&](const auto& aEntry) {
    if (!aEntry.second->Expired(now)) {
      return false;
    }
    expired.push_back(aEntry.second);
    return true;
  });
  for (const auto& entry : expired) {
    entry->Cancel();
  }
}

} // namespace arbutusferry::node
