#pragma once

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// A call without an answer may be carried out this much later.
constexpr Duration LateCallTime{12'000};

/// When the leases that an owner has granted to one worker have ended.
///
/// A lease is a time on the worker's clock. A worker that restarts under its id
/// begins its clock anew and takes calls that were meant for its earlier
/// process: such a call grants the longest lease, from its arrival on.
///
/// Load pattern: workers that restart and are cut off soon after, before the
/// owner has learned of the restart. Thread safety: none. Instants are on the
/// owner's monotonic clock.
struct WorkerLeases {
  Instant End; ///< Of the leases granted so far, unless a call is late.
  /// When the newest call that grants a lease and got no answer was sent.
  Instant UnansweredSince;
  /// Until then, a call meant for an earlier process may still be carried out.
  Instant LateCallsUntil;
  /// When a process after the known one accepted a start; 0: none has since the
  /// latest report.
  Instant UnknownProcessSince;
};

/// Call when a hold or a start that grants a lease of \p Granted is sent.
void grantSent(WorkerLeases &Leases, Duration Granted, Instant SentAt);

/// Call when a start was answered. \p Granted is the lease on the clock that
/// the answer shows; \p Restarted tells that this clock is not the known
/// process's.
void startGrantAnswered(WorkerLeases &Leases, Duration MaxLease,
                        Duration Granted, bool Restarted, Instant Now);

/// Call when a start has got no answer until \p Now.
void startGrantUnanswered(WorkerLeases &Leases, Duration MaxLease,
                          Instant SentAt, Instant Now);

/// Call when a hold that granted a lease has got no answer.
void holdGrantUnanswered(WorkerLeases &Leases, Instant SentAt);

/// Call when a hold was answered. \p Restarted tells that another process than
/// the known one answered; the known one is the answering one from now on.
void holdGrantAnswered(WorkerLeases &Leases, Duration MaxLease, bool Restarted,
                       Instant SentAt, Instant Now);

/// Returns by when all leases have ended if the worker gets no more calls.
Instant leasesEnd(const WorkerLeases &Leases, Duration MaxLease);

} // namespace pistachioflow
