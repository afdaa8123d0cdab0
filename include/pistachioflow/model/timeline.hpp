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

/// Something that an event is about besides its subject.
struct SubjectRef {
  SubjectKind Kind = SubjectKind::Job;
  std::string Name;

  bool operator==(const SubjectRef &) const = default;
  MSGPACK_DEFINE(Kind, Name)
};

/// One action of the system, as the time line and the explanations show it.
struct TimelineEvent {
  Instant Wall;         ///< The author's wall clock.
  InstanceId Instance;  ///< The author.
  StreamName Stream;    ///< Empty for events held only in memory.
  std::uint64_t At = 0; ///< Offset in Stream.
  Epoch OwnerEpoch = 0;
  SubjectKind Kind = SubjectKind::Job;
  std::string Subject;
  std::string What; ///< A few words: "start on worker-1, worker-2".
  Reason Why;
  std::vector<SubjectRef> RelatedSubjects = {}; ///< Whom else it concerns.

  MSGPACK_DEFINE(Wall, Instance, Stream, At, OwnerEpoch, Kind, Subject, What,
                 Why, RelatedSubjects)
};

} // namespace pistachioflow
