#include "pistachioflow/daemon/cell_board.hpp"

#include <algorithm>
#include <utility>

namespace pistachioflow {

namespace {

/// Turns of one cell without a pause between them. What is left waits for the
/// next tick, so that a cell with a long backlog cannot flood the log.
constexpr int TurnsAtOnce = 4;

std::vector<DomainId> domainsOf(std::span<const DomainCell> Mapping,
                                const CellId &Cell) {
  std::vector<DomainId> Domains;
  for (const DomainCell &Entry : Mapping) {
    if (Entry.Cell == Cell)
      Domains.push_back(Entry.Domain);
  }
  return Domains;
}

} // namespace

CellBoard::CellBoard(InstanceId Self, DomainId Domain, CellId Home,
                     const CellSettings &Settings, CellPorts Ports,
                     RecordTap Tap)
    : Self(std::move(Self)), Domain(std::move(Domain)), Settings(Settings),
      Ports(std::move(Ports)), Tap(std::move(Tap)), Home(std::move(Home)) {
  this->serve(this->Home);
}

CellController &CellBoard::serve(const CellId &Cell) {
  std::unique_ptr<CellController> &Served = this->Cells[Cell];
  if (!Served) {
    CellPorts Own = this->Ports;
    Own.IdSeed += this->Cells.size();
    Served = std::make_unique<CellController>(Cell, this->Self, this->Settings,
                                              std::move(Own));
    Served->setTap(this->Tap);
  }
  return *Served;
}

void CellBoard::follow(std::span<const DomainCell> Mapping) {
  const std::lock_guard Guard(this->Lock);
  for (const DomainCell &Entry : Mapping) {
    this->serve(Entry.Cell);
    if (Entry.Domain == this->Domain)
      this->Home = Entry.Cell;
  }
}

void CellBoard::setInputs(const CellInputs &Inputs,
                          std::span<const DomainCell> Mapping) {
  const std::lock_guard Guard(this->Lock);
  for (const auto &[Cell, Served] : this->Cells) {
    CellInputs Own = Inputs;
    Own.Domains = domainsOf(Mapping, Cell);
    Served->setInputs(std::move(Own));
  }
}

void CellBoard::advance() {
  for (CellController *Cell : this->all()) {
    for (int Turn = 0; Turn < TurnsAtOnce && Cell->advance(); ++Turn)
      continue;
  }
}

bool CellBoard::release(std::span<const InstanceId> Live) {
  bool Done = true;
  for (CellController *Cell : this->all()) {
    const StreamName Scope{"cell/" + Cell->status().Cell.Value};
    if (!Cell->release(preferredOwner(Scope, Live)))
      Done = false;
  }
  return Done;
}

std::vector<CellController *> CellBoard::all() const {
  const std::lock_guard Guard(this->Lock);
  std::vector<CellController *> Found;
  for (const auto &[Cell, Served] : this->Cells)
    Found.push_back(Served.get());
  return Found;
}

CellController &CellBoard::home() const {
  const std::lock_guard Guard(this->Lock);
  return *this->Cells.at(this->Home);
}

} // namespace pistachioflow
