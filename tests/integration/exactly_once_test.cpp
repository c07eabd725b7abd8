#include "support/harness.hpp"

#include "arbutusferry/json.hpp"
#include "common/caller.hpp"
#include "common/trainer.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using harness::cluster;
using harness::Parse;
using harness::SendJson;
using harness::WaitUntil;

namespace {

/// Two zones with one engine each, and a training step to run on them.
class training_fixture
{
public:
  explicit training_fixture(std::size_t aVmsPerZone = 2, int aEngineVersion = 1)
    : mCluster([&] {
      harness::cluster_options options;
      options.zones = 2;
      options.vmsPerZone = aVmsPerZone;
      return options;
    }())
  {
    for (std::size_t zone = 0; zone < 2; ++zone) {
      mCluster.AddTarget(
        mCluster.ZoneName(zone),
        "sampler",
        target_kind::Engine,
        8,
        false,
        { "--weight_version=" + std::to_string(aEngineVersion) });
    }
    mCluster.PublishLists();
    mCluster.Apply(harness::ExampleDocument("shop", 2));
    options.key = mCluster.Grant("acme");
    mCluster.WaitUntilReady();
    const std::string probe =
      R"({"model":"slip-reader","prompt":"p","max_tokens":1,"stream":true})";
    for (std::size_t vm = 0; vm < mCluster.Vms().size(); ++vm) {
      WaitUntil("entry " + std::to_string(vm) + " serves", [&] {
        return harness::Call(mCluster.EntryAddress(vm),
                             "/v1/completions",
                             probe,
                             options.key)
                 .status == 200;
      });
      options.entries.push_back(mCluster.EntryAddress(vm));
    }
    options.version = &version;
    plan = standin::MakeStep("step-1", "slip-reader", 12, 4, 64, 11);
    plan.stalenessBound = 1;
  }

  void SetBehavior(std::size_t aEngine, const std::string& aText)
  {
    SendJson(mCluster.Targets()[aEngine].DirectAddress(),
             "PUT",
             "/admin/behavior",
             Parse(aText));
  }

  [[nodiscard]] cluster& Cluster() { return mCluster; }

  std::atomic<std::int64_t> version{ 1 };
  standin::step_plan plan;
  standin::trainer_options options;

private:
  cluster mCluster;
};

void
AddReportInfo(const standin::step_report& aReport)
{
  UNSCOPED_INFO(
    "samples " << aReport.samples.size() << " duplicates " << aReport.duplicates
               << " unlabelled " << aReport.unlabelled << " over bound "
               << aReport.overBound << " wrong text " << aReport.wrongText);
  for (const std::string& failure : aReport.failures) {
    UNSCOPED_INFO(failure);
  }
}

} // namespace

// Baseline without a cursor: a trainer that posts a step again receives samples
// twice.
TEST_CASE("a step posted again without its cursor delivers samples twice")
{
  training_fixture fixture(1);
  standin::step_report repeated;
  std::size_t firstCount = 0;
  standin::caller caller(fixture.options.entries[0], fixture.options.key, 60);
  const std::string body = WriteJson(standin::WriteStep(fixture.plan, 1));
  (void)caller.Post("/v1/steps", body, {}, [&](const std::string& aPiece) {
    firstCount +=
      static_cast<std::size_t>(std::count(aPiece.begin(), aPiece.end(), '\n'));
    return firstCount < 5;
  });
  REQUIRE(firstCount >= 5);
  repeated = standin::RunStep(fixture.plan, fixture.options);
  AddReportInfo(repeated);
  CHECK(repeated.finished);
  CHECK(firstCount + repeated.samples.size() > 48);
}

// The delivery state must survive the loss of the entry that serves the step.
TEST_CASE("samples come exactly once through two killed entries")
{
  training_fixture fixture;
  fixture.options.onSample = [&](std::size_t aCount) {
    if (aCount == 8 || aCount == 24) {
      fixture.Cluster().Vms()[aCount == 8 ? 0 : 1].entry->Kill();
    }
  };
  const standin::step_report report =
    standin::RunStep(fixture.plan, fixture.options);
  AddReportInfo(report);
  CHECK(report.Correct(fixture.plan));
  CHECK(report.posts >= 3);
}

// A cursor accepted for another step would silently skip samples.
TEST_CASE("a cursor that is damaged or belongs to another step is refused")
{
  training_fixture fixture(1);
  const standin::step_report report =
    standin::RunStep(fixture.plan, fixture.options);
  AddReportInfo(report);
  REQUIRE(report.Correct(fixture.plan));
  Json::Value other = standin::WriteStep(
    standin::MakeStep("step-2", "slip-reader", 12, 4, 64, 12), 1);
  other["cursor"] = report.cursor;
  Json::Value damaged = standin::WriteStep(fixture.plan, 1);
  std::string text = report.cursor;
  text[text.size() / 2] = text[text.size() / 2] == 'A' ? 'B' : 'A';
  damaged["cursor"] = text;
  for (const Json::Value& body : { other, damaged }) {
    const auto reply = harness::Call(fixture.options.entries[0],
                                     "/v1/steps",
                                     WriteJson(body),
                                     fixture.options.key);
    CHECK(reply.status == 400);
    CHECK(reply.Outcome() == "not_run");
  }
}

// Only the samples that were running on a crashed engine must be generated
// again.
TEST_CASE("samples come exactly once through a crashed engine")
{
  training_fixture fixture(1);
  fixture.SetBehavior(0, R"({"crash_after_tokens":200})");
  const standin::step_report report =
    standin::RunStep(fixture.plan, fixture.options);
  AddReportInfo(report);
  CHECK(report.Correct(fixture.plan));
  CHECK(fixture.Cluster().Targets()[0].process->WaitForExit() == 134);
}

// The load report of an engine may name the wrong version. Staleness is
// judged by the version labels of the tokens, and by the older of two versions.
TEST_CASE("samples over the staleness bound are never delivered")
{
  training_fixture fixture(1, 2);
  fixture.plan.stalenessBound = 0;
  Json::Value document = harness::ExampleDocument("shop", 2);
  document["models"][0]["staleness_bound"] = 0;
  fixture.Cluster().Apply(document);
  fixture.version = 2;
  // The load report keeps showing version 2 while the engine serves version 1
  // and swaps weights in mid-stream.
  for (const std::size_t engine : { 0, 1 }) {
    fixture.SetBehavior(
      engine, R"({"load_lag_ms":600000,"version":1,"swap_after_tokens":8})");
  }
  const standin::step_report report =
    standin::RunStep(fixture.plan, fixture.options);
  AddReportInfo(report);
  CHECK(report.Correct(fixture.plan));
  CHECK(report.tokensByVersion.count(1) == 0);
}

TEST_CASE(
  "a sample of two versions within the staleness bound has two segments")
{
  training_fixture fixture(1);
  fixture.version = 2;
  fixture.SetBehavior(0, R"({"swap_after_tokens":8})");
  fixture.SetBehavior(1, R"({"swap_after_tokens":8})");
  const standin::step_report report =
    standin::RunStep(fixture.plan, fixture.options);
  AddReportInfo(report);
  CHECK(report.Correct(fixture.plan));
  const bool mixed = std::any_of(
    report.samples.begin(), report.samples.end(), [](const auto& aSample) {
      return aSample.second["segments"].size() == 2;
    });
  CHECK(mixed);
}

// A response that failed, is truncated, lacks version labels or belongs to
// another request must not become a sample: a guessed version or a partial text
// would corrupt the training step.
TEST_CASE("samples with an invalid engine response are generated again")
{
  training_fixture fixture(1);
  const char* fault = GENERATE(R"("drop_version_labels":true)",
                               R"("truncate_after":4)",
                               R"("wrong_id":true)",
                               R"("fail_status":500)");
  INFO(fault);
  for (const std::size_t engine : { 0, 1 }) {
    fixture.SetBehavior(engine,
                        std::string("{\"fault_count\":3,") + fault + "}");
  }
  const standin::step_report report =
    standin::RunStep(fixture.plan, fixture.options);
  AddReportInfo(report);
  CHECK(report.Correct(fixture.plan));
}
