#include "report.hpp"

#include <iomanip>
#include <span>
#include <sstream>

#include "load_model.hpp"
#include "target.hpp"

namespace pistachioflow::capacity {

namespace {

constexpr double Percent = 100;

std::string number(double Value, int Digits) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(Digits) << Value;
  return Out.str();
}

std::string points(const Slope &Line) {
  std::string Text;
  for (const Point &Item : Line.Points)
    Text += (Text.empty() ? "" : "; ") + number(Item.X, 0) + ": " +
            number(Item.Y, 1);
  return Text;
}

void slopeRow(std::string &Text, const Slope &Line, double Target) {
  const double Beyond = Target / Line.Points.back().X;
  Text += "| " + Line.Name + " | " + points(Line) + " | " +
          number(Line.Fixed, 1) + " + " + number(Line.PerUnit, 3) + " x " +
          Line.XUnit + " | " + Line.YUnit + " | " + number(Line.R2, 3) + " | " +
          number(Target, 0) + " | " + number(Beyond, 1) + " |\n";
}

std::string slopeTable(const Measured &Figures) {
  const CellMix Mix = targetCell();
  std::string Text =
      "### Measured slopes\n\n"
      "| What | Points | Line | In | R2 | Target | Target over the highest "
      "point |\n| --- | --- | --- | --- | --- | ---: | ---: |\n";
  slopeRow(Text, Figures.StartBytes, LargestGang);
  slopeRow(Text, Figures.JobLifeBytes, Mix.Placements / Mix.Gangs);
  slopeRow(Text, Figures.PlansEditBytes, Workspaces);
  slopeRow(Text, Figures.ListsChangedBytes, Workspaces);
  slopeRow(Text, Figures.SnapshotByWorkers, Mix.Workers);
  slopeRow(Text, Figures.SnapshotByJobs, Mix.Gangs);
  slopeRow(Text, Figures.HeapByWorkers, Mix.Workers);
  slopeRow(Text, Figures.HeapByJobs, Mix.Gangs);
  slopeRow(Text, Figures.StepMicros, Mix.Workers);
  slopeRow(Text, Figures.TickMicros, Mix.Workers);
  slopeRow(Text, Figures.FoldMicros, Figures.FoldMicros.Points.back().X);
  slopeRow(Text, Figures.ReportCallBytes, Mix.GangsOfWorker);
  constexpr double RunnersToday = 50;
  slopeRow(Text, Figures.GossipBytes, RunnersToday);
  return Text;
}

std::string singleTable(const Measured &Figures, const IdleDaemon &Idle) {
  std::string Text = "### Measured single figures\n\n"
                     "| What | Figure |\n| --- | ---: |\n";
  const auto Row = [&Text](const char *What, double Value, int Digits) {
    Text += "| " + std::string(What) + " | " + number(Value, Digits) + " |\n";
  };
  Row("records of one job", Figures.JobLifeRecords, 0);
  Row("a renewal, bytes", Figures.RenewalBytes, 0);
  Row("a worker lost and joined again, bytes", Figures.WorkerEventBytes, 0);
  Row("begin and end of one request with a body of 512 bytes, bytes",
      Figures.KeyPairBytes, 0);
  Row("one order to a worker and its answer, bytes", Figures.OrderCallBytes, 0);
  Row("one read of a stream without new records, bytes", Figures.PollCallBytes,
      0);
  Row("processor time of the caller of one call, us", Figures.CallMicros, 0);
  Row("a daemon at rest: resident MB", Idle.ResidentMb, 1);
  Row("a daemon at rest: threads", Idle.Threads, 0);
  Row("a daemon at rest: percent of a core", Idle.Core * Percent, 2);
  return Text;
}

std::string verdict(double Value, double Bound) {
  return Value <= Bound ? "holds" : "over, " + number(Value / Bound, 1) + " x";
}

std::string loadTable(std::span<const Line> Lines) {
  std::string Text = "| Role | What | Bytes/s | Core % | MB | Appends/s | "
                     "Carried by |\n"
                     "| --- | --- | ---: | ---: | ---: | ---: | --- |\n";
  Line Sum;
  for (const Line &Item : Lines) {
    Text += "| " + Item.Role + " | " + Item.What + " | " +
            number(Item.Bytes, 0) + " | " + number(Item.Core * Percent, 3) +
            " | " + number(Item.MemoryMb, 2) + " | " + number(Item.Appends, 3) +
            " | " + Item.Mechanism + " |\n";
    Sum.Bytes += Item.Bytes;
    Sum.Core += Item.Core;
    Sum.MemoryMb += Item.MemoryMb;
    Sum.Appends += Item.Appends;
  }
  Text += "| **sum** | | " + number(Sum.Bytes, 0) + " | " +
          number(Sum.Core * Percent, 3) + " | " + number(Sum.MemoryMb, 2) +
          " | " + number(Sum.Appends, 3) + " | |\n";
  Text += "| **bound** | | " + number(BytesBound, 0) + " | " +
          number(CoreBound * Percent, 1) + " | " + number(MemoryBoundMb, 0) +
          " | | |\n";
  Text += "| **verdict** | | " + verdict(Sum.Bytes, BytesBound) + " | " +
          verdict(Sum.Core, CoreBound) + " | " +
          verdict(Sum.MemoryMb, MemoryBoundMb) + " | | |\n";
  return Text;
}

std::string loadTables(const Measured &Figures, const IdleDaemon &Idle) {
  constexpr double ThreeInEachDomain = 63;
  std::string Text =
      "### A normal day at the target, 9 daemons, each following every cell "
      "(today's design)\n\n";
  Text += loadTable(dailyLoad(Figures, Idle, EntryInstances, true));
  Text += "\n### The same, 63 daemons (three in each failure domain), each "
          "following only what it owns\n\n";
  Text += loadTable(dailyLoad(Figures, Idle, ThreeInEachDomain, false));
  return Text;
}

std::string logTable(const Measured &Figures, const IdleDaemon &Idle) {
  double Appends = 0;
  for (const Line &Item : dailyLoad(Figures, Idle, EntryInstances, true))
    Appends += Item.Appends * EntryInstances;
  Appends += EditsADay / SecondsADay;
  return "### The log\n\n| What | At the target | Bound | Verdict |\n"
         "| --- | ---: | ---: | --- |\n| appends a second of all instances | " +
         number(Appends, 1) + " | " + number(LogAppendsBound, 0) + " | " +
         verdict(Appends, LogAppendsBound) + " |\n";
}

std::string scenarioTable(const Measured &Figures) {
  std::string Text =
      "### Days that are not normal\n\n| What | Records | Bytes in the log | "
      "Seconds at 25 KB/s | Carried by |\n| --- | ---: | ---: | ---: | --- |\n";
  for (const Scenario &Item : scenarios(Figures))
    Text += "| " + Item.Name + " | " + number(Item.Records, 0) + " | " +
            number(Item.LogBytes, 0) + " | " + number(Item.SecondsAtBound, 1) +
            " | " + Item.Mechanism + " |\n";
  return Text;
}

std::string limitTable(const Measured &Figures, const IdleDaemon &Idle) {
  std::string Text = "### Where it breaks, for one daemon\n\n"
                     "| What | Breaks at | Needed with 9 daemons | Verdict | "
                     "What would carry it |\n"
                     "| --- | ---: | ---: | --- | --- |\n";
  for (const Limit &Item : limits(Figures, Idle)) {
    const bool Holds = Item.Target <= Item.Bound;
    Text += "| " + Item.What + " | " + number(Item.Bound, 1) + " | " +
            number(Item.Target, 1) + " | " + (Holds ? "holds" : "breaks") +
            " | " + (Holds ? "-" : Item.Change) + " |\n";
  }
  return Text;
}

} // namespace

std::string capacityTables(const Measured &Figures, const IdleDaemon &Idle) {
  return slopeTable(Figures) + "\n" + singleTable(Figures, Idle) + "\n" +
         loadTables(Figures, Idle) + "\n" + logTable(Figures, Idle) + "\n" +
         limitTable(Figures, Idle) + "\n" + scenarioTable(Figures);
}

} // namespace pistachioflow::capacity
