#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace pistachioflow {

/// An enumerator and its stable name in JSON, logs and tables.
template <typename Enum> struct EnumName {
  Enum Value;
  std::string_view Name;
};

/// Returns the names of all enumerators of \p Enum. Specialised for Adjacency,
/// RequestClass, RequestState, JobPhase, SubjectKind, ListKind, Measure,
/// ReasonCode, PolicyPreset and LogLevel.
/// Thread safety: may be called from any thread.
template <typename Enum> std::span<const EnumName<Enum>> enumNames();

/// Returns the name of \p Value, or "invalid" if it is not an enumerator.
template <typename Enum> std::string_view nameOf(Enum Value) {
  for (const EnumName<Enum> &Entry : enumNames<Enum>()) {
    if (Entry.Value == Value)
      return Entry.Name;
  }
  return "invalid";
}

/// Returns the enumerator with the name \p Name, if there is one.
template <typename Enum>
std::optional<Enum> enumFromName(std::string_view Name) {
  for (const EnumName<Enum> &Entry : enumNames<Enum>()) {
    if (Entry.Name == Name)
      return Entry.Value;
  }
  return std::nullopt;
}

} // namespace pistachioflow
