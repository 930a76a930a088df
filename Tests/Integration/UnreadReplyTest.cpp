#include "Integration/EntryFleet.h"
#include "Standins/EndlessTarget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace anvil;
namespace asio = boost::asio;
using asio::ip::tcp;

// Guards against FAULT and RECOVER: replies that callers never read use up a
// VM's memory, or the part of it that the replies to others need.
TEST_CASE("callers that never read their replies don't cost others theirs",
          "[unread-reply]") {
  constexpr int Unread = 40;
  constexpr std::size_t Bytes = 3'900'000;
  EntryFleetPlan Plan;
  Plan.VmLimits_ = MachineLimits;
  Plan.EngineSlots_ = 2 * Unread;
  EntryFleet System(Plan);
  EndlessTarget Large("plain-3");
  System.replaceTargets("plain-3", Large.port());
  Large.script({"Content-Length: " + std::to_string(Bytes) + "\r\n", true,
                std::string(Bytes, 'x'), ""});
  auto IsServed = [&] {
    CallerReply Reply = System.call("vm-1", "/safe/x");
    return Reply.Complete_ && Reply.Body_.size() == Bytes;
  };
  REQUIRE(eventually(IsServed, Millis(5000)));

  asio::io_context Loop;
  std::vector<tcp::socket> Callers;
  for (int Index = 0; Index < Unread; ++Index) {
    std::string Text = "POST /safe/x HTTP/1.1\r\nHost: anvil\r\n"
                       "Content-Length: 0\r\n";
    for (const auto &[Name, Value] : System.request("/safe/x", {}).Headers_)
      Text += Name + ": " + Value + "\r\n";
    tcp::socket &Caller = Callers.emplace_back(Loop, tcp::v4());
    // The system's buffers must not hold a whole reply.
    Caller.set_option(tcp::socket::receive_buffer_size(4096));
    Caller.connect({asio::ip::make_address(System.callerAddress("vm-1")),
                    System.callerPort("vm-1")});
    asio::write(Caller, asio::buffer(Text + "\r\n"));
  }
  REQUIRE(eventually([&] { return Large.requestCount() > Unread / 2; },
                     Millis(5000)));
  CHECK(eventually(IsServed, Millis(15000)));
  CHECK(eventually(IsServed, Millis(15000)));
  REQUIRE_FALSE(System.at("vm-1").exitedUnexpectedly());
  CHECK(System.at("vm-1").peakMemoryMb() < 160);
}
