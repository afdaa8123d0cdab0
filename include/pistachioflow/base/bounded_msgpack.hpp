#pragma once

#include <cstddef>
#include <string_view>

namespace pistachioflow {

/// Returns whether \p Bytes hold exactly one msgpack value that can be unpacked
/// with memory proportional to its size: nesting stays below a fixed limit, and
/// no container declares more elements than there are bytes. Call it before
/// unpacking data from another process.
/// Thread safety: may be called from any thread.
bool isBoundedMsgpack(std::string_view Bytes);

} // namespace pistachioflow
