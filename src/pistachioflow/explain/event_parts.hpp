#pragma once

#include <string>
#include <vector>

#include "pistachioflow/model/action.hpp"
#include "pistachioflow/model/event.hpp"
#include "pistachioflow/model/timeline.hpp"

namespace pistachioflow::explain {

/// What a part of a record contributes to its time line event.
struct EventPart {
  SubjectKind Kind = SubjectKind::Job;
  std::string Subject;
  std::string What;
  ReasonCode Code = ReasonCode::None; ///< Of facts; decisions bring their own.
  std::vector<SubjectRef> Also;
};

EventPart describeFact(const Event &Fact);
EventPart describeAction(const Action &What);

} // namespace pistachioflow::explain
