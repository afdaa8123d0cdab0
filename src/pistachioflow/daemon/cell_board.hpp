#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

#include "pistachioflow/controller/cell.hpp"
#include "pistachioflow/model/record.hpp"

namespace pistachioflow {

/// The controllers of the cells that this instance serves.
///
/// Thread safety: every method may be called from any thread. Controllers live
/// as long as the board.
class CellBoard {
public:
  /// \p Home is the cell of this instance's own failure domain while the log
  /// maps none. Preconditions: see CellController.
  CellBoard(InstanceId Self, DomainId Domain, CellId Home,
            const CellSettings &Settings, CellPorts Ports, RecordTap Tap);

  /// Serves every cell of the mapping; the home cell where it is empty.
  void follow(std::span<const DomainCell> Mapping);

  /// Passes on what else is known; each cell gets its own failure domains.
  void setInputs(const CellInputs &Inputs, std::span<const DomainCell> Mapping);

  /// Advances every cell, again at once where one asks for it.
  void advance();

  /// Hands every cell over. Returns true once none is owned any more.
  bool release(std::span<const InstanceId> Live);

  std::vector<CellController *> all() const;

  /// Returns the cell that takes new jobs of this instance's callers.
  CellController &home() const;

private:
  CellController &serve(const CellId &Cell);

  const InstanceId Self;
  const DomainId Domain;
  const CellSettings Settings;
  const CellPorts Ports;
  const RecordTap Tap;
  mutable std::mutex Lock;
  CellId Home;
  std::map<CellId, std::unique_ptr<CellController>> Cells;
};

} // namespace pistachioflow
