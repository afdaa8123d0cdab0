#include "pistachioflow/base/log_limit.hpp"

#include <utility>

namespace pistachioflow {

namespace {

constexpr std::int64_t MsPerSecond = 1'000;

} // namespace

bool LogLimit::admit(std::string_view Event, Instant Now) {
  auto Entry = this->Windows.find(Event);
  if (Entry == this->Windows.end())
    Entry = this->Windows.emplace(Event, Window{}).first;
  Window &Current = Entry->second;
  const std::int64_t Second = Now.Ms / MsPerSecond;
  if (Second != Current.Second) {
    Current.ToReport += std::exchange(Current.Suppressed, 0);
    Current.Second = Second;
    Current.Lines = 0;
  }
  if (Current.Lines < this->LinesPerSecond) {
    ++Current.Lines;
    return true;
  }
  ++Current.Suppressed;
  return false;
}

std::int64_t LogLimit::takeSuppressed(std::string_view Event) {
  const auto Entry = this->Windows.find(Event);
  if (Entry == this->Windows.end())
    return 0;
  return std::exchange(Entry->second.ToReport, 0);
}

} // namespace pistachioflow
