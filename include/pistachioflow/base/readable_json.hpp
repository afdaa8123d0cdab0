#pragma once

#include <string>
#include <string_view>

namespace pistachioflow {

/// Replaces what no JSON text may hold by U+FFFD: bytes that are no UTF-8,
/// escaped halves of a surrogate pair, and control characters in strings. Such
/// a text still parses where one of its strings holds another writer's bytes.
/// Linear in the size of \p Text. Thread safety: any thread.
std::string readableJson(std::string_view Text);

} // namespace pistachioflow
