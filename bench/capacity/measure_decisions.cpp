#include "measure.hpp"

#include <ctime>

#include "pistachioflow/controller/stream.hpp"
#include "sample.hpp"

namespace pistachioflow::capacity {

namespace {

constexpr std::uint32_t WorkerCounts[] = {50, 215, 430, 860};
constexpr std::uint32_t RecordCounts[] = {500, 1'000, 2'000, 4'000};
constexpr std::uint32_t TasksOfWorker = 14;
constexpr std::uint32_t GangTasks = 24;
constexpr std::uint32_t Rounds = 200;
constexpr std::uint32_t Ticks = 1'000;
constexpr double MicrosOfSecond = 1e6;

double processorMicros() {
  timespec Now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Now);
  constexpr double MicrosOfNano = 1e-3;
  return static_cast<double>(Now.tv_sec) * MicrosOfSecond +
         static_cast<double>(Now.tv_nsec) * MicrosOfNano;
}

CellSample fullCell(std::uint32_t Workers) {
  CellSample Cell = emptyCell(Workers);
  fillCell(Cell, Workers * TasksOfWorker, GangTasks);
  return Cell;
}

/// Ends the oldest jobs and submits new ones; three events a round.
double stepMicros(std::uint32_t Workers) {
  CellSample Cell = fullCell(Workers);
  const std::uint32_t Running = Cell.Jobs;
  const double Start = processorMicros();
  for (std::uint32_t I = 0; I < Rounds; ++I) {
    const Instant At{10'000 + I};
    const JobSpec Old = sampleJob(I, GangTasks, 110);
    const JobSpec New = sampleJob(Running + I, GangTasks, 110);
    policy::step(Cell.State, GangFinished{Old.Job, 1}, {}, At);
    policy::step(Cell.State, JobSubmitted{New}, {}, At);
    policy::step(Cell.State, GangStarted{New.Job, 1}, {}, At);
  }
  constexpr double EventsOfRound = 3;
  return (processorMicros() - Start) / (Rounds * EventsOfRound);
}

double tickMicros(std::uint32_t Workers) {
  CellSample Cell = fullCell(Workers);
  const double Start = processorMicros();
  for (std::uint32_t I = 0; I < Ticks; ++I)
    policy::step(Cell.State, TimePassed{}, {}, {20'000 + I});
  return (processorMicros() - Start) / Ticks;
}

double foldMicros(std::uint32_t Count) {
  std::vector<std::string> Encoded;
  for (std::uint32_t I = 0; I < Count; ++I) {
    const JobSpec Spec = sampleJob(I, 1, 110);
    Encoded.push_back(
        encodeRecord({sampleHeader(), FactsObserved{{JobSubmitted{Spec}}}}));
  }
  policy::CellState State;
  const double Start = processorMicros();
  for (const std::string &Bytes : Encoded) {
    const Record Read = decodeRecord(Bytes).value();
    const auto &Facts = std::get<FactsObserved>(Read.What);
    policy::observe(State, Facts.Events.front(), Read.Header.Wall);
  }
  return processorMicros() - Start;
}

template <typename Measure, std::size_t Count>
Slope by(const char *Name, const char *XUnit,
         const std::uint32_t (&Values)[Count], Measure MeasureOne) {
  std::vector<Point> Points;
  for (const std::uint32_t Value : Values)
    Points.push_back({static_cast<double>(Value), MeasureOne(Value)});
  return fit(Name, XUnit, "processor us", std::move(Points));
}

} // namespace

void measureDecisions(Measured &Out) {
  Out.StepMicros = by("one event decided", "workers", WorkerCounts, stepMicros);
  Out.TickMicros = by("one tick", "workers", WorkerCounts, tickMicros);
  Out.FoldMicros =
      by("decoding and folding", "records", RecordCounts, foldMicros);
}

} // namespace pistachioflow::capacity
