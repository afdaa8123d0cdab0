#include "pistachioflow/codec/enum_names.hpp"

#include <array>
#include <vector>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/codec/reason_table.hpp"
#include "pistachioflow/codec/settings.hpp"
#include "pistachioflow/model/job.hpp"
#include "pistachioflow/model/lists.hpp"
#include "pistachioflow/model/request.hpp"
#include "pistachioflow/model/timeline.hpp"

namespace pistachioflow {

template <> std::span<const EnumName<Adjacency>> enumNames<Adjacency>() {
  static constexpr auto Names = std::to_array<EnumName<Adjacency>>({
      {Adjacency::SameWorker, "same_worker"},
      {Adjacency::SameRack, "same_rack"},
      {Adjacency::NeighbourRacks, "neighbour_racks"},
      {Adjacency::SameDomain, "same_domain"},
  });
  return Names;
}

template <> std::span<const EnumName<RequestClass>> enumNames<RequestClass>() {
  static const auto Names = std::to_array<EnumName<RequestClass>>({
      {RequestClass::RoundPairing, toString(RequestClass::RoundPairing)},
      {RequestClass::TiebreakReport, toString(RequestClass::TiebreakReport)},
      {RequestClass::RatingRecalculation,
       toString(RequestClass::RatingRecalculation)},
  });
  return Names;
}

template <> std::span<const EnumName<RequestState>> enumNames<RequestState>() {
  static const auto Names = std::to_array<EnumName<RequestState>>({
      {RequestState::Done, toString(RequestState::Done)},
      {RequestState::NotRun, toString(RequestState::NotRun)},
      {RequestState::Unknown, toString(RequestState::Unknown)},
  });
  return Names;
}

template <> std::span<const EnumName<JobPhase>> enumNames<JobPhase>() {
  static const auto Names = std::to_array<EnumName<JobPhase>>({
      {JobPhase::Queued, toString(JobPhase::Queued)},
      {JobPhase::Starting, toString(JobPhase::Starting)},
      {JobPhase::Running, toString(JobPhase::Running)},
      {JobPhase::Stopping, toString(JobPhase::Stopping)},
      {JobPhase::Finished, toString(JobPhase::Finished)},
      {JobPhase::Failed, toString(JobPhase::Failed)},
      {JobPhase::Cancelled, toString(JobPhase::Cancelled)},
      {JobPhase::Refused, toString(JobPhase::Refused)},
  });
  return Names;
}

template <> std::span<const EnumName<SubjectKind>> enumNames<SubjectKind>() {
  static constexpr auto Names = std::to_array<EnumName<SubjectKind>>({
      {SubjectKind::Job, "job"},
      {SubjectKind::Request, "request"},
      {SubjectKind::Workspace, "workspace"},
      {SubjectKind::Worker, "worker"},
      {SubjectKind::Runner, "runner"},
      {SubjectKind::Instance, "instance"},
      {SubjectKind::Cell, "cell"},
      {SubjectKind::List, "list"},
  });
  return Names;
}

template <> std::span<const EnumName<ListKind>> enumNames<ListKind>() {
  static constexpr auto Names = std::to_array<EnumName<ListKind>>({
      {ListKind::Plans, "plans"},
      {ListKind::Limits, "limits"},
  });
  return Names;
}

template <> std::span<const EnumName<Measure>> enumNames<Measure>() {
  static constexpr auto Names = std::to_array<EnumName<Measure>>({
      {Measure::AcceleratorsAsked, "accelerators_asked"},
      {Measure::AcceleratorsFree, "accelerators_free"},
      {Measure::AcceleratorsUsed, "accelerators_used"},
      {Measure::Ceiling, "ceiling"},
      {Measure::GuaranteedAccelerators, "guaranteed_accelerators"},
      {Measure::WaitedMs, "waited_ms"},
      {Measure::LostWorkMs, "lost_work_ms"},
      {Measure::DeadlineMs, "deadline_ms"},
      {Measure::Attempts, "attempts"},
      {Measure::WorkersTried, "workers_tried"},
      {Measure::Failures, "failures"},
      {Measure::Epoch, "epoch"},
      {Measure::QueueLength, "queue_length"},
      {Measure::LargestFreeBlock, "largest_free_block"},
      {Measure::RequestsInFlight, "requests_in_flight"},
      {Measure::RequestLimit, "request_limit"},
      {Measure::CheckpointAgeMs, "checkpoint_age_ms"},
      {Measure::ReservedAtMs, "reserved_at_ms"},
      {Measure::ExpectedRuntimeMs, "expected_runtime_ms"},
      {Measure::Preemptions, "preemptions"},
      {Measure::Workers, "workers"},
      {Measure::Homes, "homes"},
  });
  return Names;
}

template <> std::span<const EnumName<ReasonCode>> enumNames<ReasonCode>() {
  static const auto Names = [] {
    std::vector<EnumName<ReasonCode>> All;
    for (const ReasonText &Row : reasonTable())
      All.push_back({Row.Code, Row.Name});
    return All;
  }();
  return Names;
}

template <> std::span<const EnumName<PolicyPreset>> enumNames<PolicyPreset>() {
  static constexpr auto Names = std::to_array<EnumName<PolicyPreset>>({
      {PolicyPreset::Chess, "chess"},
      {PolicyPreset::Curing, "curing"},
  });
  return Names;
}

template <> std::span<const EnumName<LogLevel>> enumNames<LogLevel>() {
  static constexpr auto Names = std::to_array<EnumName<LogLevel>>({
      {LogLevel::Debug, "debug"},
      {LogLevel::Info, "info"},
      {LogLevel::Warning, "warning"},
      {LogLevel::Error, "error"},
  });
  return Names;
}

} // namespace pistachioflow
