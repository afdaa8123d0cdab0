#include <cstddef>
#include <cstdint>
#include <string_view>

#include "pistachioflow/clients/wire.hpp"

using namespace pistachioflow;

/// Decodes the input as a page of the log.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  const auto Page = decodePage(Bytes);
  if (Page.has_value() &&
      encodePage(decodePage(encodePage(Page.value())).value()) !=
          encodePage(Page.value()))
    __builtin_trap();
  return 0;
}
