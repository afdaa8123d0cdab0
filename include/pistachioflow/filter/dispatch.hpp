#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "pistachioflow/filter/admission_queue.hpp"
#include "pistachioflow/filter/routing.hpp"
#include "pistachioflow/model/reason.hpp"
#include "pistachioflow/model/request.hpp"

namespace pistachioflow {

struct DispatchSettings {
  DomainId Domain; ///< Of this instance.
  QueueSettings Queue;
  RoutingSettings Routing;
  /// The share of all slots that an instance above its own part of them leaves
  /// free for the others.
  double Reserve = 0.05;
};

struct DispatchGrant {
  std::uint64_t Ticket = 0;
  RunnerId Runner;
};

struct DispatchRefusal {
  std::uint64_t Ticket = 0;
  ReasonCode Why = ReasonCode::RequestRefusedDeadline;
};

struct RunnerHealthChange {
  RunnerId Runner;
  HealthChange What = HealthChange::None;
  RunnerHealth Health = RunnerHealth::Healthy;
};

/// What one event led to.
struct DispatchResult {
  std::vector<DispatchGrant> Grants;
  std::vector<DispatchRefusal> Refusals;
  std::vector<RunnerHealthChange> Changes;
};

/// The end of one exchange with a runner.
struct FinishedExchange {
  RunnerId Runner;
  RequestClass Class = RequestClass::RoundPairing;
  SendState State = SendState::Answered;
  double TookMs = 0;
  bool Tried = true; ///< False: given up before anything was done.
};

/// Decides which waiting request goes to which runner, and when. No clock, lock
/// or I/O: the caller passes the time and acts on the results.
///
/// An instance may always fill its part of the slots that look free, and more
/// while enough others are free.
///
/// Not thread safe.
class Dispatch {
public:
  Dispatch(const DispatchSettings &Settings, std::uint64_t Seed);

  /// Takes over the platform's list. A runner that left it gets nothing new.
  void setRunners(std::span<const RunnerInfo> Listed);

  /// Takes over what all peers together have in flight. The same loads again
  /// count as not renewed.
  void setPeerLoads(std::vector<RunnerInFlight> Loads, Instant Now);

  /// Precondition: \p Count is at least 1.
  void setInstances(std::uint32_t Count) { this->Instances = Count; }

  /// Returns why a new request cannot be served by \p Deadline, if so.
  std::optional<ReasonCode> refuseEarly(RequestClass Class, Instant Deadline,
                                        Instant Now);

  /// Adds a request. It may be refused or granted at once.
  DispatchResult enqueue(const WaitingRequest &Request, Instant Now);

  /// Adds a request that was granted before and must be sent again.
  DispatchResult requeue(const WaitingRequest &Request, Instant Now);

  /// Takes a waiting request out. Returns whether it was waiting.
  bool remove(std::uint64_t Ticket) { return this->Queue.remove(Ticket); }

  /// Notes the end of a granted exchange.
  DispatchResult finished(const FinishedExchange &End, Instant Now);

  /// Grants what can be granted and refuses what cannot end in time.
  DispatchResult pump(Instant Now);

  std::vector<RunnerInFlight> ownLoads() const;
  std::size_t waiting() const { return this->Queue.size(); }
  std::uint32_t inFlight() const { return this->OwnTotal; }
  std::span<const RunnerState> runners() const { return this->Runners; }

  /// Returns the time below which a request of \p Class is not worth sending;
  /// 0 before its first answer.
  Duration shortest(RequestClass Class) const;

private:
  struct Capacity {
    std::uint32_t Slots = 0;
    double Free = 0;
  };

  Capacity capacity() const;
  void pumpInto(DispatchResult &Result, Instant Now);
  std::optional<std::size_t> pickFor(const WaitingRequest &Request,
                                     Instant Now);
  void learn(RequestClass Class, double TookMs);

  const DispatchSettings Settings;
  std::mt19937_64 Random;
  AdmissionQueue Queue;
  std::vector<RunnerState> Runners;
  std::unordered_map<RunnerId, std::size_t> IndexOf;
  std::array<double, RequestClasses> UsualMs{};
  double UsualOfAllMs = 0;
  std::vector<RunnerInFlight> PeerLoads;
  Instant PeersRenewedAt;
  std::uint32_t OwnTotal = 0;
  std::uint32_t Instances = 1;
};

} // namespace pistachioflow
