#pragma once

// Implementation of fake_platform, shared by its source files.

#include "common/fake_platform.hpp"
#include "common/log_store.hpp"
#include "common/standin_server.hpp"
#include "common/target_pool_store.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace arbutusferry::standin {

using steady = std::chrono::steady_clock;
using json_handler =
  std::function<std::pair<int, Json::Value>(const Json::Value&)>;

constexpr std::int64_t kMaxInteger = 1'000'000'000'000;

/// @return `{"error":aMessage}`.
[[nodiscard]] inline Json::Value
ErrorBody(const std::string& aMessage)
{
  Json::Value value(Json::objectValue);
  value["error"] = aMessage;
  return value;
}

/// Contents of a list from `since` on, kept so that lists can lag.
struct list_version
{
  steady::time_point since;
  Json::Value list;
};

struct fake_platform::impl
{
  impl();

  void Register(standin_server& aServer, std::size_t aView);
  void RegisterAdmin(standin_server& aServer);
  void RecordEvent(const std::string& aKind,
                   Json::Value aEvent,
                   const std::string& aSender);
  bool ConsumeLostAnswer(std::atomic<std::int64_t>& aCount);
  void Delay() const;
  Json::Value LaggedList(std::vector<list_version>& aVersions,
                         Json::Value aCurrent);
  Json::Value RewriteAddresses(Json::Value aList, std::size_t aView);
  std::pair<int, Json::Value> HandleOrder(const std::string& aZone,
                                          const Json::Value& aBody,
                                          const std::string& aSender);
  std::pair<int, Json::Value> HandleUsage(const std::string& aWindow,
                                          const Json::Value& aBody,
                                          const std::string& aSender);
  void ReadLog(const httplib::Request& aRequest, httplib::Response& aResponse);
  void AppendLog(standin_server& aServer,
                 const httplib::Request& aRequest,
                 httplib::Response& aResponse);
  std::pair<int, Json::Value> SetFaults(const Json::Value& aBody);
  std::pair<int, Json::Value> SetClasses(const Json::Value& aBody);
  std::pair<int, Json::Value> SetTargets(const Json::Value& aBody);
  std::pair<int, Json::Value> Reclaim(const Json::Value& aBody);

  log_store log;
  target_pool_store targets;
  std::atomic<std::int64_t> delayMs{ 0 };
  std::atomic<std::int64_t> appendAnswersLost{ 0 };
  std::atomic<std::int64_t> orderAnswersLost{ 0 };
  std::atomic<std::int64_t> usageAnswersLost{ 0 };
  std::atomic<std::int64_t> listLagMs{ 0 };
  std::atomic<bool> checkFencing{ true };
  std::atomic<bool> ordersDown{ false };
  std::atomic<bool> usageDown{ false };
  std::atomic<bool> listsDown{ false };

  std::mutex mutex;
  Json::Value vms{ Json::arrayValue };
  std::vector<list_version> vmVersions;
  std::vector<list_version> targetVersions;
  std::vector<std::map<std::string, std::string>> rewrites;
  std::map<std::string, Json::Value> orders;
  std::map<std::string, std::int64_t> orderFencing;
  std::map<std::string, Json::Value> reports;
  std::int64_t usageFencing = -1;

  std::mutex historyMutex;
  std::vector<Json::Value> history;

  // Declared last: their threads use all other members.
  std::vector<std::unique_ptr<standin_server>> servers;
};

} // namespace arbutusferry::standin
