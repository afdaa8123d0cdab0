#include "pistachioflow/sched/records.hpp"

#include <exception>

namespace pistachioflow {

namespace {

constexpr char LayoutVersion = 1;
/// The deepest record has 4 levels. Limits the recursion on malformed input.
constexpr std::size_t DepthLimit = 16;

std::string keyOf(RecordKind Kind, std::string_view Name) {
  std::string Key(1, static_cast<char>(Kind));
  Key += '/';
  Key += Name;
  return Key;
}

} // namespace

bool hasEnded(JobPhase Phase) {
  return Phase == JobPhase::Completed || Phase == JobPhase::Failed ||
         Phase == JobPhase::Cancelled;
}

std::string_view toString(JobPhase Phase) {
  switch (Phase) {
  case JobPhase::Queued:
    return "queued";
  case JobPhase::Running:
    return "running";
  case JobPhase::Completed:
    return "completed";
  case JobPhase::Failed:
    return "failed";
  case JobPhase::Cancelled:
    return "cancelled";
  }
  return "invalid";
}

std::string_view toString(CrashEvidence Evidence) {
  switch (Evidence) {
  case CrashEvidence::Unconfirmed:
    return "unconfirmed";
  case CrashEvidence::Early:
    return "early";
  case CrashEvidence::Late:
    return "late";
  }
  return "invalid";
}

std::string submissionKey(std::string_view JobId) {
  return keyOf(RecordKind::Submission, JobId);
}

std::string cancellationKey(std::string_view JobId) {
  return keyOf(RecordKind::Cancellation, JobId);
}

std::string earlyCancellationKey(std::string_view JobId,
                                 std::string_view Workspace) {
  return earlyCancellationKey(std::string(JobId) + "/" +
                              std::string(Workspace));
}

std::string earlyCancellationKey(std::string_view Name) {
  return keyOf(RecordKind::EarlyCancellation, Name);
}

std::string phaseKey(std::string_view JobId) {
  return keyOf(RecordKind::JobPhase, JobId);
}

std::string unitKey(std::string_view UnitName) {
  return keyOf(RecordKind::Unit, UnitName);
}

std::string ownershipKey() { return keyOf(RecordKind::Ownership, "queues"); }

template <typename Record> std::string encodeRecord(const Record &Value) {
  msgpack::sbuffer Buffer;
  Buffer.write(&LayoutVersion, 1);
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

template <typename Record>
std::optional<Record> decodeRecord(std::string_view Value) {
  if (Value.empty() || Value.front() != LayoutVersion)
    return std::nullopt;
  const msgpack::unpack_limit Limits(Value.size(), Value.size(), Value.size(),
                                     Value.size(), Value.size(), DepthLimit);
  try {
    const auto Handle = msgpack::unpack(Value.data() + 1, Value.size() - 1,
                                        nullptr, nullptr, Limits);
    return Handle.get().as<Record>();
  } catch (const std::exception &) {
    return std::nullopt; // The caller handles malformed records.
  }
}

#define PISTACHIOFLOW_RECORD(Type)                                             \
  template std::string encodeRecord<Type>(const Type &);                       \
  template std::optional<Type> decodeRecord<Type>(std::string_view);

PISTACHIOFLOW_RECORD(SubmissionRecord)
PISTACHIOFLOW_RECORD(CancellationRecord)
PISTACHIOFLOW_RECORD(EarlyCancellationRecord)
PISTACHIOFLOW_RECORD(JobPhaseRecord)
PISTACHIOFLOW_RECORD(UnitRecord)
PISTACHIOFLOW_RECORD(OwnershipRecord)

#undef PISTACHIOFLOW_RECORD

} // namespace pistachioflow
