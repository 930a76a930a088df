#include "Streams/RecordBatcher.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace anvil {

RecordTicket RecordBatcher::add(StreamRecord Record) {
  Pending_.push_back(std::move(Record));
  return Written_ + Pending_.size();
}

void RecordBatcher::addUnawaited(StreamRecord Record) {
  Unawaited_.push_back(std::move(Record));
}

void RecordBatcher::dropUnawaited() { Unawaited_.resize(UnawaitedInFlight_); }

std::optional<TimePoint> RecordBatcher::dueAt() const {
  if (IsWriting_ || pending() == 0)
    return std::nullopt;
  return NextAt_;
}

std::vector<StreamRecord> RecordBatcher::begin(TimePoint Now) {
  IsWriting_ = true;
  NextAt_ = Now + Interval_;
  if (InFlight_ + UnawaitedInFlight_ == 0) {
    InFlight_ = std::min(Pending_.size(), MaxRecords);
    UnawaitedInFlight_ = std::min(Unawaited_.size(), MaxRecords - InFlight_);
  }
  auto First = [](const std::deque<StreamRecord> &Of, std::size_t Count) {
    return std::ranges::subrange(
        Of.begin(), Of.begin() + static_cast<std::ptrdiff_t>(Count));
  };
  std::vector<StreamRecord> Row;
  Row.reserve(InFlight_ + UnawaitedInFlight_);
  std::ranges::copy(First(Pending_, InFlight_), std::back_inserter(Row));
  std::ranges::copy(First(Unawaited_, UnawaitedInFlight_),
                    std::back_inserter(Row));
  return Row;
}

void RecordBatcher::confirm() {
  Written_ += InFlight_;
  Pending_.erase(Pending_.begin(),
                 Pending_.begin() + static_cast<std::ptrdiff_t>(InFlight_));
  Unawaited_.erase(Unawaited_.begin(),
                   Unawaited_.begin() +
                       static_cast<std::ptrdiff_t>(UnawaitedInFlight_));
  InFlight_ = 0;
  UnawaitedInFlight_ = 0;
  IsWriting_ = false;
}

void RecordBatcher::retry() { IsWriting_ = false; }

} // namespace anvil
