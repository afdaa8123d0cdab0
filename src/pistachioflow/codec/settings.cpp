#include "pistachioflow/codec/settings.hpp"

#include <fstream>
#include <iterator>
#include <utility>

#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

constexpr JsonBounds SettingsBounds{std::size_t{1} << 16, 8, true};
constexpr IntegerRange PeriodMs{1, 60'000};
constexpr IntegerRange TimeoutMs{10, 60'000};
constexpr IntegerRange LeaseMs{100, 600'000};
constexpr IntegerRange ThreadRange{1, 512};
constexpr IntegerRange CountRange{1, 1'000'000};
constexpr std::int64_t MaxPort = 65'535;
constexpr std::int64_t MinBodyBytes = 1'024;
constexpr std::int64_t MaxBodyBytes = std::int64_t{64} << 20;

Duration readDuration(ObjectReader &In, std::string_view Key,
                      IntegerRange Range, Duration Default) {
  return {In.integer(Key, Range, Default.Ms)};
}

std::uint32_t readCount(ObjectReader &In, std::string_view Key,
                        IntegerRange Range, std::uint32_t Default) {
  return static_cast<std::uint32_t>(In.integer(Key, Range, Default));
}

Endpoint readEndpoint(ObjectReader In, std::int64_t MinPort) {
  Endpoint Value;
  Value.Host = In.text("host", TextRule::Host);
  Value.Port =
      static_cast<std::uint16_t>(In.integer("port", {MinPort, MaxPort}));
  In.finish();
  return Value;
}

LeaseTimes readLeases(ObjectReader In) {
  LeaseTimes Value;
  Value.Lease = readDuration(In, "lease_ms", LeaseMs, Value.Lease);
  Value.Margin = readDuration(In, "margin_ms", LeaseMs, Value.Margin);
  Value.RenewEvery =
      readDuration(In, "renew_every_ms", LeaseMs, Value.RenewEvery);
  if (Value.Margin + Value.RenewEvery >= Value.Lease)
    In.report("lease_ms", "more than margin_ms and renew_every_ms together",
              std::to_string(Value.Lease.Ms));
  In.finish();
  return Value;
}

PolicyChoice readPolicy(ObjectReader In) {
  PolicyChoice Value;
  Value.Preset = In.choice<PolicyPreset>("preset", Value.Preset);
  Value.FragmentationWeight = In.number("fragmentation_weight", 0.0, 1.0,
                                        fragmentationWeightOf(Value.Preset));
  Value.ReclaimDeadline =
      readDuration(In, "reclaim_deadline_ms", LeaseMs, Value.ReclaimDeadline);
  In.finish();
  return Value;
}

TickPeriods readTicks(ObjectReader In) {
  TickPeriods Value;
  Value.Cell = readDuration(In, "cell_ms", PeriodMs, Value.Cell);
  Value.Config = readDuration(In, "config_ms", PeriodMs, Value.Config);
  Value.Keys = readDuration(In, "keys_ms", PeriodMs, Value.Keys);
  Value.Instances = readDuration(In, "instances_ms", PeriodMs, Value.Instances);
  Value.Gossip = readDuration(In, "gossip_ms", PeriodMs, Value.Gossip);
  In.finish();
  return Value;
}

ThreadCounts readThreads(ObjectReader In) {
  ThreadCounts Value;
  Value.Http = readCount(In, "http", ThreadRange, Value.Http);
  Value.Cells = readCount(In, "cells", ThreadRange, Value.Cells);
  Value.Workers = readCount(In, "workers", ThreadRange, Value.Workers);
  Value.Logs = readCount(In, "logs", ThreadRange, Value.Logs);
  In.finish();
  return Value;
}

PlatformTimeouts readTimeouts(ObjectReader In) {
  PlatformTimeouts Value;
  Value.Connect = readDuration(In, "connect_ms", TimeoutMs, Value.Connect);
  Value.Log = readDuration(In, "log_ms", TimeoutMs, Value.Log);
  Value.Workers = readDuration(In, "workers_ms", TimeoutMs, Value.Workers);
  Value.Instances =
      readDuration(In, "instances_ms", TimeoutMs, Value.Instances);
  In.finish();
  return Value;
}

InstanceLimits readInstanceLimits(ObjectReader In) {
  InstanceLimits Value;
  Value.BodyBytes = static_cast<std::size_t>(
      In.integer("body_bytes", {MinBodyBytes, MaxBodyBytes},
                 static_cast<std::int64_t>(Value.BodyBytes)));
  Value.JsonDepth = readCount(In, "json_depth", {4, 64}, Value.JsonDepth);
  Value.QueuedRequests =
      readCount(In, "queued_requests", CountRange, Value.QueuedRequests);
  Value.JournalEvents =
      readCount(In, "journal_events", CountRange, Value.JournalEvents);
  Value.RunnerConnections =
      readCount(In, "runner_connections", {1, 10'000}, Value.RunnerConnections);
  Value.KeyStreams = readCount(In, "key_streams", {1, 1'024}, Value.KeyStreams);
  Value.SnapshotEvery =
      readCount(In, "snapshot_every", CountRange, Value.SnapshotEvery);
  In.finish();
  return Value;
}

DaemonSettings readSettings(ObjectReader In) {
  DaemonSettings Value;
  Value.Instance.Value = In.text("instance", TextRule::Identifier);
  Value.Domain.Value = In.text("failure_domain", TextRule::Identifier);
  Value.Cell.Value = In.text("cell", TextRule::Identifier, "main");
  Value.Http = readEndpoint(In.object("http"), 0);
  Value.Peer = readEndpoint(In.object("peer"), 0);
  Value.Platform = readEndpoint(In.object("platform"), 1);
  Value.Leases = readLeases(In.object("leases"));
  Value.Policy = readPolicy(In.object("policy"));
  Value.Ticks = readTicks(In.object("ticks"));
  Value.Threads = readThreads(In.object("threads"));
  Value.Timeouts = readTimeouts(In.object("timeouts"));
  Value.Limits = readInstanceLimits(In.object("limits"));
  Value.LeaveWithin =
      readDuration(In, "leave_within_ms", {0, 60'000}, Value.LeaveWithin);
  Value.Log = In.choice<LogLevel>("log_level", Value.Log);
  In.finish();
  return Value;
}

} // namespace

double fragmentationWeightOf(PolicyPreset Preset) {
  constexpr double ChessWeight = 0.3;
  constexpr double CuringWeight = 0.7;
  return Preset == PolicyPreset::Chess ? ChessWeight : CuringWeight;
}

Result<DaemonSettings> parseSettings(std::string_view Text,
                                     std::string_view Source) {
  BOOST_OUTCOME_TRY(Document, parseJson(Text, SettingsBounds, Source));
  Findings Collected;
  DaemonSettings Value = readSettings({Document, "$", Collected});
  if (!Collected.empty())
    return Error{ErrorCode::InvalidInput, std::string(Source) + " is invalid",
                 std::move(Collected)};
  return Value;
}

Result<DaemonSettings> loadSettings(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return Error{ErrorCode::NotFound, "cannot read " + Path, {}};
  const std::string Text((std::istreambuf_iterator<char>(In)),
                         std::istreambuf_iterator<char>());
  return parseSettings(Text, Path);
}

} // namespace pistachioflow
