#include "pistachioflow/peer/config_forwarding.hpp"

#include <optional>
#include <utility>

namespace pistachioflow {

namespace {

std::optional<ConfigAnswer> answerFrom(const ConfigController &Config,
                                       Instant Now, Offset From,
                                       std::size_t MaxBytes) {
  const ConfigProgress Progress = Config.progress();
  if (!Progress.LogReachable)
    return std::nullopt;
  return ConfigAnswer{Config.entriesFrom(From, MaxBytes), Progress.Next,
                      Now - Progress.LogReadAt};
}

} // namespace

void forwardConfig(PeerHandlers &Handlers, ConfigController &Config,
                   const Clock &Time) {
  Handlers.ConfigSource = [&Config, &Time](Offset From, std::size_t MaxBytes) {
    return answerFrom(Config, Time.monotonic(), From, MaxBytes);
  };
  Handlers.OnConfigRecords = [&Config](std::vector<LogEntry> Entries,
                                       Offset Next, Instant ReadAt) {
    Config.takeForwarded(std::move(Entries), Next, ReadAt);
  };
}

void askPeersIfCutOff(PeerExchange &Peers, const ConfigController &Config) {
  const ConfigProgress Progress = Config.progress();
  if (!Progress.LogReachable)
    Peers.askConfig(Progress.Next);
}

} // namespace pistachioflow
