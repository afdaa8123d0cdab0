#include "scenario.hpp"

#include <filesystem>

#include <unistd.h>

namespace pistachioflow {

std::string folder(const std::string &Name) {
  return (std::filesystem::temp_directory_path() /
          ("pistachioflow-" + Name + "-" + std::to_string(::getpid())))
      .string();
}

asio::awaitable<void> waitForOwner(Fleet &Daemons) {
  if (!co_await Daemons.waitUntil(
          [&Daemons] { return Daemons.ownerIndex() >= 0; }, StartLimit))
    Daemons.recordViolation("no owner");
}

asio::awaitable<void> expectCompleted(Fleet &Daemons,
                                      std::vector<SubmittedJob> &Jobs) {
  for (const SubmittedJob &Job : Jobs) {
    if (!Job.Accepted) {
      Daemons.recordViolation("not accepted: " + Job.Id);
      continue;
    }
    const std::string State = co_await Daemons.waitForEnd(Job.Id, EndLimit);
    if (State != "completed")
      Daemons.recordViolation(Job.Id + " is shown as '" + State + "'");
  }
}

std::vector<SubmittedJob> mixedJobs(std::size_t Count, std::int64_t WorkMs) {
  std::vector<SubmittedJob> Jobs;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    TaskScript Script;
    Script.WorkMs = WorkMs;
    Script.FailingRuns = Index % 4 == 3 ? 1 : 0;
    Jobs.push_back(makeJob(Index + 1, 1 + static_cast<std::int64_t>(Index % 5),
                           Index % 2 == 1, Script));
  }
  return Jobs;
}

asio::awaitable<void> submitAll(Fleet &Daemons,
                                std::vector<SubmittedJob> &Jobs) {
  for (std::size_t Index = 0; Index < Jobs.size(); ++Index)
    co_await Daemons.submit(Jobs[Index], Index, 50);
}

} // namespace pistachioflow
