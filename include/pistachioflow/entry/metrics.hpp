#pragma once

#include <string>

#include "pistachioflow/base/metrics.hpp"

namespace pistachioflow {

/// The metrics of an entry instance.
/// Thread safety: as MetricRegistry.
struct EntryMetrics {
  MetricRegistry Registry;

  Counter &SubmitsAccepted = Registry.counter("submits_accepted_total");
  Counter &SubmitsRefused = Registry.counter("submits_refused_total");
  Counter &SubmitsUnknown = Registry.counter("submits_unknown_total");
  Counter &CallsFiltered = Registry.counter("calls_filtered_total");
  Counter &StatesAnswered = Registry.counter("states_answered_total");
  Counter &StatesUnknown = Registry.counter("states_unknown_total");
  Counter &CancelsAccepted = Registry.counter("cancels_accepted_total");
  Counter &CancelsEarly = Registry.counter("cancels_early_total");
  Counter &AppendsFailed = Registry.counter("store_appends_failed_total");
  Counter &Appends = Registry.counter("store_appends_total");
  Counter &StoreProbes = Registry.counter("store_probes_total");
  Counter &AppendedBytes = Registry.counter("store_appended_bytes_total");
  Counter &Reads = Registry.counter("store_reads_total");
  Counter &ReadsFailed = Registry.counter("store_reads_failed_total");
  Counter &RunsStarted = Registry.counter("runs_started_total");
  Counter &StartsRefused = Registry.counter("starts_refused_total");
  Counter &StartsEvacuated = Registry.counter("starts_evacuated_total");
  Counter &PlacementsByPace = Registry.counter("placements_by_pace_total");
  Counter &RunsEnded = Registry.counter("runs_ended_total");
  Counter &RunsLost = Registry.counter("runs_lost_total");
  Counter &RunsCrashed = Registry.counter("runs_crashed_total");
  Counter &Preemptions = Registry.counter("preemptions_total");
  Counter &WastedPreemptions = Registry.counter("preemptions_wasted_total");
  Counter &Holds = Registry.counter("worker_holds_total");
  Counter &HoldsFailed = Registry.counter("worker_holds_failed_total");
  Counter &JobsEnded = Registry.counter("jobs_ended_total");
  Counter &OwnershipsGained = Registry.counter("ownership_gained_total");
  Gauge &UnitsWaiting = Registry.gauge("units_waiting");
  Gauge &OwnerEpoch = Registry.gauge("owner_epoch");
  Gauge &DesiredVersion = Registry.gauge("desired_state_version");
  Gauge &DomainsEvacuated = Registry.gauge("domains_evacuated");
  Gauge &CallerMemory = Registry.gauge("caller_connection_bytes");
  Gauge &ClosedForMemory = Registry.gauge("connections_closed_for_memory");
  Gauge &ClosedForRoom = Registry.gauge("connections_closed_for_room");
  Gauge &PaceSpread = Registry.gauge("worker_pace_spread_percent");
  Gauge &LogLinesDropped = Registry.gauge("log_lines_dropped");
  LatencyHistogram &SubmitMs = Registry.latency("submit_ms");
  LatencyHistogram &AppendMs = Registry.latency("store_append_ms");
  LatencyHistogram &UnitWaitMs = Registry.latency("unit_wait_ms");
  LatencyHistogram &RunStartMs = Registry.latency("run_start_ms");
  LatencyHistogram &RoundMs = Registry.latency("scheduling_round_ms");
  LatencyHistogram &StateLoadMs = Registry.latency("state_load_ms");
  LatencyHistogram &JobMs = Registry.latency("job_ms");
};

/// Returns the metrics of this process.
inline EntryMetrics &entryMetrics() {
  static EntryMetrics Metrics;
  return Metrics;
}

} // namespace pistachioflow
