#ifndef ANVIL_HTTP_TIMERDRIVER_H
#define ANVIL_HTTP_TIMERDRIVER_H

#include "Kernel/TimerService.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace anvil {

/// Runs the timers of a timer service on an Asio executor, by the given clock.
class TimerDriver {
public:
  TimerDriver(boost::asio::any_io_executor Executor, TimerService &Timers,
              ClockHook Clock);
  ~TimerDriver();

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace anvil

#endif // ANVIL_HTTP_TIMERDRIVER_H
