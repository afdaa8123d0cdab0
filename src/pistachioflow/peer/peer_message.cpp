#include "pistachioflow/peer/peer_message.hpp"

#include <utility>

#include "pistachioflow/base/bounded_msgpack.hpp"

namespace pistachioflow {

namespace {

Error damaged(std::string Message) {
  return Error{ErrorCode::InvalidInput, std::move(Message), {}};
}

Result<PeerMessage> convert(const msgpack::object &Value) {
  if (Value.type != msgpack::type::ARRAY || Value.via.array.size == 0)
    return damaged("message is not an array");
  if (Value.via.array.ptr[0].as<std::uint32_t>() > PeerMessageVersion)
    return Error{ErrorCode::Unsupported, "message of a later version", {}};
  auto Decoded = Value.as<PeerMessage>();
  if (Decoded.From.empty())
    return damaged("message without a sender");
  return Decoded;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

Result<PeerMessage> decodePeerMessage(std::string_view Bytes) {
  if (Bytes.size() > MaxPeerMessageBytes || !isBoundedMsgpack(Bytes))
    return damaged("message is damaged or too large");
  try {
    const auto Handle = msgpack::unpack(Bytes.data(), Bytes.size());
    return convert(Handle.get());
  } catch (const UnknownAlternative &) {
    return Error{ErrorCode::Unsupported, "message of an unknown kind", {}};
  } catch (const std::exception &Failure) {
    return damaged(Failure.what());
  }
}

} // namespace pistachioflow
