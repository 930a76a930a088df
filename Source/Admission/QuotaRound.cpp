#include "Admission/QuotaRound.h"

#include <algorithm>

namespace anvil {

bool QuotaRound::mayAsk() const {
  return Asked_ < Givers_.size() && Empty_ + Open_ < EmptyGivers;
}

std::optional<std::string> QuotaRound::next(TimePoint Now) {
  bool Waits = Open_ > 0 && Now < AskAt_;
  if (Waits || Now >= Deadline_ || !mayAsk())
    return std::nullopt;
  ++Open_;
  AskAt_ = Now + Patience_;
  return Givers_[Asked_++];
}

void QuotaRound::answered(bool HadTokens) {
  --Open_;
  if (!HadTokens)
    ++Empty_;
  // Any other outstanding request has already used up its share of the wait.
  AskAt_ = TimePoint{};
}

bool QuotaRound::isOver(TimePoint Now) const {
  return Now >= Deadline_ || (Open_ == 0 && !mayAsk());
}

TimePoint QuotaRound::wakeAt() const {
  return mayAsk() ? std::min(AskAt_, Deadline_) : Deadline_;
}

} // namespace anvil
