// Plays the decisions of one cell by hand: lists, workers, a borrower that
// fills the cell, and a guaranteed gang that reclaims its home.

#include <iostream>

#include "pistachioflow/codec/reason_table.hpp"
#include "pistachioflow/policy/cell.hpp"

using namespace pistachioflow;

namespace {

Lists exampleLists() {
  const GangShape Pairing{2, 4, 8, 16'384, Adjacency::SameRack};
  Lists Both;
  Both.Plans = {1, {{{"chess"}, {"gold"}}, {{"school-league"}, {"open"}}}};
  Both.Limits = {1,
                 {{{"gold"}, {{Pairing, 1}}, 16, 4, true, 100, 10},
                  {{"open"}, {}, 16, 1, false, 100, 10}}};
  return Both;
}

JobSpec exampleJob(const char *Job, const char *Workspace) {
  JobSpec Spec;
  Spec.Job = {Job};
  Spec.Workspace = {Workspace};
  Spec.Shape = {2, 4, 8, 16'384, Adjacency::SameRack};
  Spec.DeclaredRuntime = {60'000};
  Spec.Checkpointable = true;
  return Spec;
}

/// Feeds one event to the decisions and prints what they answer.
void play(policy::CellState &Cell, const Event &Fact, Instant Now) {
  for (const Decision &Made :
       policy::step(Cell, Fact, policy::ChessPreset, Now)) {
    const ReasonText &Why = reasonText(Made.Why.Code);
    std::cout << Now.Ms << " ms: " << Why.Name << ": " << Why.Meaning << "\n";
    for (const EntryRef &Entry : Made.Why.Entries)
      std::cout << "    because of the entry " << Entry.Key << " at revision "
                << Entry.At << "\n";
  }
}

} // namespace

int main() {
  policy::CellState Cell;
  play(Cell, ListsChanged{exampleLists()}, {0});
  play(Cell, WorkerJoined{{{"worker-1"}, {"rack-1"}, 0, {"d"}, 64, 131'072, 8}},
       {10});
  play(Cell, JobSubmitted{exampleJob("training", "school-league")}, {20});
  play(Cell, GangStarted{{"training"}, 1}, {30});
  play(Cell, JobSubmitted{exampleJob("pairing", "chess")}, {1'000});
  play(Cell, CheckpointTaken{{"training"}, 1}, {1'500});
  play(Cell, GangStopped{{"training"}, 1}, {1'600});
  play(Cell, GangStarted{{"pairing"}, 1}, {1'700});
  return 0;
}
