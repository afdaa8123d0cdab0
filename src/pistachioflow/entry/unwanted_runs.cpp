#include "pistachioflow/entry/unwanted_runs.hpp"

namespace pistachioflow {

std::vector<RunningTask>
UnwantedRuns::update(std::span<const RunningTask> Reported, Instant Now) {
  std::map<RunName, Instant> Current;
  std::vector<RunningTask> ToStop;
  for (const RunningTask &Entry : Reported) {
    const RunName Name{Entry.Task, Entry.Run};
    const auto Known = this->RepeatAt.find(Name);
    const Instant At =
        Known == this->RepeatAt.end() ? Instant{} : Known->second;
    Current[Name] = At;
    if (At <= Now)
      ToStop.push_back(Entry);
  }
  this->RepeatAt = std::move(Current);
  return ToStop;
}

void UnwantedRuns::stopAccepted(const std::string &Task, std::int64_t Run,
                                Instant RepeatAt) {
  const auto Known = this->RepeatAt.find({Task, Run});
  if (Known != this->RepeatAt.end())
    Known->second = RepeatAt;
}

} // namespace pistachioflow
