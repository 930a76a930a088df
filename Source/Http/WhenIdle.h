#ifndef ANVIL_HTTP_WHENIDLE_H
#define ANVIL_HTTP_WHENIDLE_H

#include "Kernel/Clock.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace anvil {

/// Calls `Then` once `IsIdle` holds or the deadline has passed, at once if that
/// is now. A stopping server waits so for its connections to end. The timer is
/// this wait's alone until then.
void whenIdle(boost::asio::steady_timer &Timer, TimePoint Deadline,
              std::function<bool()> IsIdle, std::function<void()> Then);

} // namespace anvil

#endif // ANVIL_HTTP_WHENIDLE_H
