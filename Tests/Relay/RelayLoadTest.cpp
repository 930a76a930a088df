#include "Relay/RelayPlace.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace anvil;
namespace asio = boost::asio;
using asio::ip::tcp;

// Guards against a VM that carries others' load without a bound: what it relays
// takes its memory and descriptors, and its own callers wait.
TEST_CASE("a VM relays many connections within its bounds") {
  RelayServerOptions Options;
  Options.MaxTunnels_ = 60;
  RelayPlace Vm(Options);

  SECTION("beyond them it refuses at once, and takes others later") {
    std::vector<RelayedPair> Open;
    for (std::size_t Index = 0; Index < Options.MaxTunnels_; ++Index)
      Open.push_back(Vm.open());
    CHECK(Vm.openTunnels() == Options.MaxTunnels_);
    for (int Index = 0; Index < 20; ++Index)
      CHECK(Vm.ask(RelayPlace::validRequest())
                .second.find("Relay-Refusal: full") != std::string::npos);
    CHECK(Vm.openTunnels() == Options.MaxTunnels_);
    Open.pop_back();
    CHECK(holdsSoon([&] { return Vm.openTunnels() < Options.MaxTunnels_; }));
    Open.push_back(Vm.open());
    // All of them still pass bytes on.
    for (RelayedPair &Pair : Open) {
      asio::write(Pair.Asker_, asio::buffer(std::string("x")));
      CHECK(readBytes(Pair.Target_, 1) == "x");
    }
  }

  SECTION("a reader that stops slows its sender, and no one else") {
    RelayedPair Stalled = Vm.open();
    RelayedPair Other = Vm.open();
    Stalled.Target_.non_blocking(true);
    std::string Chunk(64 * 1024, 'x');
    std::size_t Sent = 0;
    boost::system::error_code Cause;
    int Refused = 0;
    // Until nothing fits into the buffers of the kernel and of the VM any more.
    while (Refused < 50) {
      Sent += Stalled.Target_.write_some(asio::buffer(Chunk), Cause);
      Refused = Cause ? Refused + 1 : 0;
      if (Cause)
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    constexpr std::size_t KernelBuffers = 32 * 1024 * 1024;
    CHECK(Sent < KernelBuffers);
    for (int Index = 0; Index < 200; ++Index) {
      asio::write(Other.Target_, asio::buffer(std::string("event")));
      CHECK(readBytes(Other.Asker_, 5) == "event");
    }
    // What was sent arrives whole once it is read.
    CHECK(readBytes(Stalled.Asker_, Sent).size() == Sent);
  }

  SECTION("streams of many callers come through unchanged") {
    constexpr int Streams = 40;
    constexpr int Events = 300;
    std::vector<RelayedPair> Open;
    for (int Index = 0; Index < Streams; ++Index)
      Open.push_back(Vm.open());
    std::thread Targets([&] {
      for (int Event = 0; Event < Events; ++Event)
        for (int Index = 0; Index < Streams; ++Index)
          asio::write(Open[static_cast<std::size_t>(Index)].Target_,
                      asio::buffer("data: " + std::to_string(Index) + "." +
                                   std::to_string(Event) + "\n\n"));
      for (RelayedPair &Pair : Open)
        Pair.Target_.close();
    });
    for (int Index = 0; Index < Streams; ++Index) {
      std::string Expected;
      for (int Event = 0; Event < Events; ++Event)
        Expected += "data: " + std::to_string(Index) + "." +
                    std::to_string(Event) + "\n\n";
      bool IsReset = true;
      CHECK(readToEnd(Open[static_cast<std::size_t>(Index)].Asker_, IsReset) ==
            Expected);
      CHECK_FALSE(IsReset);
    }
    Targets.join();
  }
}
