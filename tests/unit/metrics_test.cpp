#include "arbutusferry/metrics.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>

using namespace arbutusferry;

// Guards against output that Prometheus cannot parse and against buckets that
// are not cumulative.
TEST_CASE("Metrics are written in the Prometheus text format")
{
  metrics_registry metrics;
  metrics.Count("calls_total", { { "tenant", "a\"b\\c\nd" } }, 2);
  metrics.Count("calls_total", { { "tenant", "a\"b\\c\nd" } });
  metrics.SetGauge("age", {}, 1.5);
  for (int i = 1; i <= 100; ++i) {
    metrics.Observe("wait_seconds", { { "class", "x" } }, i * 0.01);
  }
  metrics.Observe("wait_seconds",
                  { { "class", "x" } },
                  std::numeric_limits<double>::quiet_NaN());
  const std::string text = metrics.Export();
  for (const char* line : {
         "# TYPE calls_total counter\n",
         "calls_total{tenant=\"a\\\"b\\\\c\\nd\"} 3\n",
         "# TYPE age gauge\nage 1.5\n",
         "# TYPE wait_seconds histogram\n",
         "wait_seconds_bucket{class=\"x\",le=\"0.01\"} 1\n",
         "wait_seconds_bucket{class=\"x\",le=\"0.5\"} 50\n",
         "wait_seconds_bucket{class=\"x\",le=\"2400\"} 100\n",
         "wait_seconds_bucket{class=\"x\",le=\"+Inf\"} 100\n",
         "wait_seconds_count{class=\"x\"} 100\n",
         "wait_seconds_quantile{class=\"x\",quantile=\"1\"} 1\n",
       }) {
    CHECK_THAT(text, Catch::Contains(line));
  }
}

// Guards against memory use that grows with label values chosen by callers.
TEST_CASE("The number of label sets is bounded")
{
  metrics_registry metrics;
  for (int i = 0; i < 1000; ++i) {
    metrics.Count("calls_total", { { "tenant", std::to_string(i) } });
  }
  const std::string text = metrics.Export();
  CHECK_THAT(text, Catch::Contains("calls_total{tenant=\"other\"} 744\n"));
  CHECK(std::count(text.begin(), text.end(), '\n') == 258);
}
