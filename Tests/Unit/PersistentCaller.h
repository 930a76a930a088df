#ifndef ANVIL_TESTS_UNIT_PERSISTENTCALLER_H
#define ANVIL_TESTS_UNIT_PERSISTENTCALLER_H

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdint>
#include <string>

namespace anvil {

/// A caller with a persistent connection to a server in the same event loop.
struct PersistentCaller {
  PersistentCaller(boost::asio::io_context &Loop, std::uint16_t Port)
      : Loop_(Loop), Socket_(Loop) {
    Socket_.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
  }

  void send(const std::string &Path) {
    boost::asio::write(Socket_, boost::asio::buffer("GET " + Path +
                                                    " HTTP/1.1\r\n"
                                                    "Host: x\r\n\r\n"));
  }

  /// Sends a request and reads the head of its response, which has no body.
  std::string sendAndReceive(const std::string &Path) {
    send(Path);
    std::string Response;
    bool Done = false;
    boost::asio::async_read_until(Socket_,
                                  boost::asio::dynamic_buffer(Response),
                                  "\r\n\r\n", [&](auto, auto) { Done = true; });
    while (!Done)
      Loop_.run_one();
    return Response;
  }

  /// Reads until the server closes, and returns everything read.
  std::string readToEnd() {
    std::string Text;
    bool Done = false;
    boost::asio::async_read(Socket_, boost::asio::dynamic_buffer(Text),
                            [&](auto, auto) { Done = true; });
    while (!Done)
      Loop_.run_one();
    return Text;
  }

  boost::asio::io_context &Loop_;
  boost::asio::ip::tcp::socket Socket_;
};

} // namespace anvil

#endif // ANVIL_TESTS_UNIT_PERSISTENTCALLER_H
