#include "task_name.hpp"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace pistachioflow {

namespace {

std::int64_t parseNumber(std::string_view &Rest) {
  if (!Rest.starts_with('.'))
    return -1;
  Rest.remove_prefix(1);
  std::int64_t Number = -1;
  const auto Read =
      std::from_chars(Rest.data(), Rest.data() + Rest.size(), Number);
  if (Read.ec != std::errc() || Number < 0)
    return -1;
  Rest.remove_prefix(static_cast<std::size_t>(Read.ptr - Rest.data()));
  return Number;
}

} // namespace

TaskName parseTaskName(std::string_view Name) {
  const auto Dot = std::min(Name.find('.'), Name.size());
  std::string_view Rest = Name.substr(Dot);
  TaskName Parsed{Name.substr(0, Dot)};
  Parsed.Occurrence = parseNumber(Rest);
  Parsed.Step = parseNumber(Rest);
  if (!Rest.empty())
    Parsed.Index = parseNumber(Rest);
  return Parsed;
}

} // namespace pistachioflow
