#include "common/fake_engine.hpp"

#include "arbutusferry/json.hpp"
#include "common/fake_engine_impl.hpp"
#include "common/http_record.hpp"
#include "common/token_sequence.hpp"

#include <algorithm>

namespace arbutusferry::standin {

namespace {

constexpr std::size_t kMaxCacheBlocks = 4096;
constexpr std::size_t kMaxCacheEvents = 1024;

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

void
fake_engine::impl::RecordLoad()
{
  snapshots.push_back({ steady::now(),
                        UnixMs(),
                        running,
                        static_cast<std::int64_t>(queue.size()),
                        version });
  if (snapshots.size() > 4096) {
    snapshots.pop_front();
  }
}

Json::Value
fake_engine::impl::Load()
{
  const std::lock_guard lock(mutex);
  const auto cutoff =
    steady::now() - std::chrono::milliseconds(options.loadLagMs);
  const load_snapshot* shown = &snapshots.front();
  for (const load_snapshot& snapshot : snapshots) {
    if (snapshot.at <= cutoff) {
      shown = &snapshot;
    }
  }
  Json::Value value(Json::objectValue);
  value["running"] = Json::Int64(shown->running);
  value["waiting"] = Json::Int64(shown->waiting);
  value["slots"] = Json::Int64(options.slots);
  value["weight_version"] = Json::Int64(shown->version);
  value["as_of_ms"] =
    Json::Int64(options.loadLagMs == 0 ? UnixMs() : shown->unixMs);
  return value;
}

Json::Value
fake_engine::impl::CacheEvents(std::int64_t aFrom)
{
  const std::lock_guard lock(mutex);
  Json::Value value(Json::objectValue);
  Json::Value& list = value["events"] = Json::Value(Json::arrayValue);
  const auto now = steady::now();
  for (const cache_event& event : cacheEvents) {
    const bool lost =
      options.cacheGapEvery > 0 &&
      event.sequence % options.cacheGapEvery == options.cacheGapEvery - 1;
    if (event.sequence < aFrom || event.visibleAt > now || lost) {
      continue;
    }
    Json::Value item(Json::objectValue);
    item["seq"] = Json::Int64(event.sequence);
    item["added"] = Json::Value(Json::arrayValue);
    item["removed"] = Json::Value(Json::arrayValue);
    for (const std::uint64_t block : event.added) {
      item["added"].append(Json::UInt64(block));
    }
    for (const std::uint64_t block : event.removed) {
      item["removed"].append(Json::UInt64(block));
    }
    list.append(std::move(item));
  }
  return value;
}

void
fake_engine::impl::UpdatePrefixCache(generation& aStream)
{
  cache_event event;
  std::int64_t missing = PromptTokens(aStream.prompt);
  const std::int64_t blockTokens = 16;
  bool prefix = true;
  for (const std::uint64_t block : PrefixBlockHashes(aStream.prompt)) {
    if (cache.contains(block)) {
      missing -= prefix ? blockTokens : 0;
      continue;
    }
    prefix = false;
    cache.insert(block);
    cacheOrder.push_back(block);
    event.added.push_back(block);
  }
  while (cacheOrder.size() > kMaxCacheBlocks) {
    event.removed.push_back(cacheOrder.front());
    cache.erase(cacheOrder.front());
    cacheOrder.pop_front();
  }
  if (!event.added.empty() || !event.removed.empty()) {
    event.sequence = cacheSequence++;
    event.visibleAt =
      steady::now() + std::chrono::milliseconds(options.cacheLagMs);
    cacheEvents.push_back(std::move(event));
    if (cacheEvents.size() > kMaxCacheEvents) {
      cacheEvents.pop_front();
    }
  }
  aStream.prefillSeconds =
    static_cast<double>(std::max<std::int64_t>(missing, 0)) /
    options.prefillPerSecond;
}

bool
fake_engine::impl::Admit(generation& aStream,
                         const std::function<bool()>& aAlive)
{
  std::unique_lock lock(mutex);
  while (queue.front() != aStream.ticket || running >= options.slots) {
    // Wakes up periodically to detect clients that disconnected.
    changed.wait_for(lock, std::chrono::milliseconds(20));
    lock.unlock();
    const bool alive = !halted && aAlive();
    lock.lock();
    if (!alive) {
      return false;
    }
  }
  queue.pop_front();
  ++running;
  aStream.admitted = true;
  UpdatePrefixCache(aStream);
  RecordLoad();
  aStream.start = steady::now();
  changed.notify_all();
  return true;
}

void
fake_engine::impl::Release(generation& aStream)
{
  const std::lock_guard lock(mutex);
  if (aStream.released) {
    return;
  }
  aStream.released = true;
  if (aStream.admitted) {
    --running;
  } else {
    std::erase(queue, aStream.ticket);
  }
  RecordLoad();
  changed.notify_all();
}

bool
fake_engine::impl::WaitForTokens(const generation& aStream,
                                 std::int64_t aTokens)
{
  const double seconds = aStream.prefillSeconds +
                         static_cast<double>(aTokens) / options.tokensPerSecond;
  const auto due = aStream.start + std::chrono::duration_cast<steady::duration>(
                                     std::chrono::duration<double>(seconds));
  std::unique_lock lock(mutex);
  while (!halted && steady::now() < due) {
    changed.wait_until(lock, due);
  }
  return !halted;
}

Json::Value
fake_engine::impl::NextEvent(generation& aStream, bool& aCrash)
{
  const std::lock_guard lock(mutex);
  const std::int64_t count =
    std::min(options.eventTokens, aStream.maxTokens - aStream.sent);
  Json::Value event(Json::objectValue);
  event["id"] = aStream.faults.wrongId ? previousId + "x" : aStream.id;
  event["index"] = Json::Int64(aStream.sent);
  Json::Value& tokens = event["tokens"] = Json::Value(Json::arrayValue);
  std::string text;
  for (std::int64_t i = 0; i < count; ++i) {
    const std::int64_t token =
      TokenAt(aStream.prompt, aStream.seed, aStream.sent + i);
    tokens.append(Json::Int64(token));
    text += TokenText(token);
  }
  event["text"] = text;
  if (!aStream.faults.dropVersionLabels) {
    event["weight_version"] = Json::Int64(version);
  }
  aStream.sent += count;
  if (aStream.sent >= aStream.maxTokens) {
    event["finish_reason"] = "length";
    event["usage"]["prompt_tokens"] = Json::Int64(PromptTokens(aStream.prompt));
    event["usage"]["completion_tokens"] = Json::Int64(aStream.sent);
  }
  if (faults.crashAfterTokens >= 0) {
    faults.crashAfterTokens -= count;
    aCrash = faults.crashAfterTokens < 0;
  }
  if (faults.swapAfterTokens >= 0 && aStream.sent >= faults.swapAfterTokens) {
    faults.swapAfterTokens = -1;
    ++version;
    RecordLoad();
  }
  return event;
}

bool
fake_engine::impl::WriteEvent(generation& aStream, httplib::DataSink& aSink)
{
  if (!aStream.admitted &&
      !Admit(aStream, [&aSink] { return aSink.is_writable(); })) {
    return false;
  }
  const std::int64_t next =
    std::min(aStream.sent + options.eventTokens, aStream.maxTokens);
  const auto reached = [&](std::int64_t aLimit) {
    return aLimit >= 0 && aStream.sent >= aLimit;
  };
  if (reached(aStream.faults.truncateAfter)) {
    return false;
  }
  while (reached(aStream.faults.hangAfter)) {
    if (halted || !aSink.is_writable()) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  if (!WaitForTokens(aStream, next)) {
    return false;
  }
  bool crash = false;
  const std::string event =
    "data: " + WriteJson(NextEvent(aStream, crash)) + "\n\n";
  if (crash) {
    Crash();
    return false;
  }
  if (!aSink.write(event.data(), event.size())) {
    return false;
  }
  if (aStream.sent >= aStream.maxTokens) {
    const std::string end = "data: [DONE]\n\n";
    aSink.write(end.data(), end.size());
    seen.Finish(aStream.record);
    Release(aStream);
    aSink.done();
  }
  return true;
}

void
fake_engine::impl::Complete(const httplib::Request& aRequest,
                            httplib::Response& aResponse)
{
  const auto parsed =
    Capture([&] { return ParseJson(aRequest.body, "request"); });
  const auto* body = std::get_if<Json::Value>(&parsed);
  auto stream = std::make_shared<generation>();
  stream->id = aRequest.get_header_value("X-Request-Id");
  stream->record = seen.Add(ToSeenRequest(aRequest));
  if (body == nullptr || !body->isObject() || !(*body)["prompt"].isString()) {
    Reply(aResponse, 400, R"({"error":"expected an object with a prompt"})");
    return;
  }
  stream->prompt = (*body)["prompt"].asString();
  stream->seed = body->get("seed", 0).asInt64();
  stream->maxTokens =
    std::max<std::int64_t>(1, body->get("max_tokens", 16).asInt64());
  std::string headerId = stream->id;
  {
    const std::lock_guard lock(mutex);
    if (faults.PerRequest() && faults.faultCount != 0) {
      stream->faults = faults;
      faults.faultCount -= faults.faultCount > 0 ? 1 : 0;
    }
    if (stream->faults.wrongId) {
      headerId = previousId + "x";
    }
    previousId = stream->id;
    if (stream->faults.failStatus == 0) {
      stream->ticket = nextTicket++;
      queue.push_back(stream->ticket);
      RecordLoad();
    }
  }
  aResponse.set_header("X-Request-Id", headerId);
  if (stream->faults.failStatus != 0) {
    Reply(aResponse,
          static_cast<int>(stream->faults.failStatus),
          R"({"error":"injected failure"})");
    return;
  }
  if (body->get("stream", false).asBool()) {
    aResponse.set_chunked_content_provider(
      "text/event-stream",
      [this, stream](std::size_t, httplib::DataSink& aSink) {
        return WriteEvent(*stream, aSink);
      },
      [this, stream](bool) { Release(*stream); });
    return;
  }
  std::string text;
  Json::Value last;
  bool crash = false;
  if (Admit(*stream, [] { return true; }) &&
      WaitForTokens(*stream, stream->maxTokens)) {
    while (stream->sent < stream->maxTokens && !crash) {
      last = NextEvent(*stream, crash);
      text += last["text"].asString();
    }
  }
  Release(*stream);
  if (crash) {
    Crash();
  }
  Json::Value answer(Json::objectValue);
  answer["id"] = headerId;
  answer["choices"][0]["index"] = 0;
  answer["choices"][0]["text"] = text;
  answer["choices"][0]["finish_reason"] = "length";
  answer["usage"] = last["usage"];
  answer["weight_version"] = last["weight_version"];
  seen.Finish(stream->record);
  Reply(aResponse, 200, WriteJson(answer));
}

void
fake_engine::impl::Crash()
{
  if (onCrash) {
    onCrash();
  }
  halted = true;
  server.Halt();
}

fake_engine::fake_engine(const engine_options& aOptions)
  : mImpl(std::make_unique<impl>(aOptions))
{
  mImpl->Register();
}

fake_engine::~fake_engine()
{
  Halt();
}

void
fake_engine::OnCrash(std::function<void()> aAction)
{
  mImpl->onCrash = std::move(aAction);
}

bool
fake_engine::Start(const std::string& aListen)
{
  return mImpl->server.Start(aListen);
}

std::string
fake_engine::Address() const
{
  return mImpl->server.Address();
}

std::int64_t
fake_engine::InFlight() const
{
  const std::lock_guard lock(mImpl->mutex);
  return mImpl->running + static_cast<std::int64_t>(mImpl->queue.size());
}

void
fake_engine::Halt()
{
  mImpl->halted = true;
  mImpl->changed.notify_all();
  mImpl->server.Halt();
}

} // namespace arbutusferry::standin
