#pragma once

#include <cstddef>
#include <string_view>

namespace pistachioflow {

/// Tells whether \p Bytes are exactly one msgpack value that can be unpacked
/// with memory in proportion to its size: no nesting deeper than a fixed limit
/// and no container that announces more elements than bytes follow. Check it
/// before unpacking what another process sent.
/// Thread safety: may be called from any thread.
bool isBoundedMsgpack(std::string_view Bytes);

} // namespace pistachioflow
