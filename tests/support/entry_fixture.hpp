#pragma once

#include "arbutusferry/api_key.hpp"
#include "arbutusferry/entry_server.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/node_sync.hpp"
#include "common/fake_engine.hpp"
#include "common/fake_service.hpp"
#include "support/sample_environment.hpp"

#include <atomic>
#include <condition_variable>
#include <httplib.h>
#include <mutex>

namespace arbutusferry::test {

/// System clock that a test can move forward.
class shifted_clock final : public clock_source
{
public:
  [[nodiscard]] time_point Now() const noexcept override
  {
    return mBase.Now() + duration(mShift.load());
  }
  [[nodiscard]] unix_seconds UnixNow() const noexcept override
  {
    return 1'700'000'040;
  }
  void Advance(duration aStep) { mShift += aStep.count(); }

private:
  system_clock_source mBase;
  std::atomic<std::int64_t> mShift{ 0 };
};

/// Fake control process of one zone. Answers `node.sync` with a response that
/// the test sets.
class scripted_control
{
public:
  scripted_control() { mAnswer.viewAgeMs = 0; }

  /// Appends a log record and waits until `aEntries` entries have applied it.
  void Append(const log_record& aRecord, std::size_t aEntries = 1)
  {
    std::unique_lock lock(mMutex);
    mAnswer.records.push_back({ ++mAnswer.offset,
                                std::to_string(mAnswer.offset),
                                WriteLogRecord(aRecord) });
    WaitUntilApplied(lock, aEntries);
  }

  /// Changes the response and waits until `aEntries` entries have applied it.
  void Change(const std::function<void(node_sync_response&)>& aChange,
              std::size_t aEntries = 1)
  {
    std::unique_lock lock(mMutex);
    aChange(mAnswer);
    WaitUntilApplied(lock, aEntries);
  }

  /// @return Total usage reported for a team.
  [[nodiscard]] usage_counter Usage(const std::string& aTeam)
  {
    const std::lock_guard lock(mMutex);
    usage_counter sum;
    for (const auto& [key, counter] : mUsage) {
      if (counter.team == aTeam) {
        sum.requests += counter.requests;
        sum.promptTokens += counter.promptTokens;
        sum.generatedTokens += counter.generatedTokens;
      }
    }
    return sum;
  }

  std::unique_ptr<rpc_client> MakeClient()
  {
    return std::make_unique<client>(*this);
  }

private:
  class client final : public rpc_client
  {
  public:
    explicit client(scripted_control& aControl)
      : mControl(aControl)
    {
    }
    Json::Value Call(const std::string& aMethod,
                     const Json::Value& aParams) override
    {
      if (aMethod != "node.sync") {
        throw rpc_failure("no such method", true, -32601);
      }
      return mControl.Sync(ReadNodeSyncRequest(aParams, "entry").value());
    }

  private:
    scripted_control& mControl;
  };

  Json::Value Sync(const node_sync_request& aRequest)
  {
    std::unique_lock lock(mMutex);
    const std::string& instance = aRequest.entry.instance;
    mApplied[instance] = mSent[instance];
    for (const usage_counter& counter : aRequest.usage) {
      mUsage[instance + counter.team + std::to_string(counter.window)] =
        counter;
    }
    mChanged.notify_all();
    mChanged.wait_for(lock, std::chrono::milliseconds(aRequest.holdMs), [&] {
      return mSent[instance] != mVersion;
    });
    mSent[instance] = mVersion;
    node_sync_response reply = mAnswer;
    std::erase_if(reply.records, [&](const raw_log_record& aRecord) {
      return aRecord.offset <= aRequest.offset;
    });
    return WriteNodeSyncResponse(reply);
  }

  void WaitUntilApplied(std::unique_lock<std::mutex>& aLock,
                        std::size_t aEntries)
  {
    ++mVersion;
    mChanged.notify_all();
    mChanged.wait(aLock, [&] {
      std::size_t settled = 0;
      for (const auto& [instance, version] : mApplied) {
        settled += version == mVersion ? 1 : 0;
      }
      return settled >= aEntries;
    });
  }

  node_sync_response mAnswer;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mVersion = 1;
  std::map<std::string, std::uint64_t> mSent;    ///< Version last sent.
  std::map<std::string, std::uint64_t> mApplied; ///< Version confirmed.
  std::map<std::string, usage_counter> mUsage;
};

/// Entry servers of one zone with an engine and a service.
struct zone_fixture
{
  std::shared_ptr<shifted_clock> clock = std::make_shared<shifted_clock>();
  scripted_control control;
  standin::fake_engine engine;
  standin::fake_service service;
  generated_key north = GenerateKey();
  generated_key south = GenerateKey();
  std::vector<std::unique_ptr<entry_server>> entries;

  explicit zone_fixture(
    std::size_t aEntries = 1,
    const standin::engine_options& aEngine = { .version = 7 })
    : engine(aEngine)
  {
    REQUIRE(engine.Start("127.0.0.1:0"));
    REQUIRE(service.Start("127.0.0.1:0"));
    for (std::size_t i = 0; i < aEntries; ++i) {
      entry_settings settings;
      settings.vm = "vm" + std::to_string(i);
      settings.zone = "a";
      settings.environment = "trust";
      settings.listen = "127.0.0.1:0";
      settings.control = { "control" };
      entry_parts parts;
      parts.clock = clock;
      parts.metrics = std::make_shared<metrics_registry>();
      parts.work = MakeDispatcher({ .zone = "a" });
      parts.transport = MakeHttpTransport({}, *clock);
      parts.makeClient = [this](const std::string&) {
        return control.MakeClient();
      };
      entries.push_back(MakeEntryServer(settings, parts));
      REQUIRE(entries.back()->Start());
    }
    control.Change([&](node_sync_response& aAnswer) { DescribeZone(aAnswer); },
                   aEntries);
    environment_applied applied;
    applied.document = SampleEnvironment();
    control.Append(applied, aEntries);
    for (const auto& [key, team] :
         { std::pair(north, "north"), std::pair(south, "south") }) {
      control.Append(
        key_granted{
          "trust", stage::Production, team, key.keyId, key.salt, key.hash },
        aEntries);
    }
  }

  void DescribeZone(node_sync_response& aAnswer)
  {
    target_info sampler;
    sampler.id = "sampler1";
    sampler.zone = "a";
    sampler.targetClass = "sampler";
    sampler.address = engine.Address();
    sampler.slots = 8;
    sampler.weightVersion = 7;
    target_info desk = sampler;
    desk.id = "desk1";
    desk.targetClass = "desk";
    desk.kind = target_kind::Service;
    desk.address = service.Address();
    aAnswer.targets = { sampler, desk };
    aAnswer.entries.clear();
    for (const auto& entry : entries) {
      aAnswer.entries.push_back(
        { entry->Instance(), "a", entry->Address(), false, {} });
    }
  }

  /// Posts a JSON body; sends no key if `aKey` is empty.
  [[nodiscard]] httplib::Result Send(std::size_t aEntry,
                                     const std::string& aPath,
                                     const std::string& aBody,
                                     const std::string& aKey,
                                     httplib::Headers aHeaders = {}) const
  {
    httplib::Client client("http://" + entries[aEntry]->Address());
    client.set_read_timeout(60);
    if (!aKey.empty()) {
      aHeaders.emplace("Authorization", "Bearer " + aKey);
    }
    return client.Post(aPath, aHeaders, aBody, "application/json");
  }

  /// @return Requests that a stand-in received, as JSON text.
  static std::string SeenRequests(const std::string& aAddress)
  {
    httplib::Client client("http://" + aAddress);
    return client.Get("/admin/seen")->body;
  }

  static void SetBehavior(const std::string& aAddress,
                          const std::string& aBehavior)
  {
    httplib::Client client("http://" + aAddress);
    REQUIRE(
      client.Put("/admin/behavior", aBehavior, "application/json")->status ==
      200);
  }
};

} // namespace arbutusferry::test
