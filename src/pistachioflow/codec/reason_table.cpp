#include "pistachioflow/codec/reason_table.hpp"

#include <algorithm>
#include <array>

namespace pistachioflow {

namespace {

constexpr std::string_view NoListChange = "nothing in the lists";

constexpr auto Table = std::to_array<ReasonText>({
    {ReasonCode::None, "none", "No reason was recorded.", NoListChange},
    {ReasonCode::AdmittedWithinCeiling, "admitted_within_ceiling",
     "The job fits the ceiling of its workspace's plan and waits for "
     "placement.",
     "limits: ceiling_accelerators of the plan"},
    {ReasonCode::RefusedNoPlan, "refused_no_plan",
     "The list of plans has no entry for the workspace.",
     "plans: add an entry for the workspace"},
    {ReasonCode::RefusedNoLimits, "refused_no_limits",
     "The list of limits has no entry for the workspace's plan.",
     "limits: add an entry for the plan"},
    {ReasonCode::RefusedAboveCeiling, "refused_above_ceiling",
     "The job alone asks for more accelerators than the plan's ceiling.",
     "limits: raise ceiling_accelerators of the plan"},
    {ReasonCode::RefusedFitsNowhere, "refused_fits_nowhere",
     "No set of workers of the cell fits the shape of the job, even when idle.",
     "nothing in the lists; the job needs a smaller shape or a wider "
     "adjacency"},
    {ReasonCode::RefusedUrgentNotAllowed, "refused_urgent_not_allowed",
     "The job is urgent and its plan does not allow urgent jobs.",
     "limits: set allows_urgent of the plan"},
    {ReasonCode::RefusedDuplicateJob, "refused_duplicate_job",
     "A job with the same id was submitted before.",
     "nothing in the lists; submit under a new id"},
    {ReasonCode::CancelledByCaller, "cancelled_by_caller",
     "The caller cancelled the job.", NoListChange},
    {ReasonCode::PlacedInGuarantee, "placed_in_guarantee",
     "The job runs on accelerators that its workspace's guarantee covers.",
     "limits: guarantees of the plan"},
    {ReasonCode::PlacedBorrowing, "placed_borrowing",
     "The job runs above its workspace's guarantee on free accelerators, and "
     "can be preempted.",
     "limits: guarantees of the plan, to make it part of the guarantee"},
    {ReasonCode::PlacedBackfill, "placed_backfill",
     "The job runs in a gap before a reservation starts, and can be preempted.",
     "limits: guarantees of the plan, to make it part of the guarantee"},
    {ReasonCode::PlacedUrgent, "placed_urgent",
     "The job is urgent and was placed before the others.",
     "limits: allows_urgent of the plan"},
    {ReasonCode::ReservedForLargeJob, "reserved_for_large_job",
     "Workers are kept free for a large job that has waited long.",
     "limits: weight of the plan, to change the order of the jobs"},
    {ReasonCode::MovedToJoinFragments, "moved_to_join_fragments",
     "A borrowing job was moved so that free accelerators become adjacent.",
     "limits: guarantees of the plan, so that the job is not a borrower"},
    {ReasonCode::PlacedReserved, "placed_reserved",
     "The job runs on the workers that were reserved for it.",
     "limits: weight of the plan, to change the order of the jobs"},
    {ReasonCode::ReservationEnded, "reservation_ended",
     "The reservation is no longer needed, so its workers are free for others.",
     NoListChange},
    {ReasonCode::ReclaimedForGuarantee, "reclaimed_for_guarantee",
     "A borrowing job gave its accelerators back to a workspace that needs its "
     "guarantee.",
     "limits: guarantees of either plan"},
    {ReasonCode::ReclaimedForUrgent, "reclaimed_for_urgent",
     "A borrowing job was preempted by an urgent one.",
     "limits: allows_urgent of the urgent job's plan"},
    {ReasonCode::ReclaimDeadlinePassed, "reclaim_deadline_passed",
     "A job that was told to checkpoint and stop was stopped at the deadline.",
     "limits: guarantees of the plan, so that the job is not a borrower"},
    {ReasonCode::StoppedWorkerLost, "stopped_worker_lost",
     "A worker of the gang was lost, so the whole gang stops and is queued "
     "again.",
     NoListChange},
    {ReasonCode::StoppedStartRefused, "stopped_start_refused",
     "A worker refused the gang's lease, so every lease was released.",
     NoListChange},
    {ReasonCode::StoppedOverrun, "stopped_overrun",
     "A borrowing job ran past its declared time into a reservation.",
     "limits: guarantees of the plan, so that the job is not a borrower"},
    {ReasonCode::StoppedListsChanged, "stopped_lists_changed",
     "After an edit of the lists, the running job is no longer allowed.",
     "the entry of plans or limits that the edit changed"},
    {ReasonCode::StoppedOrphan, "stopped_orphan",
     "A worker ran tasks that are in no record of the cell.", NoListChange},
    {ReasonCode::FailedOnManyWorkers, "failed_on_many_workers",
     "The job's tasks failed on several workers, so the job is at fault.",
     "nothing in the lists; fix the job and submit it under a new id"},
    {ReasonCode::ThrottledAboveDeclared, "throttled_above_declared",
     "A task uses more processors than its job declared, which slows down its "
     "neighbours.",
     "nothing in the lists; declare the cores that the job uses"},
    {ReasonCode::ReclaimedForWaiting, "reclaimed_for_waiting",
     "A borrowing job was preempted by a job that has waited too long.",
     "limits: guarantees of the plan, so that the job is not a borrower"},
    {ReasonCode::QuarantinedFailsTasks, "quarantined_fails_tasks",
     "The worker failed tasks of several different jobs, so it gets no new "
     "tasks for some time.",
     "nothing in the lists; repair or replace the worker"},
    {ReasonCode::ReleasedOnProbation, "released_on_probation",
     "The worker's quarantine ended; one more failure starts it again.",
     NoListChange},
    {ReasonCode::WorkerLost, "worker_lost",
     "The platform no longer lists the worker, or it does not answer.",
     NoListChange},
    {ReasonCode::WorkerJoined, "worker_joined",
     "The platform lists a new worker.", NoListChange},
    {ReasonCode::HomesAssigned, "homes_assigned",
     "Each guaranteed gang was given workers where it can always run.",
     "limits: guarantees of the plans"},
    {ReasonCode::HomeMoved, "home_moved",
     "A guaranteed gang was given other workers, since some of its own are "
     "lost or quarantined.",
     "limits: guarantees of the plans"},
    {ReasonCode::GuaranteeAtRisk, "guarantee_at_risk",
     "Too few healthy workers are left to place the guaranteed gang.",
     "limits: lower guarantees of a plan until they fit"},
    {ReasonCode::EditAccepted, "edit_accepted",
     "The edit is in the log and is the list's new revision.",
     "edit the list again, based on the new revision"},
    {ReasonCode::EditRefusedStale, "edit_refused_stale",
     "Another edit was accepted first, so this one was based on an old "
     "revision.",
     "read the list again and repeat the edit on its revision"},
    {ReasonCode::EditRefusedInvalid, "edit_refused_invalid",
     "The edit breaks a rule of its list.",
     "the entries that the findings name"},
    {ReasonCode::EditRefusedCannotPack, "edit_refused_cannot_pack",
     "The workers cannot run all guaranteed gangs of the edit at the same "
     "time.",
     "limits: lower guarantees, or plans: move workspaces to smaller plans"},
    {ReasonCode::OwnershipClaimed, "ownership_claimed",
     "The instance owns the stream under a new epoch.", NoListChange},
    {ReasonCode::OwnershipLapsed, "ownership_lapsed",
     "The owner could not renew its lease in time, so it stopped acting.",
     NoListChange},
    {ReasonCode::OwnershipReleased, "ownership_released",
     "The owner is shutting down and named its successor.", NoListChange},
    {ReasonCode::ClaimVoid, "claim_void",
     "Another instance claimed the stream first.", NoListChange},
    {ReasonCode::LogUnavailable, "log_unavailable",
     "The platform's log could not be reached, so nothing new was decided.",
     NoListChange},
    {ReasonCode::ConfigTooOld, "config_too_old",
     "The instance's copy of the lists is too old, so it accepts no new work.",
     NoListChange},
    {ReasonCode::InstanceLeaving, "instance_leaving",
     "The instance is shutting down and accepts no new work.", NoListChange},
    {ReasonCode::OwnershipRenewed, "ownership_renewed",
     "The owner renewed its lease on the stream.", NoListChange},
    {ReasonCode::SnapshotWritten, "snapshot_written",
     "The owner wrote the folded state of the stream, so that older records "
     "may expire.",
     NoListChange},
    {ReasonCode::UsageObserved, "usage_observed",
     "A worker reported what a job uses.", NoListChange},
    {ReasonCode::RequestDone, "request_done",
     "A runner answered the request in full.", NoListChange},
    {ReasonCode::RequestRefusedLimit, "request_refused_limit",
     "The workspace is at its limit of requests.",
     "limits: requests_per_second or concurrent_requests of the plan"},
    {ReasonCode::RequestRefusedDeadline, "request_refused_deadline",
     "The request could not be answered before its deadline.",
     "nothing in the lists; allow a longer deadline"},
    {ReasonCode::RequestRefusedQueueFull, "request_refused_queue_full",
     "The queue of waiting requests is full.",
     "limits: concurrent_requests of the plans that fill the queue"},
    {ReasonCode::RequestRefusedNoPlan, "request_refused_no_plan",
     "The workspace has no plan, or its plan has no limits.",
     "plans: add the workspace; limits: add its plan"},
    {ReasonCode::RequestRefusedLogDown, "request_refused_log_down",
     "A non-idempotent request was refused before it was sent, since its start "
     "could not be recorded.",
     NoListChange},
    {ReasonCode::RequestDuplicateKey, "request_duplicate_key",
     "A request with the same key was started before in this workspace.",
     "nothing in the lists; query the outcome of the first request"},
    {ReasonCode::RequestNoRunner, "request_no_runner",
     "No runner was available for the request.", NoListChange},
    {ReasonCode::RequestAnswerLost, "request_answer_lost",
     "The request was sent, but no complete answer arrived, so it may have "
     "run.",
     NoListChange},
    {ReasonCode::RequestCancelled, "request_cancelled",
     "The caller no longer waits for the request.", NoListChange},
    {ReasonCode::RequestRetried, "request_retried",
     "The request was sent to another runner, since the first did not run it "
     "or since it is safe to run twice.",
     NoListChange},
    {ReasonCode::RunnerEjected, "runner_ejected",
     "The runner is slow or fails, so it gets no requests for some time.",
     NoListChange},
    {ReasonCode::RunnerReturned, "runner_returned",
     "The runner gets requests again.", NoListChange},
});

} // namespace

std::span<const ReasonText> reasonTable() { return Table; }

const ReasonText &reasonText(ReasonCode Code) {
  const auto Row =
      std::lower_bound(Table.begin(), Table.end(), Code,
                       [](const ReasonText &Text, ReasonCode Wanted) {
                         return Text.Code < Wanted;
                       });
  return Row != Table.end() && Row->Code == Code ? *Row : Table.front();
}

std::string_view toString(ReasonCode Code) { return reasonText(Code).Name; }

std::string reasonsPage() {
  std::string Page =
      "# Reason codes\n\n"
      "Every action carries one of these codes. The table is written from "
      "`src/pistachioflow/codec/reason_table.cpp`; a test compares the two.\n\n"
      "| code | name | meaning | what an operator can change |\n"
      "| --- | --- | --- | --- |\n";
  for (const ReasonText &Row : Table) {
    Page += "| " + std::to_string(static_cast<unsigned>(Row.Code)) + " | `" +
            std::string(Row.Name) + "` | " + std::string(Row.Meaning) + " | " +
            std::string(Row.Change) + " |\n";
  }
  return Page;
}

} // namespace pistachioflow
