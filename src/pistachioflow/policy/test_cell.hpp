#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "pistachioflow/policy/cell.hpp"
#include "pistachioflow/policy/checker.hpp"

namespace pistachioflow::policy::test {

/// Sizes of a small cell for tests.
struct CellShape {
  std::uint32_t Domains = 1;
  std::uint32_t RacksPerDomain = 2;
  std::uint32_t WorkersPerRack = 2;
  std::uint32_t Accelerators = 8;
  std::uint32_t Cores = 64;
  std::uint32_t MemoryMb = 128'000;
};

/// Returns the workers "d0r0w0" and so on.
inline std::vector<WorkerInfo> workersOf(const CellShape &Size) {
  std::vector<WorkerInfo> Workers;
  for (std::uint32_t D = 0; D < Size.Domains; ++D)
    for (std::uint32_t R = 0; R < Size.RacksPerDomain; ++R)
      for (std::uint32_t W = 0; W < Size.WorkersPerRack; ++W) {
        const std::string Domain = "d" + std::to_string(D);
        const std::string Rack = Domain + "r" + std::to_string(R);
        const std::string Worker = Rack + "w" + std::to_string(W);
        Workers.push_back({{Worker},
                           {Rack},
                           R,
                           {Domain},
                           Size.Cores,
                           Size.MemoryMb,
                           Size.Accelerators});
      }
  return Workers;
}

/// Plans: "gold" (two gangs of one whole worker, ceiling 24) for "chess",
/// "basic" (no guarantee, ceiling 64) for "ratings" and "reports".
inline Lists simpleLists() {
  const GangShape WholeWorker{1, 8, 8, 8'000, Adjacency::SameWorker};
  const LimitsEntry Gold{{"gold"}, {{WholeWorker, 2}}, 24, 4, true, 0, 0};
  const LimitsEntry Basic{{"basic"}, {}, 64, 1, false, 0, 0};
  return {{1,
           {{{"chess"}, {"gold"}},
            {{"ratings"}, {"basic"}},
            {{"reports"}, {"basic"}}}},
          {1, {Gold, Basic}}};
}

inline JobSpec jobOf(const std::string &Name, const std::string &Workspace,
                     std::uint32_t Tasks, std::uint32_t AcceleratorsPerTask,
                     Adjacency Near = Adjacency::SameRack) {
  return {{Name},    {Workspace}, {Tasks, AcceleratorsPerTask, 1, 1'000, Near},
          {600'000}, false,       false};
}

/// A cell in virtual time that is checked after every event.
struct TestCell {
  CellState State;
  Settings Prefer;
  Instant Now{1'000};
  std::vector<Decision> Last;
  Checker Check{Settings{}};

  explicit TestCell(const CellShape &Size, const Lists &Configuration) {
    for (const WorkerInfo &Worker : workersOf(Size))
      this->tell(WorkerJoined{Worker});
    this->tell(ListsChanged{Configuration});
  }

  std::vector<Decision> &tell(const Event &Fact) {
    this->Check.observeEvent(Fact, this->Now);
    this->Last = step(this->State, Fact, this->Prefer, this->Now);
    for (const Decision &Made : this->Last)
      this->Check.checkDecision(Made, this->Now);
    this->Check.checkState(this->State, this->Now);
    if (!this->Check.violations().empty())
      throw std::logic_error(formatFindings(this->Check.violations()));
    return this->Last;
  }

  std::vector<Decision> &pass(Duration Time) {
    this->Now = this->Now + Time;
    return this->tell(TimePassed{});
  }

  const JobState &job(const std::string &Name) const {
    return this->State.Jobs.at({Name});
  }

  /// Submits the job and reports its start.
  void run(const JobSpec &Spec) {
    this->tell(JobSubmitted{Spec});
    this->started(Spec.Job.Value);
  }

  void started(const std::string &Name) {
    this->tell(GangStarted{{Name}, this->job(Name).Try});
  }
  void finished(const std::string &Name) {
    this->tell(GangFinished{{Name}, this->job(Name).Try});
  }
  void stopped(const std::string &Name) {
    this->tell(GangStopped{{Name}, this->job(Name).Try});
  }
  void failed(const std::string &Name, const std::string &Worker) {
    this->tell(GangFailed{{Name}, this->job(Name).Try, {Worker}});
  }

  /// Returns the codes of the last decisions of type \p Action.
  template <typename Action> std::vector<ReasonCode> codes() const {
    std::vector<ReasonCode> Codes;
    for (const Decision &Made : this->Last)
      if (std::holds_alternative<Action>(Made.What))
        Codes.push_back(Made.Why.Code);
    return Codes;
  }

  /// Returns the last decision of type \p Action, or null.
  template <typename Action> const Action *find() const {
    const Action *Found = nullptr;
    for (const Decision &Made : this->Last)
      if (const auto *What = std::get_if<Action>(&Made.What))
        Found = What;
    return Found;
  }
};

} // namespace pistachioflow::policy::test
