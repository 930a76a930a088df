#ifndef ANVIL_KERNEL_TIMERSERVICE_H
#define ANVIL_KERNEL_TIMERSERVICE_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace anvil {

/// Calls subscribers back at their period or once at a moment. It holds no
/// clock: whoever drives it passes the time in, so tests drive it by hand.
class TimerService {
public:
  using Callback = std::function<void(TimePoint Now)>;

  /// Ends a subscription when it is destroyed.
  class Subscription {
  public:
    Subscription() = default;
    Subscription(TimerService &Owner, std::uint64_t Id);
    Subscription(Subscription &&Other) noexcept;
    Subscription &operator=(Subscription &&Other) noexcept;
    ~Subscription();

    /// Ends the subscription now.
    void cancel();

  private:
    std::weak_ptr<TimerService *> Owner_;
    std::uint64_t Id_ = 0;
  };

  TimerService();

  /// Calls back every `Period`, first one period after `Now`. Periods that
  /// were missed through a pause are skipped, not made up for.
  [[nodiscard]] Subscription every(Duration Period, TimePoint Now,
                                   Callback Call);

  /// Calls back once, at the first `advance` that reaches `When`.
  [[nodiscard]] Subscription once(TimePoint When, Callback Call);

  /// Makes the calls that are due.
  void advance(TimePoint Now);

  /// When the next call is due; nothing when there are no subscribers.
  std::optional<TimePoint> nextDue() const;

  /// Called whenever the next due time may have become earlier.
  void onChange(std::function<void()> Hook);

private:
  struct Entry {
    TimePoint Due_;
    std::optional<Duration> Period_;
    Callback Call_;
  };

  Subscription insert(Entry Added);

  std::map<std::uint64_t, Entry> Entries_;
  std::multimap<TimePoint, std::uint64_t> Queue_;
  std::uint64_t NextId_ = 1;
  std::function<void()> Changed_;
  std::shared_ptr<TimerService *> Self_;
};

} // namespace anvil

#endif // ANVIL_KERNEL_TIMERSERVICE_H
