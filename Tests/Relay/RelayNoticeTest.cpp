#include "Http/TunnelDecoder.h"
#include "Http/TunnelFrame.h"
#include "Relay/RelayPlace.h"
#include "Routing/BackOffs.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace anvil;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

/// What a VM that relays answers to a notice, sent on a connection of its own.
static std::string tell(std::uint16_t Port, const RelayNotice &Notice) {
  asio::io_context Sockets;
  tcp::socket Sender(Sockets);
  Sender.connect({asio::ip::address_v4::loopback(), Port});
  asio::write(Sender, asio::buffer(requestText(encodeRelayNotice(Notice))));
  bool IsReset = false;
  return readToEnd(Sender, IsReset);
}

static std::string retireFrame() {
  auto Head = encodeTunnelFrameHead(TunnelFrame::Retire, 0);
  return {Head.begin(), Head.end()};
}

// Guards against BUDGET: an engine in need gets requests from the VM that it
// told to send none, since that VM relays those of others.
TEST_CASE("a VM that relays hears what targets tell those that ask") {
  RelayPlace Vm;
  RelayNotice Notice{RelayPlace::validRequest().Key_, "vm \r\n 1", "i-\x01", -7,
                     5s};

  SECTION("in a notice") {
    CHECK(tell(Vm.port(), Notice).starts_with("HTTP/1.1 204"));
    Vm.run([&](RelayServer &) {
      REQUIRE(Vm.notices().size() == 1);
      CHECK(Vm.notices()[0].Vm_ == Notice.Vm_);
      CHECK(Vm.notices()[0].Target_ == Notice.Target_);
      CHECK(Vm.notices()[0].Incarnation_ == Notice.Incarnation_);
      CHECK(Vm.notices()[0].BackOff_ == Notice.BackOff_);
    });
  }
  SECTION("but not without its key") {
    Notice.Key_ = "another";
    CHECK(tell(Vm.port(), Notice).find("forbidden") != std::string::npos);
    Vm.run([&](RelayServer &) { CHECK(Vm.notices().empty()); });
  }
  SECTION("nor with a time below zero, or one without end") {
    Notice.BackOff_ = -1ms;
    CHECK(tell(Vm.port(), Notice).find("malformed") != std::string::npos);
    Notice.BackOff_ = std::chrono::hours(100'000);
    CHECK(tell(Vm.port(), Notice).starts_with("HTTP/1.1 204"));
    Vm.run([&](RelayServer &) {
      REQUIRE(Vm.notices().size() == 1);
      CHECK(Vm.notices()[0].BackOff_ <= 10min);
    });
  }

  SECTION("and has them send no further request on open connections") {
    RelayRequest Framed = RelayPlace::validRequest();
    Framed.AsksFrames_ = true;
    auto [Asker, Answer] = Vm.ask(Framed);
    REQUIRE(Answer.starts_with("HTTP/1.1 200"));
    tcp::socket Target = Vm.acceptAtTarget();
    SECTION("of that target") {
      Vm.run([](RelayServer &Server) { Server.retire("target-1", 7); });
      CHECK(readBytes(Asker, TunnelFrameHeadBytes) == retireFrame());
      SECTION("while the answer under way still comes") {
        asio::write(Target, asio::buffer(std::string("whole")));
        CHECK(readBytes(Asker, TunnelFrameHeadBytes + 5).ends_with("whole"));
      }
    }
    // Guards against LOST: an answer under way is cut by the word.
    SECTION("also while it still sends and the answer waits to be read") {
      const std::string Sent(32 * 1024 * 1024, 'x');
      std::thread Sender([&] {
        error_code Ignored;
        asio::write(Target, asio::buffer(Sent), Ignored);
      });
      std::this_thread::sleep_for(300ms);
      asio::write(Asker, asio::buffer(std::string("more")));
      std::this_thread::sleep_for(100ms);
      Vm.run([](RelayServer &Server) { Server.retire("target-1", 7); });
      TunnelDecoder Frames;
      std::string Body;
      std::vector<char> Buffer(64 * 1024);
      error_code Cause;
      bool IsFramed = true;
      while (Body.size() < Sent.size() && IsFramed && !Cause) {
        std::size_t Size = Asker.read_some(asio::buffer(Buffer), Cause);
        auto Decoded = Frames.decode(Buffer.data(), Size);
        IsFramed = Decoded.has_value();
        Body.append(Buffer.data(), Decoded.value_or(0));
      }
      CHECK(IsFramed);
      CHECK((Body == Sent));
      CHECK_FALSE(Frames.takesRequests());
      Asker.close();
      Sender.join();
    }
    SECTION("not of others") {
      Vm.run([](RelayServer &Server) { Server.retire("target-1", 8); });
      Vm.run([](RelayServer &Server) { Server.retire("target-2", 7); });
      asio::write(Target, asio::buffer(std::string("whole")));
      CHECK(readBytes(Asker, TunnelFrameHeadBytes + 5).ends_with("whole"));
    }
  }
  SECTION("whereas a VM of an earlier release gets the target's bytes only") {
    RelayedPair Pair = Vm.open();
    Vm.run([](RelayServer &Server) { Server.retire("target-1", 7); });
    asio::write(Pair.Target_, asio::buffer(std::string("whole")));
    CHECK(readBytes(Pair.Asker_, 5) == "whole");
  }
}

TEST_CASE("a back-off holds for the VM that was told") {
  BackOffs Known;
  TimePoint Start{1h};
  CHECK(Known.record("vm-1", "target", 7, Start + 5s, Start));
  CHECK(Known.remaining("vm-1", "target", 7, Start + 2s) == 3s);
  SECTION("and for no other VM, target or incarnation") {
    CHECK(Known.remaining("vm-2", "target", 7, Start) == 0s);
    CHECK(Known.remaining("vm-1", "other", 7, Start) == 0s);
    CHECK(Known.remaining("vm-1", "target", 8, Start) == 0s);
  }
  SECTION("until the latest time that was named") {
    CHECK_FALSE(Known.record("vm-1", "target", 7, Start + 1s, Start));
    CHECK(Known.remaining("vm-1", "target", 7, Start) == 5s);
    CHECK(Known.record("vm-1", "target", 7, Start + 9s, Start));
    CHECK(Known.remaining("vm-1", "target", 7, Start + 9s) == 0s);
  }
  SECTION("and is news once, though several requests were under way") {
    CHECK_FALSE(
        Known.record("vm-1", "target", 7, Start + 5010ms, Start + 10ms));
    CHECK(Known.remaining("vm-1", "target", 7, Start + 10ms) == 5s);
  }
  SECTION("and is kept for ten minutes at most") {
    CHECK(Known.record("vm-1", "target", 7, Start + 9h, Start));
    CHECK(Known.remaining("vm-1", "target", 7, Start) == 10min);
  }
  SECTION("and is forgotten after its end") {
    Known.record("vm-2", "target", 7, Start + 9s, Start + 6s);
    CHECK(Known.size() == 1);
  }
}
