#include "pistachioflow/entry/worker_leases.hpp"

#include <algorithm>

#include "pistachioflow/entry/lease_bounds.hpp"

namespace pistachioflow {

namespace {

/// Longest time that a hold waits for its answer.
constexpr Duration LongestHold = HoldWait + HoldAnswerTime;

/// A call sent at \p SentAt to an earlier process may still reach the current
/// one.
void expectLateCall(WorkerLeases &Leases, Instant SentAt) {
  if (SentAt.Ms != 0)
    Leases.LateCallsUntil =
        std::max(Leases.LateCallsUntil, SentAt + LateCallTime);
}

} // namespace

void grantSent(WorkerLeases &Leases, Duration Granted, Instant SentAt) {
  Leases.End = std::max(Leases.End, SentAt + maxLocalLease(Granted));
}

void startGrantAnswered(WorkerLeases &Leases, Duration MaxLease,
                        Duration Granted, bool Restarted, Instant Now) {
  const Duration Longest = std::clamp(Granted, Duration{0}, MaxLease);
  Leases.End = std::max(Leases.End, Now + maxLocalLease(Longest));
  if (!Restarted)
    return;
  Leases.UnknownProcessSince = Now;
  expectLateCall(Leases, Leases.UnansweredSince);
}

void startGrantUnanswered(WorkerLeases &Leases, Duration MaxLease,
                          Instant SentAt, Instant Now) {
  Leases.UnansweredSince = std::max(Leases.UnansweredSince, SentAt);
  // The hold that waits meanwhile may reach the process that took the start.
  Leases.End =
      std::max(Leases.End, Now + LongestHold + maxLocalLease(MaxLease));
}

void holdGrantUnanswered(WorkerLeases &Leases, Instant SentAt) {
  Leases.UnansweredSince = std::max(Leases.UnansweredSince, SentAt);
  if (Leases.UnknownProcessSince.Ms != 0)
    expectLateCall(Leases, SentAt);
}

void holdGrantAnswered(WorkerLeases &Leases, Duration MaxLease, bool Restarted,
                       Instant SentAt, Instant Now) {
  const Instant Longest = Now + maxLocalLease(MaxLease);
  if (SentAt >= Leases.UnknownProcessSince)
    Leases.UnknownProcessSince = {};
  // Only this owner's leases can be renewed from now on.
  Leases.End = Restarted ? Longest : std::min(Leases.End, Longest);
  if (!Restarted)
    return;
  expectLateCall(Leases, Leases.UnansweredSince);
  Leases.UnansweredSince = {};
}

Instant leasesEnd(const WorkerLeases &Leases, Duration MaxLease) {
  if (Leases.LateCallsUntil.Ms == 0)
    return Leases.End;
  return std::max(Leases.End, Leases.LateCallsUntil + maxLocalLease(MaxLease));
}

} // namespace pistachioflow
