#pragma once

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/controller/config.hpp"
#include "pistachioflow/peer/peer_exchange.hpp"

namespace pistachioflow {

/// Sets the handlers that forward the configuration stream between instances.
/// Preconditions: \p Config and \p Time outlive the exchange.
/// Thread safety: the handlers may be called from any thread.
void forwardConfig(PeerHandlers &Handlers, ConfigController &Config,
                   const Clock &Time);

/// Asks peers for the configuration stream where the log cannot be reached.
/// Call it after each refresh. Thread safety: as the arguments.
void askPeersIfCutOff(PeerExchange &Peers, const ConfigController &Config);

} // namespace pistachioflow
