#ifndef ANVIL_KERNEL_TIMERSERVICE_H
#define ANVIL_KERNEL_TIMERSERVICE_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace anvil {

/// Runs periodic and one-shot callbacks. It reads no clock itself: the owner
/// passes the current time to `advance`, so tests can control time.
class TimerService {
public:
  using Callback = std::function<void(TimePoint Now)>;

  /// A handle that cancels its subscription on destruction.
  class Subscription {
  public:
    Subscription() = default;
    Subscription(TimerService &Owner, std::uint64_t Id);
    Subscription(Subscription &&Other) noexcept;
    Subscription &operator=(Subscription &&Other) noexcept;
    ~Subscription();

    void cancel();

  private:
    std::weak_ptr<TimerService *> Owner_;
    std::uint64_t Id_ = 0;
  };

  TimerService();

  /// Calls back every `Period`, starting one period after `Now`. Periods that
  /// were missed during a pause are skipped.
  [[nodiscard]] Subscription every(Duration Period, TimePoint Now,
                                   Callback Call);

  /// Calls back once, on the first `advance` to `When` or later.
  [[nodiscard]] Subscription once(TimePoint When, Callback Call);

  /// Runs all callbacks that are due at `Now`.
  void advance(TimePoint Now);

  /// Returns when the next callback is due, or nothing if none is scheduled.
  std::optional<TimePoint> nextDue() const;

  /// Sets a function to call whenever the next due time may have become
  /// earlier.
  void onChange(std::function<void()> Notify);

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
