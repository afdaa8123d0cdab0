#include "pistachioflow/sched/job_table.hpp"

#include <algorithm>
#include <utility>

namespace pistachioflow {

namespace {

UnitRecord recordOf(const Unit &Of) {
  UnitRecord Record{Of.Run,
                    Of.Done,
                    Of.Failures,
                    Of.Checkpoint,
                    {},
                    Of.FailedRun,
                    Of.FirstMemberEndedAt.Ms != 0};
  const bool AnyLeft = std::ranges::any_of(Of.Members, [](const Member &Entry) {
    return Entry.Phase != MemberPhase::Ended;
  });
  if (AnyLeft)
    for (const Member &Entry : Of.Members)
      Record.Places.push_back({Entry.Worker, Entry.IncarnationStartMs});
  return Record;
}

} // namespace

void JobTable::markDirty(const Unit &Of) {
  if (!hasEnded(Of.ParentJob->Phase))
    this->DirtyUnits[Of.name()] = recordOf(Of);
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
    const Job &Owner = Entry->second;
    const bool StillThere =
        std::ranges::any_of(this->Active, [&Owner](const Unit *Of) {
          return Of->ParentJob == &Owner;
        });
    const bool Old = hasEnded(Owner.Phase) && Owner.EndedWallMs > 0 &&
                     Owner.EndedWallMs < BeforeWallMs;
    if (!Old || StillThere) {
      ++Entry;
      continue;
    }
    this->DroppedKeys.push_back(submissionKey(Owner.Id));
    this->DroppedKeys.push_back(cancellationKey(Owner.Id));
    this->DroppedKeys.push_back(phaseKey(Owner.Id));
    Entry = this->Jobs.erase(Entry);
  }
}

void JobTable::recordEvent(TableEvent::Kind What, std::string Subject,
                           std::string Worker, std::int64_t Run,
                           std::string Detail, std::int64_t Ms) {
  this->Events.push_back({What, std::move(Subject), std::move(Worker), Run,
                          std::move(Detail), Ms});
}

} // namespace pistachioflow
