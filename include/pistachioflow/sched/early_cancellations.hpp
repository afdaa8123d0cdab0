#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/sched/records.hpp"

namespace pistachioflow {

/// Cancellations of jobs that were unknown when their callers cancelled them. A
/// submission may still be on its way to the journal; it is then cancelled as
/// soon as it is stored.
///
/// Load pattern: a caller that gets no answer to a submission, since its
/// instance does not reach the store, and cancels it at another instance.
/// Thread safety: none.
struct EarlyCancellations {
  /// By name: the job's id and the workspace, as in the record's key.
  std::map<std::string, EarlyCancellationRecord, std::less<>> ByName;
};

/// Whether the caller of \p Record may cancel a job of this queue and
/// workspace.
bool mayCancel(const EarlyCancellationRecord &Record, std::string_view Queue,
               std::string_view Workspace);

/// Whether a caller who may do so has cancelled the job.
bool cancelsJob(const EarlyCancellations &Known, std::string_view JobId,
                std::string_view Queue, std::string_view Workspace);

/// Returns how many cancellations the workspace's callers have made.
std::size_t countOf(const EarlyCancellations &Known,
                    std::string_view Workspace);

/// Removes the cancellations made before \p BeforeWallMs and returns their
/// names.
std::vector<std::string> takeExpired(EarlyCancellations &Known,
                                     std::int64_t BeforeWallMs);

} // namespace pistachioflow
