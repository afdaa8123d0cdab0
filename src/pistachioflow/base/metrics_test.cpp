#include <catch2/catch.hpp>

#include "pistachioflow/base/metrics.hpp"

using namespace pistachioflow;
using Catch::Matchers::Contains;

TEST_CASE("metrics print in Prometheus text format") {
  MetricRegistry Registry;
  Registry.counter("edits_total").add(2);
  Registry.gauge("queue_length").set(-1);
  for (const double Ms : {0.001, 1.0, 1e9})
    Registry.latency("request_ms").record(Ms);
  const std::string Text = Registry.print();
  const std::string Line =
      GENERATE(as<std::string>{}, "# TYPE edits_total counter\nedits_total 2\n",
               "# TYPE queue_length gauge\nqueue_length -1\n",
               "request_ms_bucket{le=\"0.05\"} 1\n",
               "request_ms_bucket{le=\"+Inf\"} 3\n", "request_ms_count 3\n");
  CHECK_THAT(Text, Contains(Line));
}
