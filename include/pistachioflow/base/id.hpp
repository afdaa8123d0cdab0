#pragma once

#include <compare>
#include <functional>
#include <string>

#include <msgpack.hpp>

namespace pistachioflow {

/// A strongly typed identifier: the tag keeps ids of different kinds apart at
/// compile time.
template <typename Tag> struct Id {
  std::string Value;

  auto operator<=>(const Id &) const = default;
  bool empty() const { return this->Value.empty(); }
  MSGPACK_DEFINE(Value)
};

using WorkspaceId = Id<struct WorkspaceTag>;
using PlanId = Id<struct PlanTag>;
using JobId = Id<struct JobTag>;
using WorkerId = Id<struct WorkerTag>;
using RackId = Id<struct RackTag>;
using DomainId = Id<struct DomainTag>;
using CellId = Id<struct CellTag>;
using InstanceId = Id<struct InstanceTag>;
using RunnerId = Id<struct RunnerTag>;
using RecordId = Id<struct RecordTag>;
using RequestId = Id<struct RequestTag>;
using StreamName = Id<struct StreamTag>;

} // namespace pistachioflow

template <typename Tag> struct std::hash<pistachioflow::Id<Tag>> {
  std::size_t operator()(const pistachioflow::Id<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.Value);
  }
};
