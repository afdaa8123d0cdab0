#include <cstddef>
#include <cstdint>
#include <string_view>

#include "pistachioflow/codec/settings.hpp"

/// Parses the input as a settings file.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const auto Read = pistachioflow::parseSettings(Text, "fuzz");
  if (Read.has_error() && Read.error().Details.empty())
    __builtin_trap();
  return 0;
}
