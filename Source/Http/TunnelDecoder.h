#ifndef ANVIL_HTTP_TUNNELDECODER_H
#define ANVIL_HTTP_TUNNELDECODER_H

#include "Http/TunnelFrame.h"

#include <array>
#include <cstddef>
#include <optional>

namespace anvil {

/// Reads the frames of a tunnel as they arrive, in pieces of any size.
class TunnelDecoder {
public:
  /// Moves the server's bytes among those received to the front of the buffer
  /// and returns their number. Nothing if the bytes are no frames.
  std::optional<std::size_t> decode(char *Bytes, std::size_t Size);

  /// Whether the relay has stated the end of the server's connection.
  bool hasEnded() const { return HasEnded_; }

  /// Whether further requests may be sent.
  bool takesRequests() const { return !HasEnded_ && !IsRetired_; }

private:
  /// Reads a frame's head once it is complete. False if it is malformed.
  bool readHead();

  std::array<char, TunnelFrameHeadBytes> Head_{};
  std::size_t HeadSize_ = 0;
  /// What is still to come of the current frame.
  std::size_t Remaining_ = 0;
  bool HasEnded_ = false;
  bool IsRetired_ = false;
};

} // namespace anvil

#endif // ANVIL_HTTP_TUNNELDECODER_H
