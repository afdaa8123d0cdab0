#include "pistachioflow/base/metrics.hpp"

#include <sstream>

#include <boost/histogram.hpp>

namespace pistachioflow {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned BucketCount = 40;
constexpr double LowestMs = 0.05;
constexpr double HighestMs = 60'000;

auto makeBuckets() {
  using LogAxis =
      histogram::axis::regular<double, histogram::axis::transform::log>;
  return histogram::make_histogram(LogAxis(BucketCount, LowestMs, HighestMs));
}

} // namespace

struct LatencyHistogram::Buckets {
  mutable std::mutex Lock;
  decltype(makeBuckets()) Counts = makeBuckets();
  double SumMs = 0;
};

LatencyHistogram::LatencyHistogram() : Data(std::make_unique<Buckets>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(double Milliseconds) {
  const std::lock_guard Guard(this->Data->Lock);
  this->Data->Counts(Milliseconds);
  this->Data->SumMs += Milliseconds;
}

void LatencyHistogram::print(std::string &Text, std::string_view Name) const {
  const std::lock_guard Guard(this->Data->Lock);
  std::ostringstream Out;
  Out << "# TYPE " << Name << " histogram\n";
  double Total = 0;
  for (auto &&Bucket :
       histogram::indexed(this->Data->Counts, histogram::coverage::all)) {
    Total += *Bucket;
    const bool IsOverflow = Bucket.index(0) == static_cast<int>(BucketCount);
    if (IsOverflow)
      break;
    Out << Name << "_bucket{le=\"" << Bucket.bin(0).upper() << "\"} " << Total
        << "\n";
  }
  Out << Name << "_bucket{le=\"+Inf\"} " << Total << "\n"
      << Name << "_sum " << this->Data->SumMs << "\n"
      << Name << "_count " << Total << "\n";
  Text += Out.str();
}

Counter &MetricRegistry::counter(const std::string &Name) {
  const std::lock_guard Guard(this->Lock);
  return this->Counters[Name];
}

Gauge &MetricRegistry::gauge(const std::string &Name) {
  const std::lock_guard Guard(this->Lock);
  return this->Gauges[Name];
}

LatencyHistogram &MetricRegistry::latency(const std::string &Name) {
  const std::lock_guard Guard(this->Lock);
  return this->Latencies[Name];
}

std::string MetricRegistry::print() const {
  const std::lock_guard Guard(this->Lock);
  std::string Text;
  for (const auto &[Name, Metric] : this->Counters) {
    Text += "# TYPE " + Name + " counter\n";
    Text += Name + " " + std::to_string(Metric.value()) + "\n";
  }
  for (const auto &[Name, Metric] : this->Gauges) {
    Text += "# TYPE " + Name + " gauge\n";
    Text += Name + " " + std::to_string(Metric.value()) + "\n";
  }
  for (const auto &[Name, Metric] : this->Latencies)
    Metric.print(Text, Name);
  return Text;
}

} // namespace pistachioflow
