#include "Http/Spawn.h"

#include "Kernel/Invariant.h"

#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <string>

namespace anvil {

static std::string exceptionText(const std::exception_ptr &Thrown) {
  try {
    std::rethrow_exception(Thrown);
  } catch (const std::exception &Known) {
    return Known.what();
  } catch (...) {
    return "an unknown exception";
  }
}

void spawn(const boost::asio::any_io_executor &Executor,
           boost::asio::awaitable<void> Work) {
  boost::asio::co_spawn(
      Executor, std::move(Work), [](const std::exception_ptr &Thrown) {
        if (Thrown)
          checkInvariant(false, "a coroutine threw: " + exceptionText(Thrown));
      });
}

} // namespace anvil
