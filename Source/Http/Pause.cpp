#include "Http/Pause.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace anvil {

namespace asio = boost::asio;

asio::awaitable<void> pauseFor(Duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  co_await pauseFor(Timer, Time);
}

asio::awaitable<void> pauseFor(asio::steady_timer &Timer, Duration Time) {
  Timer.expires_after(Time);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

} // namespace anvil
