#include "Relay/RelayPlace.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace anvil;
namespace asio = boost::asio;
using asio::ip::tcp;

/// A connection on which the VM that relays is sent these bytes.
static tcp::socket sendRaw(asio::io_context &Sockets, std::uint16_t Port,
                           const std::string &Bytes) {
  tcp::socket Asker(Sockets);
  Asker.connect({asio::ip::address_v4::loopback(), Port});
  asio::write(Asker, asio::buffer(Bytes));
  return Asker;
}

TEST_CASE("a VM that relays survives odd requests") {
  RelayPlace Vm;
  asio::io_context Sockets;
  bool IsReset = false;
  SECTION("no HTTP") {
    tcp::socket Asker = sendRaw(Sockets, Vm.port(), "\x16\x03\x01\r\n\r\n");
    readToEnd(Asker, IsReset);
  }
  SECTION("another method, as from a caller without a key") {
    tcp::socket Asker = sendRaw(
        Sockets, Vm.port(),
        "POST /brief/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    CHECK(readToEnd(Asker, IsReset).find("malformed") != std::string::npos);
  }
  SECTION("a head without end") {
    tcp::socket Asker =
        sendRaw(Sockets, Vm.port(),
                "CONNECT a:0 HTTP/1.1\r\nX: " + std::string(3000, 'x'));
    boost::system::error_code Ignored;
    asio::write(Asker, asio::buffer(std::string(3000, 'x')), Ignored);
    CHECK(readToEnd(Asker, IsReset).find("200") == std::string::npos);
  }
  SECTION("bytes that come before its answer") {
    std::string Text =
        requestText(encodeRelayRequest(RelayPlace::validRequest()));
    tcp::socket Asker =
        sendRaw(Sockets, Vm.port(), Text + "POST / HTTP/1.1\r\n\r\n");
    CHECK(readToEnd(Asker, IsReset).find("malformed") != std::string::npos);
  }
  // Guards against a body whose bytes go to the target as a request.
  SECTION("a body, whose bytes may come later") {
    for (const char *Framing :
         {"Content-Length: 5", "Transfer-Encoding: chunked",
          "Transfer-Encoding: xchunked", "Transfer-Encoding: gzip",
          "Transfer-Encoding: identity", "Transfer-Encoding: chunked, chunked",
          "Transfer-Encoding: chunked, identity"}) {
      INFO(Framing);
      HttpRequest Request = encodeRelayRequest(RelayPlace::validRequest());
      std::string Text(Framing);
      Request.Headers_.add(Text.substr(0, Text.find(':')),
                           Text.substr(Text.find(' ') + 1));
      tcp::socket Asker = sendRaw(Sockets, Vm.port(), requestText(Request));
      std::string Answer(64, '\0');
      Answer.resize(Asker.read_some(asio::buffer(Answer)));
      CHECK_FALSE(Answer.starts_with("HTTP/1.1 200"));
    }
    CHECK(Vm.openTunnels() == 0);
  }
  SECTION("many that say nothing, and close") {
    for (int Index = 0; Index < 200; ++Index)
      sendRaw(Sockets, Vm.port(), "");
  }
  // It relays as before.
  RelayedPair Pair = Vm.open();
  asio::write(Pair.Asker_, asio::buffer(std::string("x")));
  CHECK(readBytes(Pair.Target_, 1) == "x");
}

TEST_CASE("ends on either side leave nothing behind") {
  RelayPlace Vm;
  SECTION("one after the other, in each order") {
    for (int Index = 0; Index < 200; ++Index) {
      RelayedPair Pair = Vm.open();
      tcp::socket &First = Index % 2 ? Pair.Asker_ : Pair.Target_;
      tcp::socket &Second = Index % 2 ? Pair.Target_ : Pair.Asker_;
      asio::write(First, asio::buffer(std::string(Index * 100, 'x')));
      if (Index % 3 == 0)
        First.set_option(asio::socket_base::linger(true, 0));
      First.close();
      if (Index % 5 == 0)
        Second.set_option(asio::socket_base::linger(true, 0));
      Second.close();
    }
    CHECK(holdsSoon([&] { return Vm.openTunnels() == 0; }));
  }
  SECTION("the VM that relays ends: the other one sees a broken connection") {
    RelayedPair Pair = Vm.open();
    asio::write(Pair.Asker_, asio::buffer(std::string("request")));
    CHECK(readBytes(Pair.Target_, 7) == "request");
    Vm.run([](RelayServer &Server) { Server.close(); });
    bool IsReset = false;
    CHECK(readToEnd(Pair.Target_, IsReset).empty());
    CHECK(readToEnd(Pair.Asker_, IsReset).empty());
  }
}
