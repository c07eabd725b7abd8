#include "arbutusferry/api_key.hpp"
#include "arbutusferry/config_state.hpp"
#include "arbutusferry/hash.hpp"
#include "arbutusferry/rpc.hpp"
#include "arbutusferry/rpc_codes.hpp"
#include "support/sample_environment.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <httplib.h>
#include <sys/wait.h>
#include <thread>

using namespace arbutusferry;

namespace {

/// Control process that applies changes to its state at once, without a log
/// service.
class fake_control
{
public:
  fake_control()
  {
    std::map<std::string, rpc_method> methods;
    const std::pair<const char*, const char*> changes[] = {
      { "operator.apply", "environment_applied" },
      { "operator.promote", "environment_promoted" },
      { "operator.grant", "key_granted" },
      { "operator.withdraw", "key_withdrawn" }
    };
    for (const auto& [method, type] : changes) {
      methods[method] = [this, type = type](Json::Value aParams) {
        const std::string id = aParams["record_id"].asString();
        aParams.removeMember("record_id");
        aParams["type"] = type;
        state.Apply({ state.Offset() + 1, id, aParams });
        return Outcome(id);
      };
    }
    methods["operator.record"] = [this](const Json::Value& aParams) {
      return Outcome(aParams["record_id"].asString());
    };
    methods["operator.document"] = [this](const Json::Value& aParams) {
      const auto* config =
        state.Find(aParams["environment"].asString(),
                   *ParseEnum<stage>(aParams["stage"].asString()));
      if (config == nullptr) {
        throw rpc_failure("no document", false, kRpcCodeNotFound);
      }
      Json::Value answer(Json::objectValue);
      answer["revision"] = Json::Int64(config->revision);
      answer["document"] = WriteEnvironment(*config->document);
      return answer;
    };
    mDispatcher = MakeRpcDispatcher(std::move(methods));
    mServer.Post("/rpc", [this](const auto& aRequest, auto& aResponse) {
      aResponse.set_content(mDispatcher->Handle(aRequest.body), "text/plain");
      if (loseNextChange &&
          aRequest.body.find("operator.apply") != std::string::npos) {
        loseNextChange = false;
        aResponse.status = 500;
      }
    });
    mPort = mServer.bind_to_any_port("127.0.0.1");
    mThread = std::thread([this] { mServer.listen_after_bind(); });
    while (!mServer.is_running()) {
      std::this_thread::yield();
    }
  }

  ~fake_control()
  {
    mServer.stop();
    mThread.join();
  }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mPort);
  }

  config_state state;
  std::atomic<bool> loseNextChange{ false };

private:
  Json::Value Outcome(const std::string& aId) const
  {
    const auto found = state.FindRecord(aId);
    Json::Value answer(Json::objectValue);
    answer["outcome"] =
      found ? std::string(EnumName(found->second)) : "unknown";
    answer["offset"] = Json::Int64(found ? found->first : kNoOffset);
    return answer;
  }

  std::unique_ptr<rpc_dispatcher> mDispatcher;
  httplib::Server mServer;
  int mPort = 0;
  std::thread mThread;
};

struct client_run
{
  int code = -1;
  std::string output;
};

client_run
RunClient(const std::string& aArguments)
{
  const std::string command =
    std::string(ARBUTUSFERRY_BIN_DIR) + "/arbutusferry " + aArguments + " 2>&1";
  client_run run;
  FILE* pipe = popen(command.c_str(), "r");
  REQUIRE(pipe != nullptr);
  char buffer[4096];
  for (std::size_t size = 0; (size = fread(buffer, 1, sizeof(buffer), pipe));) {
    run.output.append(buffer, size);
  }
  run.code = WEXITSTATUS(pclose(pipe));
  return run;
}

} // namespace

// Scripts rely on the exit codes; each change must reach the log under the
// environment, team and key that the operator named.
TEST_CASE("An operator applies, promotes, grants and withdraws")
{
  fake_control control;
  const std::string file =
    "/tmp/arbutusferry_client_test_" + RandomHex(8) + ".json";
  std::ofstream(file) << kSampleEnvironment;
  const std::string flags = "--control " + control.Address() + " ";

  CHECK(RunClient("check " + file).code == 0);
  CHECK(RunClient(flags + "apply " + file).code == 0);
  const auto raced = RunClient(flags + "apply " + file);
  CHECK(raced.code == 1);
  CHECK_THAT(raced.output,
             Catch::Contains("expected the revision in force, 0"));
  CHECK_THAT(RunClient(flags + "diff " + file).output,
             Catch::Contains("no changes"));
  control.loseNextChange = true;
  const auto lost = RunClient(flags + "--base current --json apply " + file);
  CHECK(lost.code == 0);
  CHECK(ParseJson(lost.output, "x").value()["offset"].asInt() == 1);
  CHECK(RunClient(flags + "promote trust").code == 0);

  const auto granted = RunClient(flags + "--json grant trust north");
  CHECK(granted.code == 0);
  const Json::Value grant = ParseJson(granted.output, "x").value();
  const auto* config = control.state.Find("trust", stage::Production);
  REQUIRE(config != nullptr);
  CHECK(CheckKey(*config, grant["key"].asString()).index() == 0);
  CHECK(RunClient(flags + "grant trust nobody").code == 1);
  CHECK(
    RunClient(flags + "withdraw trust " + grant["key_id"].asString()).code ==
    0);
  CHECK(CheckKey(*config, grant["key"].asString()).index() == 1);
  CHECK(RunClient(flags + "record " + grant["record_id"].asString()).code == 0);
  CHECK(RunClient(flags + "record missing").code == 3);
  std::remove(file.c_str());
}
