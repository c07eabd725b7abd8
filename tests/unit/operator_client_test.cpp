#include "arbutusferry/document_diff.hpp"
#include "arbutusferry/metrics_text.hpp"
#include "arbutusferry/operator_client.hpp"
#include "arbutusferry/rpc_codes.hpp"
#include "support/sample_environment.hpp"

#include <catch2/catch.hpp>
#include <deque>

using namespace arbutusferry;

namespace {

/// Scripted result of the next call.
struct script_step
{
  Json::Value response;
  bool fails = false;
  bool sent = true;
  int code = 0;
};

class scripted_rpc final : public rpc_client
{
public:
  scripted_rpc(std::deque<script_step>& aScript,
               std::vector<std::string>& aCalls)
    : mScript(aScript)
    , mCalls(aCalls)
  {
  }

  Json::Value Call(const std::string& aMethod,
                   const Json::Value& aParams) override
  {
    mCalls.push_back(aMethod + " " + aParams["record_id"].asString());
    REQUIRE_FALSE(mScript.empty());
    const script_step step = mScript.front();
    mScript.pop_front();
    if (step.fails) {
      throw rpc_failure("scripted", step.sent, step.code);
    }
    return step.response;
  }

private:
  std::deque<script_step>& mScript;
  std::vector<std::string>& mCalls;
};

script_step
ChangeResponse(const char* aOutcome)
{
  script_step step;
  step.response["outcome"] = aOutcome;
  step.response["offset"] = 7;
  return step;
}

const script_step kNotSent{ {}, true, false, 0 };
const script_step kResponseLost{ {}, true, true, 0 };
const script_step kUnavailable{ {}, true, true, kRpcCodeUnavailable };
const script_step kRefused{ {}, true, true, kRpcCodeInvalidParams };

struct change_run
{
  std::variant<change_result, error_info> outcome;
  std::vector<std::string> calls;
  int waits = 0;
};

change_run
RunChange(std::deque<script_step> aScript)
{
  change_run run;
  operator_client client(
    { "a:1", "b:1" },
    [&](const std::string&) {
      return std::make_unique<scripted_rpc>(aScript, run.calls);
    },
    [&](duration) { ++run.waits; });
  run.outcome = Capture([&] {
    return client.Change(
      "operator.apply", Json::Value(Json::objectValue), "id1");
  });
  CHECK(aScript.empty());
  return run;
}

} // namespace

// Guards against a change that is sent again although it may have taken effect,
// and against a lost response that is reported as a rejection.
TEST_CASE("A change whose response is lost is looked up by its record id")
{
  auto run = RunChange({ kNotSent, ChangeResponse("in_force") });
  CHECK(std::get<0>(run.outcome).outcome == change_outcome::InForce);

  run = RunChange({ kUnavailable, ChangeResponse("void") });
  CHECK(std::get<0>(run.outcome).outcome == change_outcome::Void);

  run = RunChange({ kResponseLost,
                    kResponseLost,
                    kNotSent,
                    ChangeResponse("unknown"),
                    ChangeResponse("in_force") });
  CHECK(std::get<0>(run.outcome).outcome == change_outcome::InForce);
  CHECK(std::get<0>(run.outcome).offset == 7);
  CHECK(run.calls == std::vector<std::string>{ "operator.apply id1",
                                               "operator.record id1",
                                               "operator.record id1",
                                               "operator.record id1",
                                               "operator.record id1" });
  CHECK(run.waits == 2);

  std::deque<script_step> never(13, kNotSent);
  never.front() = kResponseLost;
  run = RunChange(never);
  CHECK(std::get<0>(run.outcome).outcome == change_outcome::Unknown);
  CHECK(std::get<0>(run.outcome).recordId == "id1");

  run = RunChange({ { Json::Value("text") }, ChangeResponse("in_force") });
  CHECK(std::get<0>(run.outcome).outcome == change_outcome::InForce);
}

// Guards against "outcome unknown" where certainly nothing was changed.
TEST_CASE("A change that certainly has no effect is an error")
{
  CHECK(std::get<1>(RunChange({ kNotSent, kNotSent }).outcome).code ==
        error_code::Unreachable);
  CHECK(std::get<1>(RunChange({ kRefused }).outcome).code ==
        error_code::InvalidArgument);
  CHECK(std::get<1>(RunChange({ kUnavailable, kUnavailable }).outcome).code ==
        error_code::Unavailable);
}

// Guards against a diff that hides a change or reports a mere reordering.
TEST_CASE("Differences are named by path")
{
  const Json::Value before = WriteEnvironment(SampleEnvironment());
  Json::Value edited = SampleEnvironmentJson();
  Json::Value first;
  edited["tenants"].removeIndex(0, &first);
  edited["tenants"].append(first);
  const auto canonical = [&] {
    return WriteEnvironment(ReadEnvironment(edited, "x").value());
  };
  CHECK(CompareDocuments(before, canonical()).empty());
  edited["tenants"][0]["share"] = 9;
  edited["routes"].removeIndex(3, nullptr);
  edited["routes"][2]["tenants"].append("east");
  Json::Value east(Json::objectValue);
  east["name"] = "east";
  edited["tenants"].append(east);
  const auto changes = CompareDocuments(before, canonical());
  REQUIRE(changes.size() == 4);
  CHECK(changes[0].path == "routes[orders].tenants");
  CHECK((changes[1].path == "routes[quotes]" && changes[1].after.isNull()));
  CHECK((changes[2].path == "tenants[east]" && changes[2].before.isNull()));
  CHECK((changes[3].path == "tenants[south].share" &&
         changes[3].after.asDouble() == 9));
}

// Guards against a parser that misreads the metrics that the daemons export.
TEST_CASE("Exported histograms are read back unchanged")
{
  metrics_registry metrics;
  const metric_labels labels{ { "class", "x" }, { "tenant", "a\"}\\,\nb" } };
  for (int i = 1; i <= 1000; ++i) {
    metrics.Observe("wait_seconds", labels, i * 0.001);
  }
  metrics.Observe("wait_seconds", labels, 1e9);
  metrics.Count("calls_total", labels);
  metrics.SetGauge("x_count", {}, 1);
  const auto found = ReadHistograms(metrics.Export(), "p").value();
  REQUIRE(found.size() == 1);
  CHECK(found[0].name == "wait_seconds");
  CHECK(found[0].labels == labels);
  CHECK(found[0].count == 1001);
  CHECK(found[0].buckets.back().second == 1);
  CHECK(EstimateQuantile(found[0], 0.5) == Approx(0.5).margin(0.01));
  CHECK(EstimateQuantile(found[0], 1.0) == 2400);
  CHECK_FALSE(ReadHistograms("x{a=\"b} 1\n", "p"));
  CHECK_FALSE(ReadHistograms("x\n", "p"));
}
