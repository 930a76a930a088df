#include "Config/BackgroundWorker.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace anvil {

namespace asio = boost::asio;

BackgroundWorker::BackgroundWorker(asio::any_io_executor Home)
    : Home_(std::move(Home)) {}

BackgroundWorker::~BackgroundWorker() {
  Thread_.stop();
  Thread_.join();
}

asio::awaitable<void> BackgroundWorker::run(std::function<void()> Work) {
  // The timer never expires; its cancellation says that the work is done. It
  // is only touched on the loop.
  auto Done = std::make_shared<asio::steady_timer>(
      Home_, asio::steady_timer::time_point::max());
  asio::post(Thread_, [Work = std::move(Work), Done, Home = Home_] {
    Work();
    asio::post(Home, [Done] { Done->cancel(); });
  });
  boost::system::error_code Ignored;
  co_await Done->async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

} // namespace anvil
