#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachioflow {

/// A metric that only increases. Thread safety: any thread may call any method.
class Counter {
public:
  void add(std::uint64_t Amount = 1) { this->Sum += Amount; }
  std::uint64_t value() const { return this->Sum.load(); }

private:
  std::atomic<std::uint64_t> Sum{0};
};

/// A metric that can go up and down. Thread safety: any thread may call any
/// method.
class Gauge {
public:
  void set(std::int64_t Value) { this->Current = Value; }
  std::int64_t value() const { return this->Current.load(); }

private:
  std::atomic<std::int64_t> Current{0};
};

/// A distribution of durations in milliseconds, on a logarithmic scale.
/// Thread safety: any thread may call any method.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &) = delete;
  LatencyHistogram &operator=(const LatencyHistogram &) = delete;

  void record(double Milliseconds);

  /// Appends the buckets in Prometheus text format.
  void print(std::string &Text, std::string_view Name) const;

private:
  struct Buckets;
  std::unique_ptr<Buckets> Data;
};

/// Owns the metrics of a process by name. Each method creates the metric at its
/// first use. References stay valid for the lifetime of the registry. Thread
/// safety: any thread may call any method.
class MetricRegistry {
public:
  Counter &counter(const std::string &Name);
  Gauge &gauge(const std::string &Name);
  LatencyHistogram &latency(const std::string &Name);

  /// Returns every metric in Prometheus text format.
  std::string print() const;

private:
  mutable std::mutex Lock;
  std::map<std::string, Counter> Counters;
  std::map<std::string, Gauge> Gauges;
  std::map<std::string, LatencyHistogram> Latencies;
};

} // namespace pistachioflow
