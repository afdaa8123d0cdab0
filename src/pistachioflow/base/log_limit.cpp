#include "pistachioflow/base/log_limit.hpp"

#include <utility>

namespace pistachioflow {

namespace {

constexpr std::int64_t MsPerSecond = 1'000;

} // namespace

bool LogLimit::admit(std::string_view Event, Instant Now) {
  auto Found = this->Windows.find(Event);
  if (Found == this->Windows.end())
    Found = this->Windows.emplace(Event, Window{}).first;
  Window &Of = Found->second;
  const std::int64_t Second = Now.Ms / MsPerSecond;
  if (Second != Of.Second) {
    Of.ToReport += std::exchange(Of.Suppressed, 0);
    Of.Second = Second;
    Of.Lines = 0;
  }
  if (Of.Lines < this->LinesPerSecond) {
    ++Of.Lines;
    return true;
  }
  ++Of.Suppressed;
  return false;
}

std::int64_t LogLimit::takeSuppressed(std::string_view Event) {
  const auto Found = this->Windows.find(Event);
  if (Found == this->Windows.end())
    return 0;
  return std::exchange(Found->second.ToReport, 0);
}

} // namespace pistachioflow
