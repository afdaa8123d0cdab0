#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <span>

namespace pistachioflow {

/// What one connection holds, and what it has done for that.
struct ConnectionUse {
  std::size_t HeldBytes = 0;
  std::size_t FinishedCalls = 0;
  /// A request of it is being handled, so that closing it would lose an answer.
  bool Busy = false;
};

/// Returns the connection to close when memory is short, by index: the one that
/// holds most for each call that it has finished. Returns nothing if all are
/// busy.
///
/// Load pattern: many connections that send without end, beside callers that
/// send whole requests. Thread safety: pure.
std::optional<std::size_t>
chooseConnectionToClose(std::span<const ConnectionUse> Uses);

/// Memory that all connections of one side of a process may hold together.
/// Beyond it, connections are closed.
///
/// Thread safety: none; use from the thread that runs the io_context.
class MemoryBudget {
public:
  /// A connection's part of the budget, which it keeps alive: connections are
  /// destroyed with the io_context, after what opened them.
  class Share {
  public:
    /// \p Close is called at most once, when memory is short. It must not
    /// destroy the share.
    Share(std::shared_ptr<MemoryBudget> Budget, std::function<void()> Close);
    ~Share();
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Reports what the connection holds now. May close this or other
    /// connections.
    void hold(std::size_t Bytes);
    void setBusy(bool Busy) { this->Use.Busy = Busy; }
    void finishCall() { ++this->Use.FinishedCalls; }

  private:
    friend MemoryBudget;

    std::shared_ptr<MemoryBudget> Budget;
    std::function<void()> Close;
    ConnectionUse Use;
    bool Closed = false;
    std::list<Share *>::iterator Place;
  };

  /// \p Bytes of 0 mean that there is no limit.
  explicit MemoryBudget(std::size_t Bytes = 0) : LimitBytes(Bytes) {}

  std::size_t limit() const { return this->LimitBytes; }
  std::size_t held() const { return this->HeldBytes; }
  /// Returns how many connections were closed since memory was short.
  std::size_t closedConnections() const { return this->ClosedConnections; }

private:
  void closeSome();

  std::size_t LimitBytes;
  std::size_t HeldBytes = 0; ///< By connections that were not closed.
  std::size_t ClosedConnections = 0;
  std::list<Share *> Shares;
};

} // namespace pistachioflow
