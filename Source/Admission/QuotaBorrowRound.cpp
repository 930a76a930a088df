#include "Admission/QuotaBorrowRound.h"

#include <algorithm>

namespace anvil {

bool QuotaBorrowRound::mayRequest() const {
  return Requested_ < Lenders_.size() &&
         Unsuccessful_ + Outstanding_ < MaxUnsuccessful;
}

std::optional<std::string> QuotaBorrowRound::next(TimePoint Now) {
  bool IsWaiting = Outstanding_ > 0 && Now < NextRequestAt_;
  if (IsWaiting || Now >= Deadline_ || !mayRequest())
    return std::nullopt;
  ++Outstanding_;
  NextRequestAt_ = Now + ReplyTimeout_;
  return Lenders_[Requested_++];
}

void QuotaBorrowRound::recordReply(bool HadTokens) {
  --Outstanding_;
  if (!HadTokens)
    ++Unsuccessful_;
  // Any other outstanding request has already used up its share of the wait.
  NextRequestAt_ = TimePoint{};
}

bool QuotaBorrowRound::isOver(TimePoint Now) const {
  return Now >= Deadline_ || (Outstanding_ == 0 && !mayRequest());
}

TimePoint QuotaBorrowRound::wakeAt() const {
  return mayRequest() ? std::min(NextRequestAt_, Deadline_) : Deadline_;
}

} // namespace anvil
