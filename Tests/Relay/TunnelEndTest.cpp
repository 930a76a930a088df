#include "Http/HttpConnection.h"
#include "Http/Spawn.h"
#include "Http/TunnelDecoder.h"
#include "Relay/RelayPlace.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <future>

using namespace anvil;
namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr Duration StepTimeout = std::chrono::seconds(10);

/// An answer without a length, which ends with its connection.
static const std::string Head = "HTTP/1.1 200 OK\r\n\r\n";

/// What a VM got of an answer through another VM.
struct TunnelReply {
  std::string Body_;
  bool IsComplete_ = false;
  bool IsReusable_ = false;
};

static asio::awaitable<void>
fetchThrough(std::uint16_t Port, RelayRequest Request, TunnelReply &Reply) {
  HttpConnection Connection;
  Endpoint Relay{"127.0.0.1", Port};
  Endpoint Target{"127.0.0.1", 9};
  HttpRequest Connect = encodeRelayRequest(Request);
  auto Opened =
      co_await Connection.openThrough(Relay, Connect, Target, StepTimeout);
  if (!isOk(Opened))
    co_return;
  HttpRequest Asked{"GET", "/", {}, ""};
  auto Answered = co_await Connection.exchange(Asked, StepTimeout);
  if (!isOk(Answered))
    co_return;
  while (true) {
    auto Part = co_await Connection.readPart(StepTimeout);
    Reply.IsComplete_ = isOk(Part) && valueOf(Part).empty();
    if (!isOk(Part) || Reply.IsComplete_)
      break;
    Reply.Body_ += valueOf(Part);
  }
  Reply.IsReusable_ = Connection.reusable();
}

/// Sends a request through the VM that relays at a port, on another thread.
static std::future<TunnelReply> beginFetch(std::uint16_t Port,
                                           bool AsksFrames = true) {
  return std::async(std::launch::async, [=] {
    asio::io_context Loop;
    TunnelReply Reply;
    RelayRequest Request = RelayPlace::validRequest();
    Request.AsksFrames_ = AsksFrames;
    spawn(Loop.get_executor(), fetchThrough(Port, Request, Reply));
    Loop.run();
    return Reply;
  });
}

static void readRequest(tcp::socket &From) {
  std::string Text;
  asio::read_until(From, asio::dynamic_buffer(Text), "\r\n\r\n");
}

static void sendText(tcp::socket &To, const std::string &Text) {
  asio::write(To, asio::buffer(Text));
}

static std::string frame(TunnelFrame Kind, const std::string &Bytes) {
  auto FrameHead = encodeTunnelFrameHead(Kind, Bytes.size());
  return std::string(FrameHead.begin(), FrameHead.end()) + Bytes;
}

// Guards against MIXED and ORDER: an answer without a length that looks
// complete since the VM that relays it has ended.
TEST_CASE("the end of a VM that relays isn't taken for the target's") {
  SECTION("when it stops") {
    RelayPlace Vm;
    auto Reply = beginFetch(Vm.port());
    tcp::socket Target = Vm.acceptAtTarget();
    readRequest(Target);
    sendText(Target, Head + "half");
    SECTION("with the answer under way") {
      Vm.run([](RelayServer &Server) { Server.close(); });
      CHECK_FALSE(Reply.get().IsComplete_);
    }
    SECTION("whereas the target's own end is the answer's") {
      sendText(Target, " and half");
      Target.close();
      TunnelReply Whole = Reply.get();
      CHECK(Whole.IsComplete_);
      CHECK(Whole.Body_ == "half and half");
      CHECK_FALSE(Whole.IsReusable_);
    }
    SECTION("and a reset by the target breaks the answer off") {
      Target.set_option(asio::socket_base::linger(true, 0));
      Target.close();
      CHECK_FALSE(Reply.get().IsComplete_);
    }
  }

  SECTION("when its process is gone, and the system closes its connections") {
    asio::io_context Sockets;
    tcp::acceptor Port(Sockets, {asio::ip::address_v4::loopback(), 0});
    auto Begin = [&](const std::string &Framing) {
      auto Reply = beginFetch(Port.local_endpoint().port());
      tcp::socket Asker = Port.accept();
      readRequest(Asker);
      sendText(Asker, "HTTP/1.1 200 OK\r\n" + Framing + "\r\n");
      readRequest(Asker);
      return std::pair(std::move(Asker), std::move(Reply));
    };
    SECTION("between two frames") {
      auto [Asker, Reply] = Begin("Tunnel-Framing: 1\r\n");
      sendText(Asker, frame(TunnelFrame::Data, Head + "half"));
      Asker.close();
      CHECK_FALSE(Reply.get().IsComplete_);
    }
    SECTION("inside a frame") {
      auto [Asker, Reply] = Begin("Tunnel-Framing: 1\r\n");
      std::string Text = frame(TunnelFrame::Data, Head + "whole");
      sendText(Asker, Text.substr(0, Text.size() - 1));
      Asker.close();
      CHECK_FALSE(Reply.get().IsComplete_);
    }
    SECTION("after what is no frame") {
      auto [Asker, Reply] = Begin("Tunnel-Framing: 1\r\n");
      sendText(Asker, frame(TunnelFrame::Data, Head + "half"));
      sendText(Asker, "half");
      Asker.close();
      CHECK_FALSE(Reply.get().IsComplete_);
    }
    SECTION("of an earlier release, which sends no frames") {
      auto [Asker, Reply] = Begin("");
      sendText(Asker, Head + "half");
      Asker.close();
      TunnelReply Got = Reply.get();
      CHECK(Got.Body_ == "half");
      CHECK_FALSE(Got.IsComplete_);
    }
    SECTION("of an earlier release, after an answer with a length") {
      auto [Asker, Reply] = Begin("");
      sendText(Asker, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
      CHECK(Reply.get().IsComplete_);
    }
    SECTION("after the target's end, which the frame states") {
      auto [Asker, Reply] = Begin("Tunnel-Framing: 1\r\n");
      sendText(Asker, frame(TunnelFrame::Data, Head + "whole") +
                          frame(TunnelFrame::End, ""));
      CHECK(Reply.get().IsComplete_);
    }
  }

  SECTION("for a VM of an earlier release, which asks for no frames") {
    RelayPlace Vm;
    RelayedPair Pair = Vm.open();
    sendText(Pair.Target_, "part");
    CHECK(readBytes(Pair.Asker_, 4) == "part");
    Vm.run([](RelayServer &Server) { Server.close(); });
    bool IsReset = false;
    readToEnd(Pair.Asker_, IsReset);
    CHECK(IsReset);
  }
}

TEST_CASE("the frames of a tunnel are read in pieces of any size") {
  std::string Long(70'000, 'x');
  std::string Text =
      frame(TunnelFrame::Data, "one") + frame(TunnelFrame::Data, "") +
      frame(TunnelFrame::Data, Long) + frame(TunnelFrame::End, "");
  for (std::size_t Step : {1, 2, 3, 4, 5, 7, 4096, 80'000}) {
    TunnelDecoder Decoder;
    std::string Decoded;
    for (std::size_t At = 0; At < Text.size(); At += Step) {
      CHECK_FALSE(Decoder.hasEnded());
      std::string Piece = Text.substr(At, Step);
      auto Size = Decoder.decode(Piece.data(), Piece.size());
      REQUIRE(Size);
      Decoded += Piece.substr(0, *Size);
    }
    CHECK(Decoded == "one" + Long);
    CHECK(Decoder.hasEnded());
    char After = 'x';
    CHECK_FALSE(Decoder.decode(&After, 1));
  }
  TunnelDecoder Decoder;
  std::string Odd = "HTTP";
  CHECK_FALSE(Decoder.decode(Odd.data(), Odd.size()));
}
