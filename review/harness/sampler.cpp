#include "world.hpp"

#include <json/json.h>

namespace review {

namespace {

/// Interval of a sampler's status reports to the store.
constexpr std::int64_t kBeatMs = 1'200;
constexpr std::int64_t kWaitStepMs = 10;

} // namespace

sampler::sampler(sampler_settings aSettings,
                 platform_store& aStore,
                 planner aPlanner)
  : mSettings(std::move(aSettings))
  , mStore(aStore)
  , mPlanner(std::move(aPlanner))
  , mServer([this](const request& aRequest, channel& aChannel) {
    Serve(aRequest, aChannel);
  })
{
  mStore.Put("keyed.servers", mSettings.id, Entry());
  // The process ends without waiting for this thread.
  std::thread([this] { Beat(); }).detach();
}

std::string
sampler::Entry()
{
  const std::lock_guard lock(mMutex);
  Json::Value entry(Json::objectValue);
  entry["service"] = mSettings.service;
  entry["address"] = "127.0.0.1:" + std::to_string(mServer.Port());
  entry["zone"] = mSettings.zone;
  entry["version"] = "v1";
  entry["slots"] = mSettings.slots;
  entry["state"] = "ready";
  entry["cold-left-ms"] = 0;
  entry["born"] = Json::Int64(1'700'000'000'000);
  entry["seq"] = Json::UInt64(++mBeats);
  if (!mSettings.model.empty()) {
    Json::Value model(Json::objectValue);
    model["name"] = mSettings.model;
    model["version"] = Json::Int64(mVersion);
    model["adapters"] = Json::Value(Json::arrayValue);
    entry["stage"] = "dual";
    entry["models"].append(std::move(model));
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, entry);
}

void
sampler::Beat()
{
  for (;;) {
    SleepMs(kBeatMs);
    mStore.Put("keyed.servers", mSettings.id, Entry());
  }
}

std::vector<run_start>
sampler::Starts()
{
  const std::lock_guard lock(mMutex);
  return mStarts;
}

bool
sampler::TakeSlot(channel& aChannel)
{
  std::unique_lock lock(mMutex);
  if (mRunning >= mSettings.slots && mQueued >= mSettings.queue) {
    return false;
  }
  ++mQueued;
  while (mRunning >= mSettings.slots) {
    mSlotFree.wait_for(lock, std::chrono::milliseconds(kWaitStepMs));
    if (aChannel.Closed()) {
      --mQueued;
      return false;
    }
  }
  --mQueued;
  ++mRunning;
  return true;
}

void
sampler::Serve(const request& aRequest, channel& aChannel)
{
  const field_list notRun{ { "Arbutusferry-Not-Run", "1" } };
  if (aRequest.target == "/report") {
    Json::Value report(Json::objectValue);
    {
      const std::lock_guard lock(mMutex);
      Json::Value model(Json::objectValue);
      model["name"] = mSettings.model;
      model["version"] = Json::Int64(mVersion);
      report["models"].append(std::move(model));
      report["stage"] = "dual";
      report["busy"] = false;
      report["seq"] = Json::UInt64(mOrders);
      report["in-flight"] = mRunning;
      report["queue-depth"] = mQueued;
    }
    aChannel.Send(
      200, { { "Content-Type", "application/json" } }, report.toStyledString());
    return;
  }
  if (aRequest.target == "/health") {
    aChannel.Send(200, { { "Arbutusferry-Instance-Id", mSettings.id } }, {});
    return;
  }
  const std::string expected =
    Field(aRequest.fields, "Arbutusferry-Expect-Instance");
  if (!expected.empty() && expected != mSettings.id) {
    aChannel.Send(421, { { "Arbutusferry-Instance-Id", mSettings.id } }, {});
    return;
  }
  if (aRequest.target == "/order") {
    ServeOrder(aRequest, aChannel);
    return;
  }
  const std::string id = Field(aRequest.fields, "Arbutusferry-Request-Id");
  if (id.empty()) {
    aChannel.Send(400, notRun, {});
    return;
  }
  const std::string version =
    Field(aRequest.fields, "Arbutusferry-Expect-Version");
  if (!version.empty() && version != std::to_string(mVersion)) {
    aChannel.Send(421, {}, {});
    return;
  }
  if (!TakeSlot(aChannel)) {
    aChannel.Send(503, notRun, {});
    return;
  }
  const std::int64_t now = NowMs();
  const int sender = findSender ? findSender(aChannel.PeerPort()) : -1;
  std::size_t run = 0;
  {
    const std::lock_guard lock(mMutex);
    run = mStarts.size();
    mStarts.push_back({ mSettings.id, id, now, sender });
  }
  const work task = mPlanner(id);
  if (mSettings.model.empty()) {
    Note("sampler " + mSettings.id + ": request " + id +
         " arrives: " + aRequest.method + " " + aRequest.target + ", tenant '" +
         Field(aRequest.fields, "Arbutusferry-Tenant") + "'");
    RunPlain(id, task, aChannel);
  } else {
    Note("sampler " + mSettings.id + ": item " + id + " arrives from node " +
         std::to_string(sender + 1));
    RunItem(aRequest, id, task, run, aChannel);
  }
  const std::lock_guard lock(mMutex);
  --mRunning;
  mSlotFree.notify_all();
}

void
sampler::ServeOrder(const request& aRequest, channel& aChannel)
{
  Json::Value order;
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  if (!reader->parse(aRequest.body.data(),
                     aRequest.body.data() + aRequest.body.size(),
                     &order,
                     nullptr)) {
    aChannel.Send(400, {}, {});
    return;
  }
  const std::lock_guard lock(mMutex);
  if (order["fence"].asUInt64() < mHighestFence) {
    aChannel.Send(412, {}, {});
    return;
  }
  mHighestFence = order["fence"].asUInt64();
  if (order["version"].asInt64() == mVersion) {
    aChannel.Send(200, {}, {});
  } else if (order.isMember("expected-rev") &&
             order["expected-rev"].asUInt64() != mOrders) {
    aChannel.Send(409, {}, {});
  } else {
    // No scenario names a version.
    aChannel.Send(400, {}, {});
  }
}

void
sampler::RunItem(const request& aRequest,
                 const std::string& aId,
                 const work& aWork,
                 std::size_t aRun,
                 channel& aChannel)
{
  const std::string last = Field(aRequest.fields, "Last-Event-Id");
  const std::size_t after = last.empty() ? 0 : std::stoul(last);
  Note("sampler " + mSettings.id + ": item " + aId + " begins" +
       (after > 0 ? " after event " + last : ""));
  const field_list fields{ { "Content-Type", "text/event-stream" },
                           { "Arbutusferry-Request-Id", aId },
                           { "Arbutusferry-Server-Stamp", "stamp." + aId },
                           { "Arbutusferry-Weight-Versions",
                             std::to_string(mVersion) } };
  if (aWork.status != 200) {
    SleepMs(aWork.eventMs);
    if (aChannel.Closed()) {
      return;
    }
    aChannel.Send(aWork.status, fields, {});
    Note("sampler " + mSettings.id + ": item " + aId + " answered " +
         std::to_string(aWork.status));
    const std::lock_guard lock(mMutex);
    mStarts[aRun].status = aWork.status;
    mStarts[aRun].answeredMs = NowMs();
    return;
  }
  aChannel.Begin(200, fields);
  for (std::size_t index = after; index < aWork.events.size(); ++index) {
    SleepMs(aWork.eventMs);
    if (aChannel.Closed()) {
      Note("sampler " + mSettings.id + ": item " + aId + " dropped, " +
           std::to_string(index) + " events made");
      return;
    }
    aChannel.Chunk("id: " + std::to_string(index + 1) +
                   "\ndata: " + aWork.events[index] + "\n\n");
  }
  aChannel.End();
  Note("sampler " + mSettings.id + ": item " + aId + " complete");
}

void
sampler::RunPlain(const std::string& aId, const work& aWork, channel& aChannel)
{
  const std::int64_t until = NowMs() + aWork.plainMs;
  while (NowMs() < until) {
    SleepMs(std::min(kWaitStepMs, std::max<std::int64_t>(1, until - NowMs())));
    if (aChannel.Closed()) {
      Note("sampler " + mSettings.id + ": request " + aId +
           " dropped, its channel was closed");
      return;
    }
  }
  aChannel.Send(aWork.status,
                { { "Arbutusferry-Request-Id", aId },
                  { "Arbutusferry-Server-Stamp", "stamp." + aId } },
                "answer to " + aId);
  Note("sampler " + mSettings.id + ": request " + aId + " answered " +
       std::to_string(aWork.status));
}

} // namespace review
