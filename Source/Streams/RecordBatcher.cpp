#include "Streams/RecordBatcher.h"

#include <algorithm>

namespace anvil {

RecordTicket RecordBatcher::add(StreamRecord Record) {
  Pending_.push_back(std::move(Record));
  return Written_ + Pending_.size();
}

std::optional<TimePoint> RecordBatcher::dueAt() const {
  if (IsWriting_ || Pending_.empty())
    return std::nullopt;
  return NextAt_;
}

std::vector<StreamRecord> RecordBatcher::begin(TimePoint Now) {
  IsWriting_ = true;
  NextAt_ = Now + Interval_;
  if (InFlight_ == 0)
    InFlight_ = std::min(Pending_.size(), MaxRecords);
  return {Pending_.begin(),
          Pending_.begin() + static_cast<std::ptrdiff_t>(InFlight_)};
}

void RecordBatcher::confirm() {
  Written_ += InFlight_;
  Pending_.erase(Pending_.begin(),
                 Pending_.begin() + static_cast<std::ptrdiff_t>(InFlight_));
  InFlight_ = 0;
  IsWriting_ = false;
}

void RecordBatcher::retry() { IsWriting_ = false; }

} // namespace anvil
