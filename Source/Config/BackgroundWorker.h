#ifndef ANVIL_CONFIG_BACKGROUNDWORKER_H
#define ANVIL_CONFIG_BACKGROUNDWORKER_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/thread_pool.hpp>

#include <functional>

namespace anvil {

/// A thread for long computations on values that never change, so that they
/// don't hold up the loop that serves requests.
class BackgroundWorker {
public:
  explicit BackgroundWorker(boost::asio::any_io_executor Home);

  /// Waits for the work that has begun.
  ~BackgroundWorker();

  /// Runs the work on the thread and resumes the caller on its loop. The work
  /// must own what it touches, as the caller may end before it.
  boost::asio::awaitable<void> run(std::function<void()> Work);

private:
  boost::asio::any_io_executor Home_;
  boost::asio::thread_pool Thread_{1};
};

} // namespace anvil

#endif // ANVIL_CONFIG_BACKGROUNDWORKER_H
