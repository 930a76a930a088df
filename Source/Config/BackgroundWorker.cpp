#include "Config/BackgroundWorker.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace anvil {

namespace asio = boost::asio;

BackgroundWorker::BackgroundWorker(asio::any_io_executor CallerExecutor)
    : CallerExecutor_(std::move(CallerExecutor)) {}

BackgroundWorker::~BackgroundWorker() {
  Thread_.stop();
  Thread_.join();
}

asio::awaitable<void> BackgroundWorker::run(std::function<void()> Task) {
  // The timer never expires; cancelling it signals that the task is done. It
  // is only accessed on the event loop.
  auto Done = std::make_shared<asio::steady_timer>(
      CallerExecutor_, asio::steady_timer::time_point::max());
  asio::post(Thread_,
             [Task = std::move(Task), Done, CallerExecutor = CallerExecutor_] {
               Task();
               asio::post(CallerExecutor, [Done] { Done->cancel(); });
             });
  boost::system::error_code Ignored;
  co_await Done->async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

} // namespace anvil
