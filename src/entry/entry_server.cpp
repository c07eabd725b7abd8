#include "arbutusferry/entry_server.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/logging.hpp"
#include "entry/duty_supervisor.hpp"
#include "entry/entry_context.hpp"
#include "entry/sync_loop.hpp"

#include <algorithm>
#include <thread>

namespace arbutusferry {

namespace {

/// Interval at which the dispatcher expires deadlines.
constexpr duration kTickInterval = std::chrono::milliseconds(50);

/// Threads for exchanges of streams and samples. Each waits for its target
/// most of the time; their number is bounded by the slots this entry holds.
constexpr std::size_t kExchangeThreads = 512;
constexpr std::size_t kMaxQueuedExchanges = 4096;

constexpr std::size_t kUsageQueueCapacity = 8192;
constexpr std::size_t kPermitSecretBytes = 32;
constexpr std::size_t kIdBytes = 6;

/// Retention of confirmed counters in seconds, so that a late event of an old
/// window adds to its counter instead of starting a new one.
constexpr unix_seconds kCounterRetention = 172'800;

/// Attempts to report the remaining usage before the process ends.
constexpr int kMaxFinalSyncs = 4;

std::string
MakeInstance(std::string aVm)
{
  std::replace(aVm.begin(), aVm.end(), '.', '-');
  return aVm + "-" + RandomHex(kIdBytes);
}

http_limits
MakeLimits(const entry_limits& aLimits)
{
  http_limits limits;
  limits.maxBodyBytes = static_cast<std::size_t>(aLimits.maxBodyBytes);
  limits.maxConnections = static_cast<std::size_t>(aLimits.maxConnections);
  return limits;
}

class entry_server_impl final : public entry_server
{
public:
  entry_server_impl(const entry_settings& aSettings, entry_parts aParts)
    : mContext(aSettings, std::move(aParts), MakeInstance(aSettings.vm))
    , mSync(MakeSync())
    , mHttp(MakeHttpServer(
        MakeLimits(aSettings.limits),
        *mContext.parts.clock,
        [this](const http_request& aRequest) { return Serve(aRequest); },
        [](int aStatus, const std::string& aMessage) {
          const error_code code = aStatus == 503 ? error_code::Overloaded
                                  : aStatus >= 500
                                    ? error_code::Internal
                                    : error_code::InvalidArgument;
          return ErrorResponse(aStatus,
                               aStatus == 500 ? outcome::Unknown
                                              : outcome::NotRun,
                               { code, "read request", "", aMessage });
        }))
  {
  }

  ~entry_server_impl() override { Shutdown(); }

  result<void> Start() override
  {
    BOOST_LEAF_ASSIGN(mContext.address, mHttp->Bind(mContext.settings.listen));
    mStarted = true;
    mServeThread = std::thread([this] { mHttp->Serve(); });
    mDuties.Start("sync",
                  [this](const std::stop_token& aStop) { mSync.Run(aStop); });
    mDuties.Start("tick",
                  [this](const std::stop_token& aStop) { RunTick(aStop); });
    mDuties.Start("usage",
                  [this](const std::stop_token& aStop) { RunUsage(aStop); });
    return {};
  }

  std::string Address() const override { return mContext.address; }
  std::string Instance() const override { return mContext.instance; }
  void Shutdown() override;

private:
  sync_loop MakeSync();
  http_response Serve(const http_request& aRequest);
  void RunTick(const std::stop_token& aStop);
  void RunUsage(const std::stop_token& aStop);

  entry_context mContext;
  sync_loop mSync;
  std::unique_ptr<http_server> mHttp;
  duty_supervisor mDuties;
  std::thread mServeThread;
  bool mStarted = false;
};

sync_loop
entry_server_impl::MakeSync()
{
  sync_parts parts;
  parts.clock = mContext.parts.clock.get();
  parts.view = &mContext.view;
  parts.work = mContext.parts.work.get();
  parts.environment = mContext.settings.environment;
  parts.controls = mContext.settings.control;
  parts.makeClient = mContext.parts.makeClient;
  parts.describe = [this] {
    entry_info self;
    self.instance = mContext.instance;
    self.zone = mContext.settings.zone;
    self.address = mContext.address;
    self.draining = mContext.draining;
    const std::lock_guard lock(mContext.permitMutex);
    self.adopted = mContext.permits.Adopted();
    return self;
  };
  parts.takeUsage = [this] { return mContext.usage.Unconfirmed(); };
  parts.confirmUsage = [this](const std::vector<usage_counter>& aCounters) {
    mContext.usage.Confirm(aCounters);
  };
  return sync_loop(std::move(parts));
}

http_response
entry_server_impl::Serve(const http_request& aRequest)
{
  {
    const std::lock_guard lock(mContext.activeRequestsMutex);
    ++mContext.activeRequests;
  }
  const auto endRequest = [this] {
    const std::lock_guard lock(mContext.activeRequestsMutex);
    --mContext.activeRequests;
    mContext.activeRequestsChanged.notify_all();
  };
  http_response response;
  try {
    response = HandleRequest(mContext, aRequest);
  } catch (...) {
    endRequest();
    throw;
  }
  // An entry that forwards a request checks the id of the response.
  std::string id = FindHeader(aRequest.headers, kExchangeIdHeader);
  if (id.empty() || id.size() > 128) {
    id = RandomHex(kIdBytes);
  }
  response.headers.emplace_back(kExchangeIdHeader, id);
  response.onEnd = [endRequest,
                    ended = std::move(response.onEnd)](bool aSuccess) {
    if (ended) {
      ended(aSuccess);
    }
    endRequest();
  };
  return response;
}

void
entry_server_impl::RunTick(const std::stop_token& aStop)
{
  while (!aStop.stop_requested()) {
    mContext.parts.work->Tick(mContext.Now());
    std::this_thread::sleep_for(kTickInterval);
  }
}

void
entry_server_impl::RunUsage(const std::stop_token& aStop)
{
  while (!aStop.stop_requested() || !mContext.usageEvents.Drained()) {
    if (const auto event = mContext.usageEvents.Pop(kTickInterval)) {
      mContext.usage.Add(*event);
    } else {
      const std::size_t dropped = mContext.usage.DropBefore(
        mContext.parts.clock->UnixNow() - kCounterRetention);
      if (dropped > 0) {
        mContext.parts.metrics->Count("arbutusferry_usage_late_dropped_total",
                                      {},
                                      static_cast<double>(dropped));
      }
      if (aStop.stop_requested()) {
        return;
      }
    }
  }
}

void
entry_server_impl::Shutdown()
{
  if (!mStarted) {
    return;
  }
  mStarted = false;
  mContext.draining = true;
  {
    std::unique_lock lock(mContext.activeRequestsMutex);
    mContext.activeRequestsChanged.wait(
      lock, [this] { return mContext.activeRequests == 0; });
  }
  HandOverPermits(mContext);
  mHttp->Stop();
  mServeThread.join();
  mContext.exchanges.Stop();
  mDuties.Stop();
  // The usage duty has ended; the remaining events are counted here.
  while (const auto event = mContext.usageEvents.Pop(duration::zero())) {
    mContext.usage.Add(*event);
  }
  for (int i = 0; i < kMaxFinalSyncs && !mContext.usage.Unconfirmed().empty();
       ++i) {
    mSync.SyncOnce(0);
  }
}

} // namespace

entry_context::entry_context(const entry_settings& aSettings,
                             entry_parts aParts,
                             std::string aInstance)
  : settings(aSettings)
  , parts(std::move(aParts))
  , instance(std::move(aInstance))
  , runner(*parts.work, *parts.transport, *parts.clock, *parts.metrics)
  , exchanges(kExchangeThreads, kMaxQueuedExchanges)
  , usage(instance)
  , usageEvents(kUsageQueueCapacity)
  , permits(instance, RandomHex(kPermitSecretBytes), permit_limits{})
{
}

std::unique_ptr<entry_server>
MakeEntryServer(const entry_settings& aSettings, entry_parts aParts)
{
  return std::make_unique<entry_server_impl>(aSettings, std::move(aParts));
}

} // namespace arbutusferry
