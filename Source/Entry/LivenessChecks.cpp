#include "Entry/LivenessChecks.h"

#include "Http/Pause.h"
#include "Http/WaitList.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// The bounds of `connectionCloseTime`, and what each connection adds to the
/// lower one.
static constexpr Duration MinCloseTime = std::chrono::milliseconds(1);
static constexpr Duration MaxCloseTime = std::chrono::milliseconds(20);
static constexpr Duration ConnectionCloseTime = std::chrono::microseconds(10);

/// The connections of a target whose service doesn't state how many it accepts.
static constexpr int AssumedConnections = 400;

/// How often a wait for an answer looks at it; the question ends by itself.
static constexpr Duration WaitPeriod = std::chrono::seconds(1);

Duration connectionCloseTime(std::optional<int> MaxConnections) {
  return std::min(MinCloseTime + ConnectionCloseTime * MaxConnections.value_or(
                                                           AssumedConnections),
                  MaxCloseTime);
}

struct LivenessChecks::Question {
  TimePoint AskedAt_{};
  std::optional<bool> IsAlive_;
  WaitList Answered_;
};

asio::awaitable<LifeSign> LivenessChecks::findSign(EndedConnection Ended) {
  TimePoint EndedAt = BootClock::now();
  // Connections through other VMs show the end of those VMs as well.
  bool HasWitness =
      !Ended.IsRelayed_ && Hooks_.HasOpenConnection_(Ended.Target_, EndedAt);
  if (HasWitness) {
    co_await pauseFor(Ended.CloseTime_);
    if (Hooks_.HasOpenConnection_(Ended.Target_, EndedAt))
      co_return LifeSign::OpenConnection;
  }
  bool IsAlive = co_await ask(std::move(Ended), EndedAt);
  co_return IsAlive ? LifeSign::Answer : LifeSign::None;
}

asio::awaitable<bool> LivenessChecks::ask(EndedConnection Ended,
                                          TimePoint EndedAt) {
  std::tuple Key{Ended.Target_.Target_, Ended.Target_.Incarnation_,
                 Ended.IsRelayed_};
  while (true) {
    auto Found = Open_.find(Key);
    if (Found == Open_.end())
      break;
    std::shared_ptr<Question> Earlier = Found->second;
    while (!Earlier->IsAlive_)
      co_await Earlier->Answered_.waitUntil(BootClock::now() + WaitPeriod);
    // What was alive before the end may have died at it.
    bool IsValid = !*Earlier->IsAlive_ || Earlier->AskedAt_ >= EndedAt;
    if (IsValid)
      co_return *Earlier->IsAlive_;
  }
  auto Own = std::make_shared<Question>();
  Own->AskedAt_ = BootClock::now();
  Open_[Key] = Own;
  bool IsAlive = co_await Hooks_.Ask_(std::move(Ended));
  Own->IsAlive_ = IsAlive;
  Open_.erase(Key);
  Own->Answered_.notify();
  co_return IsAlive;
}

} // namespace anvil
