#include "pistachioflow/base/bounded_msgpack.hpp"

#include <cstdint>

#include <msgpack.hpp>

namespace pistachioflow {

namespace {

constexpr std::size_t MaxDepth = 32;

/// Visits a value without building it, and stops at the first exceeded limit.
class BoundVisitor : public msgpack::null_visitor {
public:
  explicit BoundVisitor(std::size_t ByteCount) : ElementsLeft(ByteCount) {}

  // msgpack-cxx prescribes these names.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_array(std::uint32_t Count) { return this->enter(Count); }
  bool start_map(std::uint32_t Pairs) {
    constexpr std::uint64_t ElementsPerPair = 2;
    return this->enter(ElementsPerPair * Pairs);
  }
  bool end_array() { return this->leave(); }
  bool end_map() { return this->leave(); }
  // NOLINTEND(readability-identifier-naming)

private:
  bool enter(std::uint64_t Count) {
    if (Count > this->ElementsLeft || this->Depth == MaxDepth)
      return false;
    this->ElementsLeft -= Count;
    ++this->Depth;
    return true;
  }

  bool leave() {
    --this->Depth;
    return true;
  }

  std::uint64_t ElementsLeft;
  std::size_t Depth = 0;
};

} // namespace

bool isBoundedMsgpack(std::string_view Bytes) {
  BoundVisitor Visitor(Bytes.size());
  std::size_t End = 0;
  try {
    return msgpack::parse(Bytes.data(), Bytes.size(), End, Visitor) &&
           End == Bytes.size();
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace pistachioflow
