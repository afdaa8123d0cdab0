#include "pistachioflow/codec/model_json.hpp"

namespace pistachioflow {

namespace {

using nlohmann::json;

constexpr IntegerRange RuntimeMs{1, 366LL * 24 * 3'600 * 1'000};
constexpr IntegerRange CountRange{0, 100'000'000};
constexpr IntegerRange TaskRange{1, 10'000};

std::uint32_t readNumber(ObjectReader &In, std::string_view Key,
                         IntegerRange Range) {
  return static_cast<std::uint32_t>(In.integer(Key, Range));
}

} // namespace

json toJson(const JobSpec &Value) {
  return {{"job", Value.Job.Value},
          {"workspace", Value.Workspace.Value},
          {"shape", toJson(Value.Shape)},
          {"declared_runtime_ms", Value.DeclaredRuntime.Ms},
          {"urgent", Value.Urgent},
          {"checkpointable", Value.Checkpointable}};
}

JobSpec readJobSpec(ObjectReader In) {
  JobSpec Value;
  Value.Job.Value = In.text("job", TextRule::Identifier);
  Value.Workspace.Value = In.text("workspace", TextRule::Identifier);
  Value.Shape = readGangShape(In.object("shape"));
  Value.DeclaredRuntime.Ms = In.integer("declared_runtime_ms", RuntimeMs);
  Value.Urgent = In.flag("urgent", false);
  Value.Checkpointable = In.flag("checkpointable", false);
  In.finish();
  return Value;
}

json toJson(const Placement &Value) {
  return {{"worker", Value.Worker.Value}, {"tasks", Value.Tasks}};
}

Placement readPlacement(ObjectReader In) {
  Placement Value;
  Value.Worker.Value = In.text("worker", TextRule::Identifier);
  Value.Tasks = readNumber(In, "tasks", TaskRange);
  In.finish();
  return Value;
}

json toJson(const WorkerInfo &Value) {
  return {{"worker", Value.Worker.Value},
          {"rack", Value.Rack.Value},
          {"rack_position", Value.RackPosition},
          {"failure_domain", Value.Domain.Value},
          {"cores", Value.Cores},
          {"memory_mb", Value.MemoryMb},
          {"accelerators", Value.Accelerators}};
}

WorkerInfo readWorkerInfo(ObjectReader In) {
  WorkerInfo Value;
  Value.Worker.Value = In.text("worker", TextRule::Identifier);
  Value.Rack.Value = In.text("rack", TextRule::Identifier);
  Value.RackPosition = readNumber(In, "rack_position", CountRange);
  Value.Domain.Value = In.text("failure_domain", TextRule::Identifier);
  Value.Cores = readNumber(In, "cores", CountRange);
  Value.MemoryMb = readNumber(In, "memory_mb", CountRange);
  Value.Accelerators = readNumber(In, "accelerators", CountRange);
  In.finish();
  return Value;
}

} // namespace pistachioflow
