#include "Http/TimerDriver.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace anvil {

struct TimerDriver::State : std::enable_shared_from_this<TimerDriver::State> {
  State(boost::asio::any_io_executor Executor, TimerService &Timers,
        ClockHook Clock)
      : Timer_(std::move(Executor)), Timers_(Timers), Clock_(std::move(Clock)) {
  }

  void arm() {
    if (Stopped_)
      return;
    auto Due = Timers_.nextDue();
    if (!Due)
      return;
    auto Wait = std::max(*Due - Clock_(), Duration::zero());
    // Setting the expiry cancels the previous wait.
    Timer_.expires_after(Wait);
    Timer_.async_wait([Self = shared_from_this()](auto Cause) {
      if (Cause || Self->Stopped_)
        return;
      Self->Advancing_ = true;
      Self->Timers_.advance(Self->Clock_());
      Self->Advancing_ = false;
      Self->arm();
    });
  }

  boost::asio::steady_timer Timer_;
  TimerService &Timers_;
  ClockHook Clock_;
  bool Stopped_ = false;
  bool Advancing_ = false;
};

TimerDriver::TimerDriver(boost::asio::any_io_executor Executor,
                         TimerService &Timers, ClockHook Clock)
    : State_(std::make_shared<State>(std::move(Executor), Timers,
                                     std::move(Clock))) {
  Timers.onChange([Weak = std::weak_ptr<State>(State_)] {
    auto Self = Weak.lock();
    if (Self && !Self->Advancing_)
      Self->arm();
  });
  State_->arm();
}

TimerDriver::~TimerDriver() {
  State_->Stopped_ = true;
  State_->Timer_.cancel();
}

} // namespace anvil
