#include "Kernel/BufferBudget.h"

#include <utility>

namespace anvil {

std::size_t BufferBudget::rank(const BufferShare &Share) const {
  return Share.Bytes_ + (Share.Yielded_ ? Limit_ : 0);
}

bool BufferBudget::resize(BufferShare &Share, std::size_t Bytes) {
  if (Share.Revoked_)
    return false;
  bool WasRetained = Share.Retained_;
  release(Share);
  if (Bytes > Limit_) {
    Share.Revoked_ = true;
    Revoked_.fire(Bytes);
    return false;
  }
  Share.Bytes_ = Bytes;
  Share.Retained_ = WasRetained;
  Held_ += Bytes;
  if (WasRetained)
    Retained_ += Bytes;
  else if (Bytes > 0)
    Revocable_.insert({rank(Share), &Share});
  while (Held_ > Limit_) {
    // Only what can't be revoked is left, so the newest claim gives way.
    BufferShare *Largest =
        Revocable_.empty() ? &Share : Revocable_.rbegin()->second;
    revoke(*Largest);
    if (Largest == &Share)
      return false;
    if (Largest->OnRevoke_)
      Largest->OnRevoke_();
  }
  return true;
}

bool BufferBudget::retain(BufferShare &Share) {
  if (Share.Revoked_)
    return false;
  if (Share.Retained_)
    return true;
  bool IsSmall = Share.Bytes_ <= SmallShareBytes;
  if (!IsSmall && Retained_ + Share.Bytes_ > Limit_ / 2) {
    revoke(Share);
    return false;
  }
  Revocable_.erase({rank(Share), &Share});
  Share.Retained_ = true;
  Retained_ += Share.Bytes_;
  return true;
}

void BufferBudget::release(BufferShare &Share) {
  Revocable_.erase({rank(Share), &Share});
  Held_ -= Share.Bytes_;
  if (Share.Retained_)
    Retained_ -= Share.Bytes_;
  Share.Bytes_ = 0;
  Share.Retained_ = false;
  Share.Yielded_ = false;
}

void BufferBudget::yield(BufferShare &Share) {
  if (!std::exchange(Share.Retained_, false))
    return;
  Share.Yielded_ = true;
  Retained_ -= Share.Bytes_;
  if (Share.Bytes_ > 0)
    Revocable_.insert({rank(Share), &Share});
}

void BufferBudget::revoke(BufferShare &Share) {
  std::size_t Bytes = Share.Bytes_;
  release(Share);
  Share.Revoked_ = true;
  Revoked_.fire(Bytes);
}

BufferShare::BufferShare(std::shared_ptr<BufferBudget> Budget,
                         std::function<void()> OnRevoke)
    : Budget_(std::move(Budget)), OnRevoke_(std::move(OnRevoke)) {}

BufferShare::~BufferShare() {
  if (Budget_)
    Budget_->release(*this);
}

bool BufferShare::resize(std::size_t Bytes) {
  if (Budget_)
    return Budget_->resize(*this, Bytes);
  Bytes_ = Bytes;
  return true;
}

bool BufferShare::retain() { return !Budget_ || Budget_->retain(*this); }

void BufferShare::yield() {
  if (Budget_)
    Budget_->yield(*this);
}

void BufferShare::release() {
  if (Budget_)
    Budget_->release(*this);
  Bytes_ = 0;
  Revoked_ = false;
}

} // namespace anvil
