#include "pistachioflow/sched/job_table.hpp"

#include <algorithm>
#include <utility>

namespace pistachioflow {

namespace {

UnitRecord recordOf(const Unit &Unit) {
  UnitRecord Record;
  Record.Run = Unit.Run;
  Record.Done = Unit.Done;
  Record.Checkpoint = Unit.Checkpoint;
  Record.GangRunEnded = Unit.FirstMemberEndedAt.Ms != 0;
  writeAttempts(Unit.Attempts, Record);
  Record.Crashes = Unit.Crashes.Crashes;
  const bool AnyActive =
      std::ranges::any_of(Unit.Members, [](const Member &Entry) {
        return Entry.Phase != MemberPhase::Ended;
      });
  if (AnyActive)
    for (const Member &Entry : Unit.Members)
      Record.Places.push_back({Entry.Worker, Entry.IncarnationStartMs});
  return Record;
}

} // namespace

void JobTable::markDirty(const Unit &Unit) {
  if (!hasEnded(Unit.ParentJob->Phase))
    this->DirtyUnits[Unit.name()] = recordOf(Unit);
}

bool JobTable::dirty() const {
  return !this->DirtyUnits.empty() || !this->DirtyPhases.empty() ||
         !this->DroppedKeys.empty();
}

std::vector<JournalRecord> JobTable::takeRecords() {
  std::vector<JournalRecord> Records;
  for (const auto &[Name, Record] : this->DirtyUnits) {
    this->RecordedUnits.insert(Name);
    Records.push_back({unitKey(Name), encodeRecord(Record)});
  }
  for (const auto &[Id, Record] : this->DirtyPhases)
    Records.push_back({phaseKey(Id), encodeRecord(Record)});
  for (std::string &Key : this->DroppedKeys)
    Records.push_back({std::move(Key), {}});
  this->DirtyUnits.clear();
  this->DirtyPhases.clear();
  this->DroppedKeys.clear();
  return Records;
}

std::vector<TableEvent> JobTable::takeEvents() {
  return std::exchange(this->Events, {});
}

void JobTable::expire(std::int64_t BeforeWallMs) {
  for (auto Entry = this->Jobs.begin(); Entry != this->Jobs.end();) {
    const Job &Job = Entry->second;
    const bool Old = hasEnded(Job.Phase) && Job.EndedWallMs > 0 &&
                     Job.EndedWallMs < BeforeWallMs;
    const auto BelongsToJob = [&Job](const Unit *Unit) {
      return Unit->ParentJob == &Job;
    };
    if (!Old || std::ranges::any_of(this->Active, BelongsToJob)) {
      ++Entry;
      continue;
    }
    // A unit may be listed under a worker that its record no longer names.
    for (auto *ByWorker :
         {&this->PresumedEndsByWorker, &this->SuspectsByWorker})
      for (auto &[Worker, Units] : *ByWorker)
        std::erase_if(Units, BelongsToJob);
    this->DroppedKeys.push_back(submissionKey(Job.Id));
    this->DroppedKeys.push_back(cancellationKey(Job.Id));
    this->DroppedKeys.push_back(phaseKey(Job.Id));
    Entry = this->Jobs.erase(Entry);
  }
}

void JobTable::expireEarlyCancellations(std::int64_t BeforeWallMs) {
  for (const std::string &Name : takeExpired(this->Cancellations, BeforeWallMs))
    this->DroppedKeys.push_back(earlyCancellationKey(Name));
}

void JobTable::recordEvent(TableEvent::Kind EventKind, std::string Subject,
                           std::string Worker, std::int64_t Run,
                           std::string Detail, std::int64_t Ms) {
  this->Events.push_back({EventKind, std::move(Subject), std::move(Worker), Run,
                          std::move(Detail), Ms});
}

} // namespace pistachioflow
