#include "pistachioflow/platform/instance_settings.hpp"

#include <fstream>
#include <iterator>

#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

constexpr JsonBounds SettingsBounds{std::size_t{1} << 18U, 8, true};
constexpr IntegerRange DurationRangeMs{1, 600'000};
/// Half of it has to exceed a read of the operators' topic, which waits for a
/// second, and its answer.
constexpr IntegerRange EvacuationRangeMs{4'000, DurationRangeMs.Max};
constexpr IntegerRange MaxLeaseRangeMs{MinMaxLease.Ms, DurationRangeMs.Max};
constexpr IntegerRange SizeRangeBytes{1'024, std::int64_t{1} << 30U};
/// A daemon that follows the store needs about 10 MB without any work.
constexpr double MinMemoryMb = 24;
constexpr double MaxMemoryMb = 1U << 24U;
/// Half of them are for callers.
constexpr IntegerRange DescriptorRange{64, std::int64_t{1} << 24U};
constexpr double MaxDurationS = 86'400;
constexpr std::int64_t MsPerSecond = 1'000;

Duration readMs(ObjectReader &Reader, std::string_view Key, Duration Default) {
  return {Reader.integer(Key, DurationRangeMs, Default.Ms)};
}

Duration readSeconds(ObjectReader &Reader, std::string_view Key,
                     Duration Default) {
  const double Seconds = Reader.number(
      Key, 0.001, MaxDurationS, static_cast<double>(Default.Ms) / MsPerSecond);
  return {static_cast<std::int64_t>(Seconds * MsPerSecond)};
}

void readLimits(ObjectReader Reader, InstanceSettings &Settings) {
  constexpr double MaxCores = 1'024;
  const double Share = Reader.number("cpu_share", 0.001, MaxCores, 1.0);
  const double Cores = Reader.number("cores", 0.001, MaxCores, 1.0);
  constexpr double MilliPerCore = 1'000;
  Settings.MilliCores = static_cast<std::int64_t>(Share * Cores * MilliPerCore);
  if (Reader.has("memory_mb"))
    Settings.MemoryMb = static_cast<std::int64_t>(
        Reader.number("memory_mb", MinMemoryMb, MaxMemoryMb));
  if (Reader.has("file_descriptors"))
    Settings.FileDescriptors =
        Reader.integer("file_descriptors", DescriptorRange);
}

void readBounds(ObjectReader Reader, InstanceSettings &Settings) {
  Settings.MaxLease = {
      Reader.integer("max_hold_ms", MaxLeaseRangeMs, Settings.MaxLease.Ms)};
  Settings.StopTimeout =
      readMs(Reader, "stop_timeout_ms", Settings.StopTimeout);
  Settings.GangTimeout =
      readMs(Reader, "gang_timeout_ms", Settings.GangTimeout);
  Settings.ReclaimTimeout =
      readMs(Reader, "reclaim_timeout_ms", Settings.ReclaimTimeout);
  Settings.ShutdownGrace =
      readSeconds(Reader, "grace_period_s", Settings.ShutdownGrace);
  Settings.StatusRetention =
      readSeconds(Reader, "status_s", Settings.StatusRetention);
  Settings.CheckpointInterval =
      readSeconds(Reader, "checkpoint_interval_s", Settings.CheckpointInterval);
  if (Reader.has("evacuation_ms"))
    Settings.EvacuationTimeout = {
        Reader.integer("evacuation_ms", EvacuationRangeMs)};
  Settings.RemotePenalty =
      Reader.number("remote_penalty", 1.0, 1'000.0, Settings.RemotePenalty);
}

std::vector<std::string> readDomains(const nlohmann::json &Document) {
  std::vector<std::string> Domains;
  const auto Regions = Document.find("zones");
  if (Regions == Document.end() || !Regions->is_object())
    return Domains;
  for (const auto &[Domain, Region] : Regions->items())
    Domains.push_back(Domain);
  return Domains;
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
  Findings Problems;
  InstanceSettings Settings;
  ObjectReader Reader(Document, "$", Problems);
  Settings.Instance = Reader.text("node_name", TextRule::Key);
  Settings.FailureDomain = Reader.text("zone", TextRule::Key);
  Settings.KnownDomains = readDomains(Document);
  Settings.MetricsAddress =
      metricsAddress(Document, Reader.text("ip_address", TextRule::Host));
  Settings.WorkerHeartbeat =
      readMs(Reader, "heartbeat_interval_ms", Settings.WorkerHeartbeat);
  Settings.AdviceAddress = Reader.text("advice", TextRule::Free, "");
  ObjectReader Listen = Reader.object("listen_addresses");
  Settings.CallerAddress = Listen.text("frontend", TextRule::Host);
  Settings.ReadyAddress = Listen.text("ready", TextRule::Host);
  ObjectReader Store = Reader.object("platform");
  Settings.StoreAddress = Store.text("address", TextRule::Host);
  Settings.MaxStoreRecordBytes = Store.integer("record_bytes", SizeRangeBytes,
                                               Settings.MaxStoreRecordBytes);
  Settings.MaxStoreRequestBytes = Store.integer("request_bytes", SizeRangeBytes,
                                                Settings.MaxStoreRequestBytes);
  readBounds(Reader.object("bounds"), Settings);
  if (Reader.has("limits"))
    readLimits(Reader.object("limits"), Settings);
  if (!Problems.empty())
    return Error{ErrorCode::InvalidInput, "invalid settings", Problems};
  return Settings;
}

Result<InstanceSettings> loadInstanceSettings(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Error{ErrorCode::NotFound, "cannot read " + Path, {}};
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  return decodeInstanceSettings(Text);
}

} // namespace pistachioflow
