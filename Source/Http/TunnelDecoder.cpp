#include "Http/TunnelDecoder.h"

#include <algorithm>
#include <cstring>

namespace anvil {

bool TunnelDecoder::readHead() {
  constexpr unsigned ByteBits = 8;
  HeadSize_ = 0;
  std::size_t Size = 0;
  for (std::size_t Index = 1; Index < TunnelFrameHeadBytes; ++Index)
    Size = (Size << ByteBits) | static_cast<unsigned char>(Head_[Index]);
  switch (static_cast<TunnelFrame>(Head_[0])) {
  case TunnelFrame::Data:
    Remaining_ = Size;
    return true;
  case TunnelFrame::End:
    HasEnded_ = true;
    return Size == 0;
  case TunnelFrame::Retire:
    IsRetired_ = true;
    return Size == 0;
  }
  return false;
}

std::optional<std::size_t> TunnelDecoder::decode(char *Bytes,
                                                 std::size_t Size) {
  std::size_t Decoded = 0;
  std::size_t Read = 0;
  while (Read < Size) {
    if (HasEnded_)
      return std::nullopt;
    if (Remaining_ == 0) {
      Head_[HeadSize_++] = Bytes[Read++];
      if (HeadSize_ == TunnelFrameHeadBytes && !readHead())
        return std::nullopt;
      continue;
    }
    std::size_t Part = std::min(Remaining_, Size - Read);
    std::memmove(Bytes + Decoded, Bytes + Read, Part);
    Decoded += Part;
    Read += Part;
    Remaining_ -= Part;
  }
  return Decoded;
}

} // namespace anvil
