#include "pistachioflow/platform/job_codec.hpp"

#include <algorithm>
#include <utility>

#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

constexpr JsonBounds BodyBounds{std::size_t{1} << 20U, 8, false};
constexpr std::size_t MaxSteps = 1'000;
constexpr std::size_t JobIdDigits = 16;
constexpr IntegerRange Amount{0, std::int64_t{1} << 40U};
constexpr IntegerRange TaskRange{1, 100'000};

std::vector<std::int64_t> readAfter(const nlohmann::json &Step,
                                    std::size_t Index, ObjectReader &In) {
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
      In.report("after", "numbers of earlier steps", dumpJson(Entry));
  }
  return Steps;
}

StepSpec readStep(ObjectReader &In) {
  StepSpec Step;
  Step.TaskCount = In.integer("count", TaskRange, 1);
  Step.TaskResources.MilliCores = In.integer("cpu", Amount, 0);
  Step.TaskResources.MemoryMb = In.integer("memory_request_mb", Amount, 0);
  Step.TaskResources.Accelerators = In.integer("gpus", Amount, 0);
  Step.EstimatedMs = In.integer("estimated_duration_ms", Amount, 0);
  Step.Checkpointing = In.flag("checkpointing", false);
  Step.Gang = In.flag("gang", false);
  Step.TightlyCoupled = In.flag("tightly_coupled", false);
  Step.ConcurrentCopies = In.flag("allow_concurrent", false);
  Step.LongRunning = In.flag("long_running", false);
  Step.FillsIdleCpu = In.flag("fills", false);
  Step.RequiredLabel = In.text("requirements", TextRule::Free, "");
  Step.DataRack = In.text("affinity", TextRule::Free, "");
  Step.MaxPerWorker = In.integer("anti_affinity", Amount, 0);
  Step.Image = In.text("image", TextRule::Free, "");
  Step.LatencyTargetMs = In.integer("target_ms", Amount, 0);
  Step.AllowedMissingTasks = In.integer("may_miss", Amount, 0);
  return Step;
}

} // namespace

Result<JobSpec> decodeJobSpec(std::string_view Body) {
  BOOST_OUTCOME_TRY(Document, parseJson(Body, BodyBounds, "body"));
  Findings Found;
  JobSpec Job;
  ObjectReader In(Document, "$", Found);
  Job.Payload = In.text("specification", TextRule::Free, "");
  Job.Occurrences = In.integer("repeat_count", Amount, 0);
  Job.FirstDueWallMs =
      In.integer("start_at_ms", {0, std::int64_t{1} << 53U}, 0);
  Job.IntervalMs = In.integer("interval_ms", Amount, 0);
  std::vector<ObjectReader> Steps = In.objects("steps", MaxSteps);
  for (std::size_t Index = 0; Index < Steps.size(); ++Index) {
    StepSpec Step = readStep(Steps[Index]);
    Step.After = readAfter(Document["steps"][Index], Index, Steps[Index]);
    Job.Steps.push_back(std::move(Step));
  }
  if (Found.empty() && Job.Steps.empty())
    In.report("steps", "at least one step", "none");
  if (!Found.empty())
    return Error{ErrorCode::InvalidInput, "invalid job", Found};
  return Job;
}

std::string encodeJobState(JobPhase Phase) {
  return dumpJson({{"state", std::string(toString(Phase))}});
}

std::string encodeWaiting(std::int64_t Jobs) {
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
