#pragma once

#include <cstdint>
#include <utility>
#include <variant>

#include <msgpack.hpp>

namespace pistachioflow {

/// Thrown while unpacking a variant whose index is unknown to this program,
/// because a later version wrote it.
struct UnknownAlternative : msgpack::type_error {};

} // namespace pistachioflow

// msgpack-cxx has no adaptor for std::variant. A variant is packed as the pair
// [index, value], so alternatives may only be added at the end.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename... Ts> struct pack<std::variant<Ts...>> {
    template <typename Stream>
    packer<Stream> &operator()(packer<Stream> &Out,
                               const std::variant<Ts...> &Value) const {
      constexpr std::uint32_t PairSize = 2;
      Out.pack_array(PairSize);
      Out.pack(static_cast<std::uint32_t>(Value.index()));
      std::visit([&Out](const auto &Alternative) { Out.pack(Alternative); },
                 Value);
      return Out;
    }
  };

  template <typename... Ts> struct convert<std::variant<Ts...>> {
    const msgpack::object &operator()(const msgpack::object &In,
                                      std::variant<Ts...> &Value) const {
      if (In.type != msgpack::type::ARRAY || In.via.array.size != 2)
        throw msgpack::type_error();
      const auto Index = In.via.array.ptr[0].as<std::uint32_t>();
      if (Index >= sizeof...(Ts))
        throw pistachioflow::UnknownAlternative();
      readAlternative(In.via.array.ptr[1], Index, Value,
                      std::index_sequence_for<Ts...>{});
      return In;
    }

  private:
    template <std::size_t... Is>
    static void readAlternative(const msgpack::object &In, std::size_t Index,
                                std::variant<Ts...> &Value,
                                std::index_sequence<Is...>) {
      ((Index == Is
            ? static_cast<void>(Value.template emplace<Is>(
                  In.as<std::variant_alternative_t<Is, std::variant<Ts...>>>()))
            : void()),
       ...);
    }
  };

  } // namespace adaptor
}
} // namespace msgpack
