#include "Http/LivenessProbe.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace anvil {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

asio::awaitable<Status> checkAlive(Endpoint Server, Duration Timeout) {
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  Stream.expires_after(Timeout);
  error_code Cause;
  auto Address = asio::ip::make_address(Server.Address_, Cause);
  if (!Cause)
    co_await Stream.async_connect(
        tcp::endpoint(Address, Server.Port_),
        asio::redirect_error(asio::use_awaitable, Cause));
  if (Cause == beast::error::timeout)
    co_return Error{ErrorCode::Timeout, Server.text(),
                    "could not connect before the timeout", ""};
  if (!Cause)
    Stream.socket().shutdown(tcp::socket::shutdown_send, Cause);
  char Byte = 0;
  if (!Cause)
    co_await Stream.async_read_some(
        asio::buffer(&Byte, 1),
        asio::redirect_error(asio::use_awaitable, Cause));
  bool IsAlive =
      !Cause || Cause == asio::error::eof || Cause == beast::error::timeout;
  if (!IsAlive)
    co_return Error{ErrorCode::ConnectionClosed, Server.text(), Cause.message(),
                    ""};
  co_return std::monostate{};
}

} // namespace anvil
