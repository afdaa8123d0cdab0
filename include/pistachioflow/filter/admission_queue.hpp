#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/model/request.hpp"

namespace pistachioflow {

constexpr std::size_t RequestClasses = 3;

constexpr std::size_t indexOf(RequestClass Class) {
  return static_cast<std::size_t>(Class);
}

struct QueueSettings {
  std::size_t Capacity = 256;
  /// The share of grants that each class gets while it waits, whatever waits
  /// before it. What is left goes by class order.
  std::array<double, RequestClasses> Floor{0.0, 0.06, 0.03};
};

struct WaitingRequest {
  std::uint64_t Ticket = 0;
  RequestClass Class = RequestClass::RoundPairing;
  bool NonIdempotent = false;
  Instant Deadline;
  RunnerId Avoid; ///< The runner that failed this request last.
};

/// Holds waiting requests: by class, and by age within a class. Bounded; a full
/// queue gives up its newest request of a later class for an earlier one.
///
/// Not thread safe.
class AdmissionQueue {
public:
  explicit AdmissionQueue(const QueueSettings &Settings) : Settings(Settings) {}

  struct PushResult {
    bool Accepted = false;
    std::optional<WaitingRequest> Evicted;
  };

  PushResult push(const WaitingRequest &Request);

  /// Puts back a request that was granted before, ahead of its class.
  void pushFront(const WaitingRequest &Request);

  /// Returns the request that next() would take, or null.
  const WaitingRequest *peek() const;

  /// Takes the request that is due, and counts the grant for the floors.
  /// Precondition: not empty.
  WaitingRequest next();

  /// Takes \p Ticket out. Returns whether it was there.
  bool remove(std::uint64_t Ticket);

  /// Takes out one request that cannot end by its deadline if its class takes
  /// \p Usual from \p Now on.
  std::optional<WaitingRequest>
  takeHopeless(Instant Now, const std::array<Duration, RequestClasses> &Usual);

  /// Returns how many requests would be served before a new one of \p Class.
  std::size_t ahead(RequestClass Class) const;

  std::size_t size() const;

private:
  std::size_t dueClass() const;

  QueueSettings Settings;
  std::array<std::deque<WaitingRequest>, RequestClasses> Waiting;
  std::array<double, RequestClasses> Credit{};
};

} // namespace pistachioflow
