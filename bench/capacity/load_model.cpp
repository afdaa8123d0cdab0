#include "load_model.hpp"

#include "pistachioflow/codec/settings.hpp"
#include "pistachioflow/controller/cell_fold.hpp"
#include "pistachioflow/controller/cell_tenure.hpp"
#include "sample.hpp"
#include "target.hpp"

namespace pistachioflow::capacity {

namespace {

constexpr double MicrosOfSecond = 1e6;
constexpr double BytesOfMb = 1'048'576;
constexpr double EventsOfJob = 3;
constexpr double GangTasks = 24;
constexpr double WorkersOfRack = 8;
constexpr double EditBurst = 100;

double perSecond(Duration Period) {
  constexpr double MsOfSecond = 1'000;
  return MsOfSecond / static_cast<double>(Period.Ms);
}

double perDay(double Count) { return Count / SecondsADay; }

double gangPlacements() {
  const CellMix Mix = targetCell();
  return Mix.Placements / Mix.Gangs;
}

/// Log bytes a second of one cell without renewals and snapshots.
double cellRecordBytes(const Measured &Figures) {
  const double Jobs = perDay(JobsADay) / FailureDomains *
                      Figures.JobLifeBytes.at(gangPlacements());
  const double Edits =
      perDay(EditsADay) * Figures.ListsChangedBytes.at(Workspaces);
  const double Changes = perDay(WorkerFailuresADay + WorkerRestartsADay) /
                         FailureDomains * Figures.WorkerEventBytes;
  return Jobs + Edits + Changes;
}

double cellRecords(const Measured &Figures) {
  return (perDay(JobsADay) * Figures.JobLifeRecords +
          2 * perDay(WorkerFailuresADay + WorkerRestartsADay)) /
             FailureDomains +
         perDay(EditsADay);
}

double snapshotBytes(const Measured &Figures) {
  const CellMix Mix = targetCell();
  return Figures.SnapshotByWorkers.at(Mix.Workers) +
         Figures.SnapshotByJobs.PerUnit * Mix.Gangs;
}

double cellHeapMb(const Measured &Figures) {
  const CellMix Mix = targetCell();
  return (Figures.HeapByWorkers.at(Mix.Workers) +
          Figures.HeapByJobs.PerUnit * Mix.Gangs) /
         BytesOfMb;
}

double reportBytesOfWorker(const Measured &Figures) {
  return perSecond(WatchSettings{}.PollEvery) *
         Figures.ReportCallBytes.at(targetCell().GangsOfWorker);
}

double renewBytesOfWorker(const Measured &Figures) {
  return perSecond(GangSettings{}.RenewEvery) * targetCell().GangsOfWorker *
         Figures.OrderCallBytes;
}

double callCore(const Measured &Figures, double CallsASecond) {
  return CallsASecond * Figures.CallMicros / MicrosOfSecond;
}

Line idleLine(const IdleDaemon &Idle) {
  return {"entry",
          "the process at rest",
          0,
          Idle.Core,
          Idle.ResidentMb,
          0,
          "thread pools of fixed small size; connections start threads on "
          "demand"};
}

Line gossipLine(const Measured &Figures, double Daemons) {
  constexpr double RunnersInUse = 50;
  constexpr double BothWays = 2;
  const double Messages =
      (Daemons - 1) * BothWays * perSecond(TickPeriods{}.Gossip);
  return {"entry",
          "status to and from every peer",
          Messages * Figures.GossipBytes.at(RunnersInUse),
          0,
          0,
          0,
          "nng, one bounded message each period"};
}

Line configLine(const Measured &Figures) {
  const double Bytes =
      perSecond(TickPeriods{}.Config) * Figures.PollCallBytes +
      perDay(EditsADay) * Figures.PlansEditBytes.at(Workspaces);
  return {"follower",
          "configuration stream",
          Bytes,
          callCore(Figures, perSecond(TickPeriods{}.Config)),
          0,
          0,
          "each instance folds the stream; an edit carries its list"};
}

Line followLine(const Measured &Figures, double Cells) {
  const double Bytes =
      Cells * (perSecond(TickPeriods{}.Cell) * Figures.PollCallBytes +
               cellRecordBytes(Figures) +
               perSecond(LeaseTimes{}.RenewEvery) * Figures.RenewalBytes);
  const double FoldCore = Cells * cellRecords(Figures) *
                          Figures.FoldMicros.PerUnit / MicrosOfSecond;
  return {"follower",
          "streams of cells that others own",
          Bytes,
          callCore(Figures, Cells * perSecond(TickPeriods{}.Cell)) + FoldCore,
          Cells * cellHeapMb(Figures),
          0,
          "reads by polling; pure folds"};
}

Line decideLine(const Measured &Figures, double Cells) {
  const double Events =
      perDay(JobsADay) * EventsOfJob / FailureDomains + perDay(EditsADay);
  const CellMix Mix = targetCell();
  const double Micros = Cells * (Events * Figures.StepMicros.at(Mix.Workers) +
                                 perSecond(TickPeriods{}.Cell) *
                                     Figures.TickMicros.at(Mix.Workers));
  return {"cell owner",
          "decisions",
          0,
          Micros / MicrosOfSecond,
          Cells * cellHeapMb(Figures),
          0,
          "indices by phase, workspace and rack; no scan of all tasks"};
}

Line ownStreamLine(const Measured &Figures, double Cells) {
  const double Renewals = Cells * perSecond(LeaseTimes{}.RenewEvery);
  const double Records = Cells * cellRecords(Figures);
  const double Reads = Cells * perSecond(TickPeriods{}.Cell);
  constexpr double WrittenAndReadBack = 2;
  const double Bytes = WrittenAndReadBack * (Renewals * Figures.RenewalBytes +
                                             Cells * cellRecordBytes(Figures)) +
                       (Renewals + Records + Reads) * Figures.PollCallBytes;
  return {"cell owner",
          "own streams: append, read back, renew",
          Bytes,
          callCore(Figures, Renewals + Records + Reads),
          0,
          Renewals + Records,
          "group commit: one append for each tick that decides"};
}

Line snapshotLine(const Measured &Figures, double Cells) {
  const double Every = static_cast<double>(SnapshotSettings{}.Age.Ms) / 1'000;
  return {"cell owner",
          "snapshots",
          Cells * snapshotBytes(Figures) / Every,
          0,
          0,
          Cells / Every,
          "by age, count and bytes, before the retention horizon"};
}

Line reportsLine(const Measured &Figures, double OwnedWorkers) {
  return {
      "cell owner",
      "reports of its workers",
      OwnedWorkers * reportBytesOfWorker(Figures),
      callCore(Figures, OwnedWorkers * perSecond(WatchSettings{}.PollEvery)),
      0,
      0,
      "each worker is asked once a period"};
}

Line renewalsLine(const Measured &Figures, double OwnedWorkers) {
  const double Calls = OwnedWorkers * targetCell().GangsOfWorker *
                       perSecond(GangSettings{}.RenewEvery);
  return {"cell owner",
          "renewing the leases of tasks",
          OwnedWorkers * renewBytesOfWorker(Figures),
          callCore(Figures, Calls),
          0,
          0,
          "one order for each gang on each worker"};
}

} // namespace

CellMix targetCell() {
  static const CellMix Mix = [] {
    CellMix Made;
    Made.Workers = Workers / FailureDomains;
    CellSample Cell = emptyCell(static_cast<std::uint32_t>(Made.Workers));
    fillCell(Cell, static_cast<std::uint32_t>(Tasks / FailureDomains),
             static_cast<std::uint32_t>(GangTasks));
    for (const auto &Job : Cell.State.Jobs) {
      Made.Gangs += Job.second.Placements.empty() ? 0 : 1;
      Made.Placements += static_cast<double>(Job.second.Placements.size());
    }
    Made.GangsOfWorker = Made.Placements / Made.Workers;
    return Made;
  }();
  return Mix;
}

std::vector<Line> dailyLoad(const Measured &Figures, const IdleDaemon &Idle,
                            double Daemons, bool FollowAll) {
  const double Owned = FailureDomains / Daemons;
  const double Followed = FollowAll ? FailureDomains - Owned : 0;
  return {idleLine(Idle),
          gossipLine(Figures, Daemons),
          configLine(Figures),
          followLine(Figures, Followed),
          decideLine(Figures, Owned),
          ownStreamLine(Figures, Owned),
          snapshotLine(Figures, Owned),
          reportsLine(Figures, Workers / Daemons),
          renewalsLine(Figures, Workers / Daemons)};
}

std::vector<Scenario> scenarios(const Measured &Figures) {
  const CellMix Mix = targetCell();
  const double JobBytes = Figures.JobLifeBytes.at(gangPlacements());
  const double ListBytes = Figures.ListsChangedBytes.at(Workspaces);
  const double RackGangs = WorkersOfRack * Mix.GangsOfWorker;
  const auto Make = [](const char *Name, double Records, double Bytes,
                       const char *Mechanism) {
    return Scenario{Name, Records, Bytes, Bytes / BytesBound, Mechanism};
  };
  return {
      Make("a rack or switch is lost", 2 + RackGangs * Figures.JobLifeRecords,
           WorkersOfRack * Figures.WorkerEventBytes + RackGangs * JobBytes,
           "gangs go back to their checkpoint; homes move"),
      Make("a failure domain is lost", 2 + Mix.Gangs * Figures.JobLifeRecords,
           Mix.Workers * Figures.WorkerEventBytes + Mix.Gangs * JobBytes,
           "its cell's gangs wait; no other cell decides for it"),
      Make("62 failures and 2,800 restarts, each hour",
           2 * (WorkerFailuresADay + WorkerRestartsADay) / 24,
           (WorkerFailuresADay + WorkerRestartsADay) / 24 *
               (Figures.WorkerEventBytes + Mix.GangsOfWorker * JobBytes),
           "spread over the cells"),
      Make("100 edits at once, for each cell", EditBurst,
           EditBurst * (ListBytes + Figures.PlansEditBytes.at(Workspaces)),
           "an owner takes over the last revision of a tick only"),
      Make("a cell's owner is replaced", 2, snapshotBytes(Figures),
           "snapshot, tail, and a question to each worker"),
      Make("regions apart for 5 minutes, for each cell cut off", 0, 0,
           "no owner outside the log's reach decides; running tasks go on"),
  };
}

std::vector<Limit> limits(const Measured &Figures, const IdleDaemon &Idle) {
  const CellMix Mix = targetCell();
  const double WorkerBytes =
      reportBytesOfWorker(Figures) + renewBytesOfWorker(Figures);
  const double WorkerCalls =
      perSecond(WatchSettings{}.PollEvery) +
      Mix.GangsOfWorker * perSecond(GangSettings{}.RenewEvery);
  const Line OneCell = followLine(Figures, 1);
  const double Owned = FailureDomains / EntryInstances;
  return {
      {"workers owned, by bytes of reports and renewals",
       BytesBound / WorkerBytes, Workers / EntryInstances,
       "one renewal for all gangs of a worker, carried by the question for its "
       "report, and a report that holds only what changed"},
      {"workers owned, by processor time of reports and renewals",
       CoreBound * MicrosOfSecond / (WorkerCalls * Figures.CallMicros),
       Workers / EntryInstances,
       "a question that a worker holds open and answers on a change, so that "
       "calls grow with events instead of workers and time"},
      {"cells followed, by bytes of reads", BytesBound / OneCell.Bytes,
       FailureDomains,
       "each daemon folds only the cells that it owns or would claim next; "
       "others are asked through their owner"},
      {"cells followed, by memory",
       (MemoryBoundMb - Idle.ResidentMb) / OneCell.MemoryMb, FailureDomains,
       "the same"},
      {"cells owned, by processor time of decisions",
       CoreBound / decideLine(Figures, 1).Core, Owned,
       "none needed below the bound"},
      {"cells, by appends of renewals to the log",
       LogAppendsBound / perSecond(LeaseTimes{}.RenewEvery), FailureDomains,
       "one lease for each instance instead of each cell"},
  };
}

} // namespace pistachioflow::capacity
