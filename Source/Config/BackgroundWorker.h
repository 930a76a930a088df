#ifndef ANVIL_CONFIG_BACKGROUNDWORKER_H
#define ANVIL_CONFIG_BACKGROUNDWORKER_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/thread_pool.hpp>

#include <functional>

namespace anvil {

/// Runs long computations on immutable values in a separate thread, so that
/// they do not block the event loop that serves requests.
class BackgroundWorker {
public:
  explicit BackgroundWorker(boost::asio::any_io_executor CallerExecutor);

  /// Waits for the running task; queued tasks are dropped.
  ~BackgroundWorker();

  /// Runs a task on the thread and resumes the caller on its event loop. The
  /// task must own its data, as the caller may be destroyed before it ends.
  boost::asio::awaitable<void> run(std::function<void()> Task);

private:
  boost::asio::any_io_executor CallerExecutor_;
  boost::asio::thread_pool Thread_{1};
};

} // namespace anvil

#endif // ANVIL_CONFIG_BACKGROUNDWORKER_H
