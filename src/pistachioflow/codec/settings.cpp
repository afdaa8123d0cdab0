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
  Endpoint Read;
  Read.Host = In.text("host", TextRule::Host);
  Read.Port =
      static_cast<std::uint16_t>(In.integer("port", {MinPort, MaxPort}));
  In.finish();
  return Read;
}

LeaseTimes readLeases(ObjectReader In) {
  LeaseTimes Read;
  Read.Lease = readDuration(In, "lease_ms", LeaseMs, Read.Lease);
  Read.Margin = readDuration(In, "margin_ms", LeaseMs, Read.Margin);
  Read.RenewEvery =
      readDuration(In, "renew_every_ms", LeaseMs, Read.RenewEvery);
  if (Read.Margin + Read.RenewEvery >= Read.Lease)
    In.report("lease_ms", "more than margin_ms and renew_every_ms together",
              std::to_string(Read.Lease.Ms));
  In.finish();
  return Read;
}

PolicyChoice readPolicy(ObjectReader In) {
  PolicyChoice Read;
  Read.Preset = In.choice<PolicyPreset>("preset", Read.Preset);
  Read.FragmentationWeight = In.number("fragmentation_weight", 0.0, 1.0,
                                       fragmentationWeightOf(Read.Preset));
  Read.ReclaimDeadline =
      readDuration(In, "reclaim_deadline_ms", LeaseMs, Read.ReclaimDeadline);
  In.finish();
  return Read;
}

TickPeriods readTicks(ObjectReader In) {
  TickPeriods Read;
  Read.Cell = readDuration(In, "cell_ms", PeriodMs, Read.Cell);
  Read.Config = readDuration(In, "config_ms", PeriodMs, Read.Config);
  Read.Keys = readDuration(In, "keys_ms", PeriodMs, Read.Keys);
  Read.Instances = readDuration(In, "instances_ms", PeriodMs, Read.Instances);
  Read.Gossip = readDuration(In, "gossip_ms", PeriodMs, Read.Gossip);
  In.finish();
  return Read;
}

ThreadCounts readThreads(ObjectReader In) {
  ThreadCounts Read;
  Read.Http = readCount(In, "http", ThreadRange, Read.Http);
  Read.Cells = readCount(In, "cells", ThreadRange, Read.Cells);
  Read.Workers = readCount(In, "workers", ThreadRange, Read.Workers);
  Read.Logs = readCount(In, "logs", ThreadRange, Read.Logs);
  In.finish();
  return Read;
}

PlatformTimeouts readTimeouts(ObjectReader In) {
  PlatformTimeouts Read;
  Read.Connect = readDuration(In, "connect_ms", TimeoutMs, Read.Connect);
  Read.Log = readDuration(In, "log_ms", TimeoutMs, Read.Log);
  Read.Workers = readDuration(In, "workers_ms", TimeoutMs, Read.Workers);
  Read.Instances = readDuration(In, "instances_ms", TimeoutMs, Read.Instances);
  In.finish();
  return Read;
}

InstanceLimits readInstanceLimits(ObjectReader In) {
  InstanceLimits Read;
  Read.BodyBytes = static_cast<std::size_t>(
      In.integer("body_bytes", {MinBodyBytes, MaxBodyBytes},
                 static_cast<std::int64_t>(Read.BodyBytes)));
  Read.JsonDepth = readCount(In, "json_depth", {4, 64}, Read.JsonDepth);
  Read.QueuedRequests =
      readCount(In, "queued_requests", CountRange, Read.QueuedRequests);
  Read.JournalEvents =
      readCount(In, "journal_events", CountRange, Read.JournalEvents);
  Read.RunnerConnections =
      readCount(In, "runner_connections", {1, 10'000}, Read.RunnerConnections);
  Read.KeyStreams = readCount(In, "key_streams", {1, 1'024}, Read.KeyStreams);
  Read.SnapshotEvery =
      readCount(In, "snapshot_every", CountRange, Read.SnapshotEvery);
  In.finish();
  return Read;
}

DaemonSettings readSettings(ObjectReader In) {
  DaemonSettings Read;
  Read.Instance.Value = In.text("instance", TextRule::Identifier);
  Read.Domain.Value = In.text("failure_domain", TextRule::Identifier);
  Read.Cell.Value = In.text("cell", TextRule::Identifier, "main");
  Read.Http = readEndpoint(In.object("http"), 0);
  Read.Peer = readEndpoint(In.object("peer"), 0);
  Read.Platform = readEndpoint(In.object("platform"), 1);
  Read.Leases = readLeases(In.object("leases"));
  Read.Policy = readPolicy(In.object("policy"));
  Read.Ticks = readTicks(In.object("ticks"));
  Read.Threads = readThreads(In.object("threads"));
  Read.Timeouts = readTimeouts(In.object("timeouts"));
  Read.Limits = readInstanceLimits(In.object("limits"));
  Read.LeaveWithin =
      readDuration(In, "leave_within_ms", {0, 60'000}, Read.LeaveWithin);
  Read.Log = In.choice<LogLevel>("log_level", Read.Log);
  In.finish();
  return Read;
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
  Findings Found;
  DaemonSettings Read = readSettings({Document, "$", Found});
  if (!Found.empty())
    return Error{ErrorCode::InvalidInput, std::string(Source) + " is invalid",
                 std::move(Found)};
  return Read;
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
