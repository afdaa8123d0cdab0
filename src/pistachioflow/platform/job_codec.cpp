#include "pistachioflow/platform/job_codec.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

constexpr JsonBounds BodyBounds{std::size_t{1} << 20U, 8, false};
constexpr std::size_t MaxSteps = 1'000;
constexpr std::size_t JobIdDigits = 16;
constexpr IntegerRange AmountRange{0, std::int64_t{1} << 40U};
constexpr IntegerRange TaskRange{1, MaxTasksPerJob};

std::vector<std::int64_t> readAfter(const nlohmann::json &Step,
                                    std::size_t Index, ObjectReader &Reader) {
  std::vector<std::int64_t> Steps;
  const auto List = Step.find("after");
  if (List == Step.end())
    return Steps;
  for (const nlohmann::json &Entry : *List) {
    const bool Earlier =
        Entry.is_number_integer() && Entry.get<std::int64_t>() >= 0 &&
        Entry.get<std::int64_t>() < static_cast<std::int64_t>(Index);
    if (Earlier)
      Steps.push_back(Entry.get<std::int64_t>());
    else
      Reader.report("after", "numbers of earlier steps", dumpJson(Entry));
  }
  return Steps;
}

StepSpec readStep(ObjectReader &Reader) {
  StepSpec Step;
  Step.TaskCount = Reader.integer("count", TaskRange, 1);
  Step.TaskResources.MilliCores = Reader.integer("cpu", AmountRange, 0);
  Step.TaskResources.MemoryMb =
      Reader.integer("memory_request_mb", AmountRange, 0);
  Step.TaskResources.Accelerators = Reader.integer("gpus", AmountRange, 0);
  Step.EstimatedMs = Reader.integer("estimated_duration_ms", AmountRange, 0);
  Step.Checkpointing = Reader.flag("checkpointing", false);
  Step.Gang = Reader.flag("gang", false);
  Step.TightlyCoupled = Reader.flag("tightly_coupled", false);
  Step.ConcurrentCopies = Reader.flag("allow_concurrent", false);
  Step.LongRunning = Reader.flag("long_running", false);
  Step.FillsIdleCpu = Reader.flag("fills", false);
  Step.RequiredLabel = Reader.text("requirements", TextRule::Free, "");
  Step.DataRack = Reader.text("affinity", TextRule::Free, "");
  Step.MaxPerWorker = Reader.integer("anti_affinity", AmountRange, 0);
  Step.Image = Reader.text("image", TextRule::Free, "");
  Step.LatencyTargetMs = Reader.integer("target_ms", AmountRange, 0);
  Step.AllowedMissingTasks = Reader.integer("may_miss", AmountRange, 0);
  return Step;
}

/// Reports what is larger than any owner should hold.
void checkSize(const JobSpec &Job, ObjectReader &Reader) {
  std::int64_t Tasks = 0;
  for (const StepSpec &Step : Job.Steps) {
    Tasks += Step.TaskCount;
    if (Step.Gang && Step.TaskCount > MaxGangSize)
      Reader.report(
          "steps", "gangs of at most " + std::to_string(MaxGangSize) + " tasks",
          std::to_string(Step.TaskCount));
  }
  const std::int64_t Occurrences = std::max<std::int64_t>(Job.Occurrences, 1);
  if (Tasks > MaxTasksPerJob / Occurrences)
    Reader.report("steps",
                  "at most " + std::to_string(MaxTasksPerJob) +
                      " tasks in all steps and occurrences",
                  std::to_string(Tasks) + " in each of " +
                      std::to_string(Occurrences));
}

} // namespace

Result<JobSpec> decodeJobSpec(std::string_view Body) {
  BOOST_OUTCOME_TRY(Document, parseJson(Body, BodyBounds, "body"));
  Findings Problems;
  JobSpec Job;
  ObjectReader Reader(Document, "$", Problems);
  Job.Payload = Reader.text("specification", TextRule::Free, "");
  Job.Occurrences = Reader.integer("repeat_count", AmountRange, 0);
  Job.FirstDueWallMs =
      Reader.integer("start_at_ms", {0, std::int64_t{1} << 53U}, 0);
  Job.IntervalMs = Reader.integer("interval_ms", AmountRange, 0);
  std::vector<ObjectReader> Steps = Reader.objects("steps", MaxSteps);
  for (std::size_t Index = 0; Index < Steps.size(); ++Index) {
    StepSpec Step = readStep(Steps[Index]);
    Step.After = readAfter(Document["steps"][Index], Index, Steps[Index]);
    Job.Steps.push_back(std::move(Step));
  }
  if (Problems.empty() && Job.Steps.empty())
    Reader.report("steps", "at least one step", "none");
  checkSize(Job, Reader);
  if (!Problems.empty())
    return Error{ErrorCode::InvalidInput, "invalid job", Problems};
  return Job;
}

std::string encodeJobState(JobPhase Phase) {
  return dumpJson({{"state", std::string(toString(Phase))}});
}

std::string encodeWaitingJobs(std::int64_t Jobs) {
  return dumpJson({{"waiting", Jobs}});
}

bool isJobId(std::string_view Text) {
  const auto IsHex = [](char Digit) {
    return (Digit >= '0' && Digit <= '9') || (Digit >= 'a' && Digit <= 'f') ||
           (Digit >= 'A' && Digit <= 'F');
  };
  return Text.size() == JobIdDigits && std::ranges::all_of(Text, IsHex);
}

std::string_view callerKey(std::string_view Authorization) {
  constexpr std::string_view Scheme = "Bearer ";
  if (!Authorization.starts_with(Scheme))
    return {};
  return Authorization.substr(Scheme.size());
}

} // namespace pistachioflow
