#include "pistachioflow/model/job.hpp"

namespace pistachioflow {

std::string_view toString(JobPhase Phase) {
  switch (Phase) {
  case JobPhase::Queued:
    return "queued";
  case JobPhase::Starting:
    return "starting";
  case JobPhase::Running:
    return "running";
  case JobPhase::Stopping:
    return "stopping";
  case JobPhase::Finished:
    return "finished";
  case JobPhase::Failed:
    return "failed";
  case JobPhase::Cancelled:
    return "cancelled";
  case JobPhase::Refused:
    return "refused";
  }
  return "invalid";
}

} // namespace pistachioflow
