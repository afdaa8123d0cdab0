#include <cstddef>
#include <cstdint>
#include <string_view>

#include "pistachioflow/controller/stream.hpp"
#include "pistachioflow/explain/record_events.hpp"
#include "pistachioflow/explain/timeline_page.hpp"

using namespace pistachioflow;

/// Decodes the input as a record of the log, and explains what it holds.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  const auto Read = decodeRecord(Bytes);
  if (Read.has_error())
    return 0;
  const std::string Written = encodeRecord(Read.value());
  const auto Again = decodeRecord(Written);
  if (Again.has_error() || encodeRecord(Again.value()) != Written)
    __builtin_trap();
  const auto Merged =
      explain::mergeTimeline(explain::eventsOf(Read.value(), {"cell/main"}, 1));
  explain::timelineText(Merged);
  explain::timelinePage(Merged, {});
  return 0;
}
