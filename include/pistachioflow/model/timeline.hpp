#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/model/reason.hpp"
#include "pistachioflow/model/record.hpp"

namespace pistachioflow {

enum class SubjectKind : std::uint8_t {
  Job,
  Request,
  Workspace,
  Worker,
  Runner,
  Instance,
  Cell,
  List,
};

} // namespace pistachioflow

MSGPACK_ADD_ENUM(pistachioflow::SubjectKind)

namespace pistachioflow {

/// Another object that an event concerns besides its subject.
struct SubjectRef {
  SubjectKind Kind = SubjectKind::Job;
  std::string Name;

  bool operator==(const SubjectRef &) const = default;
  MSGPACK_DEFINE(Kind, Name)
};

/// One action of the system, as shown by the timeline and the explanations.
struct TimelineEvent {
  Instant Wall;         ///< The author's wall clock.
  InstanceId Instance;  ///< The author.
  StreamName Stream;    ///< Empty for events that are only in memory.
  std::uint64_t At = 0; ///< Offset in Stream.
  Epoch OwnerEpoch = 0;
  SubjectKind Kind = SubjectKind::Job;
  std::string Subject;
  std::string What; ///< Short text such as "start on worker-1, worker-2".
  Reason Why;
  std::vector<SubjectRef> RelatedSubjects =
      {}; ///< Other objects that it concerns.

  MSGPACK_DEFINE(Wall, Instance, Stream, At, OwnerEpoch, Kind, Subject, What,
                 Why, RelatedSubjects)
};

} // namespace pistachioflow
