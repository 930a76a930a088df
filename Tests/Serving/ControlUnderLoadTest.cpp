#include "Entry/FleetLink.h"
#include "Http/ConnectionPool.h"
#include "Http/Spawn.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>

using namespace anvil;
namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

/// The turns of a busy event loop in which a configuration must be in force: a
/// turn takes 100 ms and more where a VM of 0.12 cores is overloaded, and the
/// bound is 3 s.
static constexpr int MaxTurns = 25;

/// Runs the loop until `IsDone`, and counts its turns. A handler that stands
/// for the work of callers is queued in each.
static int turnsUntil(asio::io_context &Loop,
                      const std::function<bool()> &IsDone) {
  int Turns = 0;
  std::function<void()> Work = [&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    ++Turns;
    constexpr int GiveUp = 2000;
    if (!IsDone() && Turns < GiveUp)
      asio::post(Loop, Work);
    else
      Loop.stop();
  };
  asio::post(Loop, Work);
  Loop.restart();
  Loop.run();
  return Turns;
}

// Guards against CONFIG: under load a change takes a turn of the event loop for
// each 4 KB or for each datagram, and is in force seconds too late.
TEST_CASE("control messages take few turns of a busy event loop") {
  asio::io_context Loop(1);

  SECTION("a long answer of the store") {
    constexpr std::size_t BodyBytes = 400 * 1024;
    asio::io_context Other;
    tcp::acceptor Acceptor(Other,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::thread Server([&] {
      tcp::socket Client = Acceptor.accept();
      // The whole answer is sent at once.
      Client.set_option(asio::socket_base::send_buffer_size(4 << 20));
      std::string Request;
      asio::read_until(Client, asio::dynamic_buffer(Request), "\r\n\r\n");
      std::string Answer =
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) +
          "\r\n\r\n" + std::string(BodyBytes, 'x');
      asio::write(Client, asio::buffer(Answer));
      boost::system::error_code Ignored;
      asio::read_until(Client, asio::dynamic_buffer(Request), "end", Ignored);
    });
    auto Pool = std::make_unique<ConnectionPool>();
    std::optional<Result<HttpReply>> Reply;
    Endpoint Address{"127.0.0.1", Acceptor.local_endpoint().port()};
    auto Fetch = [&]() -> asio::awaitable<void> {
      HttpRequest Request;
      Reply = co_await fetchPooled(*Pool, Address, std::move(Request),
                                   std::chrono::seconds(20));
    };
    spawn(Loop.get_executor(), Fetch());
    int Turns = turnsUntil(Loop, [&] { return Reply.has_value(); });
    // Ends the connection, and with it the server.
    Pool.reset();
    Server.join();
    REQUIRE(Reply);
    REQUIRE(isOk(*Reply));
    CHECK(valueOf(*Reply).Body_.size() == BodyBytes);
    CHECK(Turns <= MaxTurns);
  }

  SECTION("a notice behind the state updates of many VMs") {
    EntrySettings Settings;
    Settings.Listen_.Address_ = "127.0.0.1";
    TimerService Timers;
    FleetLink Link(Loop.get_executor(), Settings, Timers);
    REQUIRE(isOk(Link.start()));
    bool HasArrived = false;
    Link.Received_.attach([&](const FleetMessage &Message) {
      HasArrived |= std::holds_alternative<PlanReadNotice>(Message);
    });
    asio::io_context Other;
    udp::socket Sender(Other, udp::endpoint(udp::v4(), 0));
    udp::endpoint To(asio::ip::address_v4::loopback(), Link.port());
    auto Send = [&](const FleetMessage &Message) {
      Sender.send_to(asio::buffer(encodeFleetMessage(Message)), To);
    };
    constexpr int Vms = 100;
    for (int Index = 0; Index < Vms; ++Index) {
      VmStateUpdate Update;
      Update.Vm_ = "vm-" + std::to_string(Index);
      Send(Update);
    }
    Send(PlanReadNotice{});
    CHECK(turnsUntil(Loop, [&] { return HasArrived; }) <= MaxTurns);
    Link.stop();
  }
}
