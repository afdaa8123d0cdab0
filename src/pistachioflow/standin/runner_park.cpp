#include "pistachioflow/standin/runner_park.hpp"

namespace pistachioflow::standin {

void RunnerPark::addRunner(const RunnerInfo &Info) {
  const std::lock_guard Guard(this->Lock);
  this->Runners[Info.Runner].Info = Info;
}

std::vector<RunnerInfo> RunnerPark::runners() const {
  const std::lock_guard Guard(this->Lock);
  std::vector<RunnerInfo> All;
  for (const auto &[Name, Target] : this->Runners)
    All.push_back(Target.Info);
  return All;
}

bool RunnerPark::knows(const RunnerId &Name) const {
  const std::lock_guard Guard(this->Lock);
  return this->Runners.contains(Name);
}

std::optional<std::size_t>
RunnerPark::begin(const RunnerId &Name, const RunnerCall &Call, Instant Now) {
  const std::lock_guard Guard(this->Lock);
  const auto At = this->Runners.find(Name);
  if (At == this->Runners.end() || At->second.Busy >= At->second.Info.Slots)
    return std::nullopt;
  ++At->second.Busy;
  this->Runs.push_back({Name, Call.Request, Call.Workspace, Call.Key,
                        Call.NonIdempotent, Now, Now, false});
  return this->Runs.size() - 1;
}

void RunnerPark::end(std::size_t Number, Instant Now) {
  const std::lock_guard Guard(this->Lock);
  RequestRun &Run = this->Runs[Number];
  if (Run.Ended)
    return;
  Run.To = Now;
  Run.Ended = true;
  --this->Runners[Run.Runner].Busy;
}

std::vector<RequestRun> RunnerPark::runs() const {
  const std::lock_guard Guard(this->Lock);
  return this->Runs;
}

} // namespace pistachioflow::standin
