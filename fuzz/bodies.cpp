#include <cstddef>
#include <cstdint>
#include <string_view>

#include "pistachioflow/clients/wire.hpp"
#include "pistachioflow/codec/model_json.hpp"

using namespace pistachioflow;

namespace {

constexpr JsonBounds BodyBounds;

/// What was read must be read again from what is written of it.
template <typename ReadFunction>
void checkBody(std::string_view Text, ReadFunction Read) {
  const auto First = decodeJson(Text, BodyBounds, Read);
  if (First.has_error()) {
    if (First.error().Details.empty())
      __builtin_trap();
    dumpJson(toJson(First.error().Details));
    return;
  }
  const std::string Written = dumpJson(toJson(First.value()));
  const auto Second = decodeJson(Written, BodyBounds, Read);
  if (Second.has_error() || dumpJson(toJson(Second.value())) != Written)
    __builtin_trap();
}

void checkRequest(std::string_view Text) {
  const auto Read = decodeJson(Text, BodyBounds, [](ObjectReader In) {
    return readCallerRequest(std::move(In), {0});
  });
  if (Read.has_error() && Read.error().Details.empty())
    __builtin_trap();
}

} // namespace

/// Parses the input as one of the JSON bodies; its first byte chooses which.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size == 0)
    return 0;
  const std::string_view Text(reinterpret_cast<const char *>(Data + 1),
                              Size - 1);
  switch (Data[0]) {
  case 'p':
    checkBody(Text, readPlansList);
    break;
  case 'l':
    checkBody(Text, readLimitsList);
    break;
  case 'j':
    checkBody(Text, readJobSpec);
    break;
  case 'e':
    checkBody(Text, readTimelineEvent);
    break;
  case 'o':
    checkBody(Text, readRequestOutcome);
    break;
  case 'w':
    checkBody(Text, readWorkerOrder);
    break;
  case 'u':
    checkBody(Text, readWorkerReport);
    break;
  case 'a':
    checkBody(Text, readRunnerReply);
    break;
  default:
    checkRequest(Text);
  }
  return 0;
}
