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

/// Two zones with two VMs and an engine each.
class training
{
public:
  explicit training(std::size_t aVmsPerZone = 2, int aEngineVersion = 1)
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
    mCluster.WaitReady();
    const std::string probe =
      R"({"model":"slip-reader","prompt":"p","max_tokens":1,"stream":true})";
    for (std::size_t vm = 0; vm < mCluster.Vms().size(); ++vm) {
      WaitUntil("entry " + std::to_string(vm) + " serves", [&] {
        return harness::Call(
                 mCluster.Entry(vm), "/v1/completions", probe, options.key)
                 .status == 200;
      });
      options.entries.push_back(mCluster.Entry(vm));
    }
    options.version = &version;
    plan = standin::MakeStep("step-1", "slip-reader", 12, 4, 64, 11);
    plan.stalenessBound = 1;
  }

  void Behavior(std::size_t aEngine, const std::string& aText)
  {
    SendJson(mCluster.Targets()[aEngine].Direct(),
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
Explain(const standin::step_report& aReport)
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

// Without the cursor a trainer that posts again receives samples twice.
TEST_CASE("a step posted again without its cursor delivers samples twice")
{
  training step(1);
  standin::step_report naive;
  std::size_t first = 0;
  standin::caller caller(step.options.entries[0], step.options.key, 60);
  const std::string body = WriteJson(standin::WriteStep(step.plan, 1));
  (void)caller.Post("/v1/steps", body, {}, [&](const std::string& aPiece) {
    first +=
      static_cast<std::size_t>(std::count(aPiece.begin(), aPiece.end(), '\n'));
    return first < 5;
  });
  REQUIRE(first >= 5);
  naive = standin::RunStep(step.plan, step.options);
  Explain(naive);
  CHECK(naive.finished);
  CHECK(first + naive.samples.size() > 48);
}

// The delivery state must not live in the process that dies.
TEST_CASE("samples come exactly once through two killed entries")
{
  training step;
  step.options.onSample = [&](std::size_t aCount) {
    if (aCount == 8 || aCount == 24) {
      step.Cluster().Vms()[aCount == 8 ? 0 : 1].entry->Kill();
    }
  };
  const standin::step_report report = standin::RunStep(step.plan, step.options);
  Explain(report);
  CHECK(report.Correct(step.plan));
  CHECK(report.posts >= 3);
}

// A cursor that is accepted for another step would skip samples silently.
TEST_CASE("a cursor of another step or a damaged one is refused")
{
  training step(1);
  const standin::step_report report = standin::RunStep(step.plan, step.options);
  Explain(report);
  REQUIRE(report.Correct(step.plan));
  Json::Value other = standin::WriteStep(
    standin::MakeStep("step-2", "slip-reader", 12, 4, 64, 12), 1);
  other["cursor"] = report.cursor;
  Json::Value damaged = standin::WriteStep(step.plan, 1);
  std::string text = report.cursor;
  text[text.size() / 2] = text[text.size() / 2] == 'A' ? 'B' : 'A';
  damaged["cursor"] = text;
  for (const Json::Value& body : { other, damaged }) {
    const auto reply = harness::Call(
      step.options.entries[0], "/v1/steps", WriteJson(body), step.options.key);
    CHECK(reply.status == 400);
    CHECK(reply.Outcome() == "not_run");
  }
}

// Samples in a crashed engine must be generated again, and only those.
TEST_CASE("samples come exactly once through a crashed engine")
{
  training step(1);
  step.Behavior(0, R"({"crash_after_tokens":200})");
  const standin::step_report report = standin::RunStep(step.plan, step.options);
  Explain(report);
  CHECK(report.Correct(step.plan));
  CHECK(step.Cluster().Targets()[0].process->WaitForExit() == 134);
}

// The version an entry believes to be loaded may be wrong: only what came with
// the tokens counts, and the older of two versions.
TEST_CASE("samples of an old version are never delivered over the bound")
{
  training step(1, 2);
  step.plan.stalenessBound = 0;
  Json::Value document = harness::ExampleDocument("shop", 2);
  document["models"][0]["staleness_bound"] = 0;
  step.Cluster().Apply(document);
  step.version = 2;
  // The load report shows version 2 for a long time while the engine serves
  // version 1 and swaps in mid-stream.
  for (const std::size_t engine : { 0, 1 }) {
    step.Behavior(
      engine, R"({"load_lag_ms":600000,"version":1,"swap_after_tokens":8})");
  }
  const standin::step_report report = standin::RunStep(step.plan, step.options);
  Explain(report);
  CHECK(report.Correct(step.plan));
  CHECK(report.tokensByVersion.count(1) == 0);
}

TEST_CASE("a sample of two versions within the bound has two segments")
{
  training step(1);
  step.version = 2;
  step.Behavior(0, R"({"swap_after_tokens":8})");
  step.Behavior(1, R"({"swap_after_tokens":8})");
  const standin::step_report report = standin::RunStep(step.plan, step.options);
  Explain(report);
  CHECK(report.Correct(step.plan));
  const bool mixed = std::any_of(
    report.samples.begin(), report.samples.end(), [](const auto& aSample) {
      return aSample.second["segments"].size() == 2;
    });
  CHECK(mixed);
}

// Answers that are unlabelled, cut off, of another request or failed are no
// samples; guessing a version or passing on a part would spoil the step.
TEST_CASE("useless answers of engines are generated again")
{
  training step(1);
  const char* fault = GENERATE(R"("drop_version_labels":true)",
                               R"("truncate_after":4)",
                               R"("wrong_id":true)",
                               R"("fail_status":500)");
  INFO(fault);
  for (const std::size_t engine : { 0, 1 }) {
    step.Behavior(engine, std::string("{\"fault_count\":3,") + fault + "}");
  }
  const standin::step_report report = standin::RunStep(step.plan, step.options);
  Explain(report);
  CHECK(report.Correct(step.plan));
}
