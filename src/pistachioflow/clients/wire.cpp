#include "pistachioflow/clients/wire.hpp"

#include <msgpack.hpp>

#include "pistachioflow/base/bounded_msgpack.hpp"

namespace pistachioflow {

namespace {

using nlohmann::json;

constexpr IntegerRange PortRange{0, 65'535};
constexpr IntegerRange CountRange{0, 100'000'000};
constexpr std::size_t MaxTasks = 100'000;

struct PackedEntry {
  Offset At = 0;
  std::string Bytes;
  MSGPACK_DEFINE(At, Bytes)
};

struct PackedPage {
  std::vector<PackedEntry> Entries;
  Offset First = 0;
  Offset Next = 0;
  MSGPACK_DEFINE(Entries, First, Next)
};

std::uint32_t readCount(ObjectReader &In, std::string_view Key) {
  return static_cast<std::uint32_t>(In.integer(Key, CountRange));
}

std::uint16_t readPort(ObjectReader &In, std::string_view Key) {
  return static_cast<std::uint16_t>(In.integer(Key, PortRange));
}

} // namespace

std::string encodePage(const LogPage &Value) {
  PackedPage Packed{{}, Value.First, Value.Next};
  Packed.Entries.reserve(Value.Entries.size());
  for (const LogEntry &Entry : Value.Entries)
    Packed.Entries.push_back({Entry.At, Entry.Bytes});
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Packed);
  return {Buffer.data(), Buffer.size()};
}

Result<LogPage> decodePage(std::string_view Bytes) {
  if (!isBoundedMsgpack(Bytes))
    return Error{ErrorCode::InvalidInput, "damaged page of the log", {}};
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    auto Packed = Handle.get().as<PackedPage>();
    LogPage Page{{}, Packed.First, Packed.Next};
    Page.Entries.reserve(Packed.Entries.size());
    for (PackedEntry &Entry : Packed.Entries)
      Page.Entries.push_back({Entry.At, std::move(Entry.Bytes)});
    return Page;
  } catch (const std::exception &Fault) {
    return Error{ErrorCode::InvalidInput,
                 std::string("damaged page of the log: ") + Fault.what(),
                 {}};
  }
}

json toJson(const ListedInstance &Value) {
  return {{"instance", Value.Instance.Value},
          {"failure_domain", Value.Domain.Value},
          {"host", Value.Host},
          {"http_port", Value.HttpPort},
          {"peer_port", Value.PeerPort},
          {"leaving", Value.Leaving}};
}

ListedInstance readListedInstance(ObjectReader In) {
  ListedInstance Read;
  Read.Instance.Value = In.text("instance", TextRule::Identifier);
  Read.Domain.Value = In.text("failure_domain", TextRule::Identifier);
  Read.Host = In.text("host", TextRule::Host);
  Read.HttpPort = readPort(In, "http_port");
  Read.PeerPort = readPort(In, "peer_port");
  Read.Leaving = In.flag("leaving", false);
  In.finish();
  return Read;
}

json toJson(const RunnerInfo &Value) {
  return {{"runner", Value.Runner.Value},
          {"failure_domain", Value.Domain.Value},
          {"slots", Value.Slots},
          {"leaving", Value.Leaving}};
}

RunnerInfo readRunnerInfo(ObjectReader In) {
  RunnerInfo Read;
  Read.Runner.Value = In.text("runner", TextRule::Identifier);
  Read.Domain.Value = In.text("failure_domain", TextRule::Identifier);
  Read.Slots = readCount(In, "slots");
  Read.Leaving = In.flag("leaving", false);
  In.finish();
  return Read;
}

json toJson(const WorkerOrder &Value) {
  return {{"kind", nameOf(Value.Kind)},   {"cell", Value.Cell.Value},
          {"epoch", Value.Fence},         {"job", Value.Job.Value},
          {"attempt", Value.Try},         {"tasks", Value.Tasks},
          {"shape", toJson(Value.Shape)}, {"lease_ms", Value.Lease.Ms},
          {"cores", Value.Cores}};
}

WorkerOrder readWorkerOrder(ObjectReader In) {
  WorkerOrder Read;
  Read.Kind = In.choice<OrderKind>("kind");
  Read.Cell.Value = In.text("cell", TextRule::Identifier);
  Read.Fence = static_cast<Epoch>(In.integer("epoch", {}));
  Read.Job.Value = In.text("job", TextRule::Identifier);
  Read.Try = readCount(In, "attempt");
  Read.Tasks = readCount(In, "tasks");
  Read.Shape = readGangShape(In.object("shape"));
  Read.Lease.Ms = In.integer("lease_ms", {});
  Read.Cores = readCount(In, "cores");
  In.finish();
  return Read;
}

namespace {

json toJson(const ReportedTasks &Value) {
  return {
      {"job", Value.Job.Value},          {"attempt", Value.Try},
      {"phase", nameOf(Value.Phase)},    {"tasks", Value.Tasks},
      {"cores_used", Value.CoresUsed},   {"memory_mb_used", Value.MemoryMbUsed},
      {"checkpoints", Value.Checkpoints}};
}

ReportedTasks readReportedTasks(ObjectReader In) {
  ReportedTasks Read;
  Read.Job.Value = In.text("job", TextRule::Identifier);
  Read.Try = readCount(In, "attempt");
  Read.Phase = In.choice<TaskPhase>("phase");
  Read.Tasks = readCount(In, "tasks");
  Read.CoresUsed = readCount(In, "cores_used");
  Read.MemoryMbUsed = readCount(In, "memory_mb_used");
  Read.Checkpoints = readCount(In, "checkpoints");
  In.finish();
  return Read;
}

} // namespace

json toJson(const WorkerReport &Value) {
  json Tasks = json::array();
  for (const ReportedTasks &Item : Value.Tasks)
    Tasks.push_back(toJson(Item));
  return {{"worker", Value.Worker.Value},
          {"highest_epoch", Value.HighestFence},
          {"tasks", std::move(Tasks)}};
}

WorkerReport readWorkerReport(ObjectReader In) {
  WorkerReport Read;
  Read.Worker.Value = In.text("worker", TextRule::Identifier);
  Read.HighestFence = static_cast<Epoch>(In.integer("highest_epoch", {}));
  for (const ObjectReader &Item : In.objects("tasks", MaxTasks))
    Read.Tasks.push_back(readReportedTasks(Item));
  In.finish();
  return Read;
}

json toJson(const RunnerCall &Value) {
  return {{"request", Value.Request.Value},
          {"workspace", Value.Workspace.Value},
          {"class", nameOf(Value.Class)},
          {"key", Value.Key},
          {"non_idempotent", Value.NonIdempotent},
          {"budget_ms", Value.Budget.Ms},
          {"body", Value.Body}};
}

RunnerCall readRunnerCall(ObjectReader In) {
  RunnerCall Read;
  Read.Request.Value = In.text("request", TextRule::Key);
  Read.Workspace.Value = In.text("workspace", TextRule::Identifier);
  Read.Class = In.choice<RequestClass>("class");
  Read.Key = In.text("key", TextRule::Free);
  Read.NonIdempotent = In.flag("non_idempotent");
  Read.Budget.Ms = In.integer("budget_ms", {});
  Read.Body = In.text("body", TextRule::Free);
  In.finish();
  return Read;
}

json toJson(const RunnerReply &Value) {
  return {{"request", Value.Request.Value},
          {"runner", Value.Runner.Value},
          {"refused", Value.Refused},
          {"body", Value.Body}};
}

RunnerReply readRunnerReply(ObjectReader In) {
  RunnerReply Read;
  Read.Request.Value = In.text("request", TextRule::Key);
  Read.Runner.Value = In.text("runner", TextRule::Identifier);
  Read.Refused = In.flag("refused");
  Read.Body = In.text("body", TextRule::Free);
  In.finish();
  return Read;
}

} // namespace pistachioflow
