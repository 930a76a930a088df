#include "Kernel/TimerService.h"

namespace anvil {

TimerService::Subscription::Subscription(TimerService &Owner, std::uint64_t Id)
    : Owner_(Owner.Self_), Id_(Id) {}

TimerService::Subscription::Subscription(Subscription &&Other) noexcept
    : Owner_(std::move(Other.Owner_)), Id_(std::exchange(Other.Id_, 0)) {}

TimerService::Subscription &
TimerService::Subscription::operator=(Subscription &&Other) noexcept {
  cancel();
  Owner_ = std::move(Other.Owner_);
  Id_ = std::exchange(Other.Id_, 0);
  return *this;
}

TimerService::Subscription::~Subscription() { cancel(); }

void TimerService::Subscription::cancel() {
  // `advance` discards queued ids that have no entry.
  if (auto Owner = Owner_.lock())
    (*Owner)->Entries_.erase(Id_);
  Owner_.reset();
}

TimerService::TimerService() : Self_(std::make_shared<TimerService *>(this)) {}

TimerService::Subscription TimerService::every(Duration Period, TimePoint Now,
                                               Callback Call) {
  return insert({Now + Period, Period, std::move(Call)});
}

TimerService::Subscription TimerService::once(TimePoint When, Callback Call) {
  return insert({When, std::nullopt, std::move(Call)});
}

TimerService::Subscription TimerService::insert(Entry Added) {
  std::uint64_t Id = NextId_++;
  Queue_.emplace(Added.Due_, Id);
  Entries_.emplace(Id, std::move(Added));
  if (Changed_)
    Changed_();
  return Subscription(*this, Id);
}

void TimerService::advance(TimePoint Now) {
  while (!Queue_.empty() && Queue_.begin()->first <= Now) {
    std::uint64_t Id = Queue_.begin()->second;
    Queue_.erase(Queue_.begin());
    auto Found = Entries_.find(Id);
    if (Found == Entries_.end())
      continue;
    // The callback may cancel its own subscription, which destroys the stored
    // function, so a copy is called.
    Callback Call = Found->second.Call_;
    if (Found->second.Period_) {
      Found->second.Due_ = Now + *Found->second.Period_;
      Queue_.emplace(Found->second.Due_, Id);
    } else {
      Entries_.erase(Found);
    }
    Call(Now);
  }
}

std::optional<TimePoint> TimerService::nextDue() const {
  if (Queue_.empty())
    return std::nullopt;
  return Queue_.begin()->first;
}

void TimerService::onChange(std::function<void()> Notify) {
  Changed_ = std::move(Notify);
}

} // namespace anvil
