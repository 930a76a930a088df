#ifndef ANVIL_TESTS_UNIT_SINGLEREQUESTTARGET_H
#define ANVIL_TESTS_UNIT_SINGLEREQUESTTARGET_H

#include "Http/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>

#include <string>

namespace anvil {

/// A target in the same event loop that accepts one connection and reads the
/// head of one request. It sends no response by itself.
struct SingleRequestTarget {
  explicit SingleRequestTarget(boost::asio::io_context &Loop)
      : Acceptor_(Loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Socket_(Loop) {
    Acceptor_.async_accept(Socket_, [this](auto Cause) {
      if (!Cause)
        boost::asio::async_read_until(
            Socket_, boost::asio::dynamic_buffer(Text_), "\r\n\r\n",
            [this](auto Problem, auto) { HasRequest_ = !Problem; });
    });
  }

  Endpoint address() const {
    return {"127.0.0.1", Acceptor_.local_endpoint().port()};
  }

  /// Closes its sockets like a crashed process.
  void crash() {
    boost::system::error_code Ignored;
    Acceptor_.close(Ignored);
    Socket_.close(Ignored);
  }

  boost::asio::ip::tcp::acceptor Acceptor_;
  boost::asio::ip::tcp::socket Socket_;
  std::string Text_;
  bool HasRequest_ = false;
};

} // namespace anvil

#endif // ANVIL_TESTS_UNIT_SINGLEREQUESTTARGET_H
