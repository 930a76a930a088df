#include "Entry/LivenessChecks.h"

#include "Http/WaitList.h"

#include <algorithm>
#include <optional>

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
  std::optional<TargetLife> Life_;
  WaitList Answered_;
};

asio::awaitable<LifeSign> LivenessChecks::findSign(EndedConnection Ended) {
  TimePoint SentAt = Ended.SentAt_;
  TargetLife Life = co_await ask(std::move(Ended));
  bool IsNewer = Life.StartedAt_ && *Life.StartedAt_ > SentAt;
  co_return IsNewer ? LifeSign::None : Life.Sign_;
}

asio::awaitable<TargetLife> LivenessChecks::ask(EndedConnection Ended) {
  TimePoint EndedAt = BootClock::now();
  std::tuple Key{Ended.Target_.Target_, Ended.Target_.Incarnation_,
                 Ended.IsRelayed_};
  while (true) {
    auto Found = Open_.find(Key);
    if (Found == Open_.end())
      break;
    std::shared_ptr<Question> Earlier = Found->second;
    while (!Earlier->Life_)
      co_await Earlier->Answered_.waitUntil(BootClock::now() + WaitPeriod);
    // What was alive before the end may have died at it.
    bool IsValid =
        Earlier->Life_->Sign_ == LifeSign::None || Earlier->AskedAt_ >= EndedAt;
    if (IsValid)
      co_return *Earlier->Life_;
  }
  auto Own = std::make_shared<Question>();
  Own->AskedAt_ = BootClock::now();
  Open_[Key] = Own;
  TargetLife Life = co_await Ask_(std::move(Ended));
  Own->Life_ = Life;
  Open_.erase(Key);
  Own->Answered_.notify();
  co_return Life;
}

} // namespace anvil
