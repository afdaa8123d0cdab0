#include "pistachioflow/net/memory_budget.hpp"

#include <utility>
#include <vector>

#include "pistachioflow/base/log.hpp"

namespace pistachioflow {

std::optional<std::size_t>
chooseConnectionToClose(std::span<const ConnectionUse> Uses) {
  const auto HoldsMore = [](const ConnectionUse &Left,
                            const ConnectionUse &Right) {
    // Compares Left.HeldBytes / (Left.FinishedCalls + 1) with the same of
    // Right.
    return Left.HeldBytes * (Right.FinishedCalls + 1) >
           Right.HeldBytes * (Left.FinishedCalls + 1);
  };
  std::optional<std::size_t> Chosen;
  for (std::size_t Index = 0; Index < Uses.size(); ++Index) {
    if (Uses[Index].Busy)
      continue;
    if (!Chosen || HoldsMore(Uses[Index], Uses[*Chosen]))
      Chosen = Index;
  }
  return Chosen;
}

MemoryBudget::Share::Share(std::shared_ptr<MemoryBudget> Parent,
                           std::function<void()> Close)
    : Budget(std::move(Parent)), Close(std::move(Close)),
      Place(this->Budget->Shares.insert(this->Budget->Shares.end(), this)) {}

MemoryBudget::Share::~Share() {
  this->Budget->Shares.erase(this->Place);
  if (!this->Closed)
    this->Budget->HeldBytes -= this->Use.HeldBytes;
}

void MemoryBudget::Share::hold(std::size_t Bytes) {
  if (this->Closed)
    return;
  this->Budget->HeldBytes += Bytes;
  this->Budget->HeldBytes -= this->Use.HeldBytes;
  this->Use.HeldBytes = Bytes;
  this->Budget->closeSome();
}

void MemoryBudget::closeSome() {
  while (this->LimitBytes > 0 && this->HeldBytes > this->LimitBytes) {
    std::vector<Share *> Open;
    std::vector<ConnectionUse> Uses;
    for (Share *Entry : this->Shares)
      if (!Entry->Closed) {
        Open.push_back(Entry);
        Uses.push_back(Entry->Use);
      }
    const std::optional<std::size_t> Chosen = chooseConnectionToClose(Uses);
    if (!Chosen)
      return;
    Share &Victim = *Open[*Chosen];
    Victim.Closed = true;
    ++this->ClosedConnections;
    this->HeldBytes -= Victim.Use.HeldBytes;
    logEvent(LogLevel::Warning, "connection_closed",
             {{"reason", "memory"},
              {"held_bytes", static_cast<std::int64_t>(Victim.Use.HeldBytes)},
              {"finished_calls",
               static_cast<std::int64_t>(Victim.Use.FinishedCalls)}});
    Victim.Close();
  }
}

} // namespace pistachioflow
