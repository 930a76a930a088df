#include "Http/ReceivedBody.h"

#include <algorithm>

namespace anvil {

static Error noRoom() {
  return {ErrorCode::TooLarge, "body",
          "exceeds the memory for received messages", ""};
}

Status ReceivedBody::append(std::string_view Part) {
  std::size_t Size = Bytes_.size() + Part.size();
  if (Size > MaxBytes_)
    return Error{ErrorCode::TooLarge, "body", "exceeds the size limit", ""};
  if (Size > Bytes_.capacity()) {
    // Counted before it is allocated; appending would grow it by a factor that
    // is not known.
    std::size_t Capacity = std::min(std::max(Size, 2 * Bytes_.capacity()),
                                    std::max(Size, ExpectedBytes_));
    if (!Share_->resize(Capacity)) {
      Bytes_ = std::string();
      return noRoom();
    }
    Bytes_.reserve(Capacity);
  }
  if (Share_->isRevoked()) {
    Bytes_ = std::string();
    return noRoom();
  }
  Bytes_ += Part;
  return std::monostate{};
}

Result<std::string> ReceivedBody::finish() {
  if (!Share_->retain()) {
    Bytes_ = std::string();
    return noRoom();
  }
  return std::move(Bytes_);
}

} // namespace anvil
