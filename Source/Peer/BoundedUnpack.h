#ifndef ANVIL_PEER_BOUNDEDUNPACK_H
#define ANVIL_PEER_BOUNDEDUNPACK_H

#include <msgpack.hpp>

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace anvil {

/// Counts the values of msgpack bytes and stops when they exceed a limit. Takes
/// no memory for them.
class ValueCounter : public msgpack::null_visitor {
public:
  explicit ValueCounter(std::size_t Limit) : Left_(Limit) {}

  bool start_array(std::uint32_t Count) { return take(Count); }
  bool start_map(std::uint32_t Count) {
    return take(2 * static_cast<std::size_t>(Count));
  }
  void parse_error(std::size_t, std::size_t) { Failed_ = true; }
  void insufficient_bytes(std::size_t, std::size_t) { Failed_ = true; }

  bool failed() const { return Failed_; }

private:
  bool take(std::size_t Count) {
    Failed_ = Failed_ || Count > Left_;
    Left_ -= Failed_ ? 0 : Count;
    return !Failed_;
  }

  std::size_t Left_;
  bool Failed_ = false;
};

/// Decodes msgpack bytes from outside this process. Declared lengths that
/// exceed the input, each or together, are rejected before memory is allocated
/// for them. Throws on every error, as msgpack does.
inline msgpack::object_handle unpackBounded(std::string_view Bytes) {
  // No message nests deeper than six levels.
  constexpr std::size_t MaxNestingDepth = 16;
  constexpr std::size_t MaxValues = 1000000;
  std::size_t Size = Bytes.size();
  ValueCounter Values(std::min(Size, MaxValues));
  std::size_t Parsed = 0;
  if (!msgpack::parse(Bytes.data(), Size, Parsed, Values) || Values.failed())
    throw msgpack::size_overflow("too many values");
  return msgpack::unpack(
      Bytes.data(), Size, nullptr, nullptr,
      msgpack::unpack_limit(Size, Size, Size, Size, Size, MaxNestingDepth));
}

} // namespace anvil

#endif // ANVIL_PEER_BOUNDEDUNPACK_H
