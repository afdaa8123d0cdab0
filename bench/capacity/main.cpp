#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "measure.hpp"
#include "report.hpp"

ABSL_FLAG(double, idle_resident_mb, 0, "resident memory of a daemon at rest");
ABSL_FLAG(double, idle_threads, 0, "threads of a daemon at rest");
ABSL_FLAG(double, idle_core, 0, "share of one core of a daemon at rest");

int main(int Count, char **Values) {
  using namespace pistachioflow::capacity;
  absl::SetProgramUsageMessage(
      "Measures what state, records, decisions and messages cost for each "
      "unit, and prints the tables of docs/CAPACITY.md.");
  absl::ParseCommandLine(Count, Values);
  Measured Figures;
  measureRecords(Figures);
  measureState(Figures);
  measureDecisions(Figures);
  measureMessages(Figures);
  IdleDaemon Idle;
  Idle.ResidentMb = absl::GetFlag(FLAGS_idle_resident_mb);
  Idle.Threads = absl::GetFlag(FLAGS_idle_threads);
  Idle.Core = absl::GetFlag(FLAGS_idle_core);
  std::cout << capacityTables(Figures, Idle);
  return 0;
}
