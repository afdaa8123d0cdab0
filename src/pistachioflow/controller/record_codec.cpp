#include <msgpack.hpp>

#include "pistachioflow/base/bounded_msgpack.hpp"
#include "pistachioflow/controller/stream.hpp"

namespace pistachioflow {

namespace {

Error damaged(std::string Message) {
  return Error{ErrorCode::InvalidInput, std::move(Message), {}};
}

Error unsupported(std::string Message) {
  return Error{ErrorCode::Unsupported, std::move(Message), {}};
}

/// Reads the version before anything else: a later version may have changed all
/// that follows it.
std::uint32_t versionOf(const msgpack::object &Value) {
  if (Value.type != msgpack::type::ARRAY || Value.via.array.size == 0)
    throw msgpack::type_error();
  const msgpack::object &Header = Value.via.array.ptr[0];
  if (Header.type != msgpack::type::ARRAY || Header.via.array.size == 0)
    throw msgpack::type_error();
  return Header.via.array.ptr[0].as<std::uint32_t>();
}

Result<Record> convert(const msgpack::object &Value) {
  if (versionOf(Value) > RecordVersion)
    return unsupported("record of a later version");
  auto Decoded = Value.as<Record>();
  if (Decoded.Header.Id.empty())
    return damaged("record without an id");
  return Decoded;
}

} // namespace

std::string encodeRecord(const Record &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

Result<Record> decodeRecord(std::string_view Bytes) {
  if (Bytes.size() > MaxRecordBytes || !isBoundedMsgpack(Bytes))
    return damaged("record is damaged or too large");
  try {
    const auto Handle = msgpack::unpack(Bytes.data(), Bytes.size());
    return convert(Handle.get());
  } catch (const UnknownAlternative &) {
    return unsupported("record with an unknown kind of content");
  } catch (const std::exception &Failure) {
    return damaged(Failure.what());
  }
}

} // namespace pistachioflow
