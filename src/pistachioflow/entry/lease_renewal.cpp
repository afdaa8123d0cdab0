#include <algorithm>

#include "pistachioflow/entry/dispatcher.hpp"
#include "pistachioflow/entry/dispatcher_ownership_term.hpp"

namespace pistachioflow {

bool mayHaveRuns(const JobTable &Table, std::string_view Worker) {
  const auto MayRun = [](const MemberRef &Ref) {
    const MemberPhase Phase = Ref.member().Phase;
    return Phase == MemberPhase::Sent || Phase == MemberPhase::Adopted ||
           Phase == MemberPhase::Running;
  };
  return std::ranges::any_of(Table.membersOn(Worker), MayRun);
}

/// Returns until when a lease may last that is granted at \p Now for up to
/// \p Wanted; it may be before \p Now.
Instant Dispatcher::leaseEnd(const OwnershipTerm &Term, Duration Wanted,
                             Instant Now) const {
  const Instant WantedEnd = Now + Wanted;
  RenewalEvidence Evidence;
  Evidence.StoredAt = Term.storedAt();
  if (WantedEnd <= Evidence.StoredAt + shortReach(this->Settings.MaxLease))
    return WantedEnd;
  for (const auto &[Id, Worker] : Term.Workers)
    if (mayHaveRuns(Term.Table, Id))
      Evidence.Occupied.push_back(Worker->LastAcceptedAt);
  for (const auto &[Id, Runs] : Term.GivenUp)
    if (Runs.At >= Evidence.StoredAt)
      Evidence.GivenUp.push_back(Runs.LastAcceptedAt);
  return std::min(WantedEnd, latestLeaseEnd(this->Settings.MaxLease, Evidence));
}

/// Applies what is known of earlier owners' leases to each worker that has not
/// answered in this term.
void Dispatcher::boundEarlierLeases(OwnershipTerm &Term) const {
  const Instant LeaseEnds =
      earlierLeasesEnd(this->Settings.MaxLease, Term.Earlier);
  for (const auto &[Id, Worker] : Term.Workers)
    if (Worker->LastAcceptedAt.Ms == 0)
      Worker->Leases.End = LeaseEnds;
}

/// Call when the first report of \p Worker in this term has been applied.
void Dispatcher::noteFirstAnswer(OwnershipTerm &Term,
                                 const WorkerLink &Worker) const {
  const auto Runs = [](const MemberRef &Ref) {
    return Ref.member().Phase == MemberPhase::Running;
  };
  if (!std::ranges::any_of(Term.Table.membersOn(Worker.Id), Runs))
    return;
  ++Term.ShownAtStart;
  const bool Fences =
      fencesEarlierOwners(Term.ShownAtStart, Term.OccupiedAtStart);
  if (Term.Earlier.FencedAt.Ms != 0 || !Fences)
    return;
  Term.Earlier.FencedAt = this->Time.monotonic();
  this->boundEarlierLeases(Term);
}

/// Call where the runs on \p Worker are taken for over although it has not
/// reported their ends.
void Dispatcher::noteRunsGivenUp(OwnershipTerm &Term,
                                 const WorkerLink &Worker) const {
  const Instant StoredAt = Term.storedAt();
  std::erase_if(Term.GivenUp,
                [&](const auto &Entry) { return Entry.second.At < StoredAt; });
  Term.GivenUp.try_emplace(Worker.Id,
                           OwnershipTerm::GivenUpRuns{this->Time.monotonic(),
                                                      Worker.LastAcceptedAt});
}

} // namespace pistachioflow
