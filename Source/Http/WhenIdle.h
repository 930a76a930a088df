#ifndef ANVIL_HTTP_WHENIDLE_H
#define ANVIL_HTTP_WHENIDLE_H

#include "Kernel/Clock.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace anvil {

/// Calls `Then` once `IsIdle` returns true or the deadline has passed, which
/// may be immediately. Used on shutdown to wait for connections to end. `Timer`
/// must not be used otherwise until then.
void callWhenIdle(boost::asio::steady_timer &Timer, TimePoint Deadline,
                  std::function<bool()> IsIdle, std::function<void()> Then);

} // namespace anvil

#endif // ANVIL_HTTP_WHENIDLE_H
