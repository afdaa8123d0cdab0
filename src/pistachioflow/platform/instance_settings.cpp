#include "pistachioflow/platform/instance_settings.hpp"

#include <fstream>
#include <iterator>

#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

constexpr JsonBounds SettingsBounds{std::size_t{1} << 18U, 8, true};
constexpr IntegerRange BoundMs{1, 600'000};
constexpr IntegerRange SizeBytes{1'024, std::int64_t{1} << 30U};
constexpr double MaxBoundS = 86'400;
constexpr std::int64_t MsPerSecond = 1'000;

Duration readMs(ObjectReader &In, std::string_view Key, Duration Default) {
  return {In.integer(Key, BoundMs, Default.Ms)};
}

Duration readSeconds(ObjectReader &In, std::string_view Key, Duration Default) {
  const double Seconds = In.number(
      Key, 0.001, MaxBoundS, static_cast<double>(Default.Ms) / MsPerSecond);
  return {static_cast<std::int64_t>(Seconds * MsPerSecond)};
}

void readLimits(ObjectReader In, InstanceSettings &Read) {
  constexpr double MaxCores = 1'024;
  const double Share = In.number("cpu_share", 0.001, MaxCores, 1.0);
  const double Cores = In.number("cores", 0.001, MaxCores, 1.0);
  constexpr double MilliPerCore = 1'000;
  Read.MilliCores = static_cast<std::int64_t>(Share * Cores * MilliPerCore);
}

void readBounds(ObjectReader In, InstanceSettings &Read) {
  Read.MaxLease = readMs(In, "max_hold_ms", Read.MaxLease);
  Read.StopTimeout = readMs(In, "stop_timeout_ms", Read.StopTimeout);
  Read.GangTimeout = readMs(In, "gang_timeout_ms", Read.GangTimeout);
  Read.ReclaimTimeout = readMs(In, "reclaim_timeout_ms", Read.ReclaimTimeout);
  Read.ShutdownGrace = readSeconds(In, "grace_period_s", Read.ShutdownGrace);
  Read.StatusRetention = readSeconds(In, "status_s", Read.StatusRetention);
  Read.CheckpointInterval =
      readSeconds(In, "checkpoint_interval_s", Read.CheckpointInterval);
  Read.RemotePenalty =
      In.number("remote_penalty", 1.0, 1'000.0, Read.RemotePenalty);
}

std::string metricsAddress(const nlohmann::json &Document,
                           const std::string &Ip) {
  const auto Range = Document.find("internal_port_range");
  const bool Usable = Range != Document.end() && Range->is_array() &&
                      !Range->empty() && Range->front().is_number_integer();
  if (!Usable)
    return {};
  return Ip + ":" + std::to_string(Range->front().get<std::int64_t>());
}

} // namespace

Result<InstanceSettings> decodeInstanceSettings(std::string_view Text) {
  BOOST_OUTCOME_TRY(Document, parseJson(Text, SettingsBounds, "settings"));
  Findings Found;
  InstanceSettings Read;
  ObjectReader In(Document, "$", Found);
  Read.Instance = In.text("node_name", TextRule::Key);
  Read.FailureDomain = In.text("zone", TextRule::Key);
  Read.MetricsAddress =
      metricsAddress(Document, In.text("ip_address", TextRule::Host));
  Read.WorkerHeartbeat =
      readMs(In, "heartbeat_interval_ms", Read.WorkerHeartbeat);
  Read.AdviceAddress = In.text("advice", TextRule::Free, "");
  ObjectReader Listen = In.object("listen_addresses");
  Read.CallerAddress = Listen.text("frontend", TextRule::Host);
  Read.ReadyAddress = Listen.text("ready", TextRule::Host);
  ObjectReader Store = In.object("platform");
  Read.StoreAddress = Store.text("address", TextRule::Host);
  Read.MaxStoreRecordBytes =
      Store.integer("record_bytes", SizeBytes, Read.MaxStoreRecordBytes);
  Read.MaxStoreRequestBytes =
      Store.integer("request_bytes", SizeBytes, Read.MaxStoreRequestBytes);
  readBounds(In.object("bounds"), Read);
  if (In.has("limits"))
    readLimits(In.object("limits"), Read);
  if (!Found.empty())
    return Error{ErrorCode::InvalidInput, "invalid settings", Found};
  return Read;
}

Result<InstanceSettings> loadInstanceSettings(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Error{ErrorCode::NotFound, "cannot read " + Path, {}};
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  return decodeInstanceSettings(Text);
}

} // namespace pistachioflow
