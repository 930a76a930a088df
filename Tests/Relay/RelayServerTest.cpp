#include "Relay/RelayPlace.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace anvil;
namespace asio = boost::asio;
using asio::ip::tcp;

TEST_CASE("a VM relays a connection to a target") {
  RelayPlace Vm;

  SECTION("and passes the bytes of both sides on as they come") {
    RelayedPair Pair = Vm.open();
    for (int Round = 0; Round < 3; ++Round) {
      asio::write(Pair.Asker_, asio::buffer(std::string("request")));
      CHECK(readBytes(Pair.Target_, 7) == "request");
      asio::write(Pair.Target_, asio::buffer(std::string("event")));
      CHECK(readBytes(Pair.Asker_, 5) == "event");
    }
  }
  SECTION("says which incarnation runs, if asked") {
    RelayRequest Request = RelayPlace::validRequest();
    Request.AsksIncarnation_ = true;
    CHECK(Vm.ask(Request).second.find("Relay-Finding: same") !=
          std::string::npos);
  }
  SECTION("whose end it shows as it was: orderly") {
    RelayedPair Pair = Vm.open();
    asio::write(Pair.Target_, asio::buffer(std::string("whole")));
    Pair.Target_.close();
    bool IsReset = true;
    CHECK(readToEnd(Pair.Asker_, IsReset) == "whole");
    CHECK_FALSE(IsReset);
  }
  SECTION("or as a reset, so that an answer without a length isn't complete") {
    RelayedPair Pair = Vm.open();
    asio::write(Pair.Target_, asio::buffer(std::string("part")));
    CHECK(readBytes(Pair.Asker_, 4) == "part");
    Pair.Target_.set_option(asio::socket_base::linger(true, 0));
    Pair.Target_.close();
    bool IsReset = false;
    readToEnd(Pair.Asker_, IsReset);
    CHECK(IsReset);
    CHECK(holdsSoon([&] { return Vm.openTunnels() == 0; }));
  }
  SECTION("which it closes once the other VM has closed") {
    RelayedPair Pair = Vm.open();
    asio::write(Pair.Asker_, asio::buffer(std::string("request")));
    CHECK(readBytes(Pair.Target_, 7) == "request");
    Pair.Asker_.close();
    bool IsReset = false;
    CHECK(readToEnd(Pair.Target_, IsReset).empty());
    CHECK(holdsSoon([&] { return Vm.openTunnels() == 0; }));
  }
  SECTION("not without its key") {
    RelayRequest Request = RelayPlace::validRequest();
    Request.Key_ = "another-key";
    CHECK(Vm.ask(Request).second.find("Relay-Refusal: forbidden") !=
          std::string::npos);
    Request.Key_.clear();
    CHECK(Vm.ask(Request).second.find("Relay-Refusal: forbidden") !=
          std::string::npos);
  }
  SECTION("not to what it doesn't list") {
    RelayRequest Request = RelayPlace::validRequest();
    Request.Target_ = "127.0.0.1:22";
    CHECK(Vm.ask(Request).second.find("Relay-Refusal: unlisted") !=
          std::string::npos);
  }
  SECTION("not if it can't connect itself") {
    Vm.closeTarget();
    CHECK(Vm.ask(RelayPlace::validRequest())
              .second.find("Relay-Refusal: unreached") != std::string::npos);
    CHECK(Vm.openTunnels() == 0);
  }
}

TEST_CASE("a VM tells another one whether a target lives") {
  RelayPlace Vm;
  RelayRequest Request = RelayPlace::validRequest();
  Request.Question_ = {"/health", std::chrono::microseconds(3400)};
  auto Ask = [&] { return Vm.ask(Request).second; };

  SECTION("and which incarnation it stated") {
    std::string Answer = Ask();
    CHECK(Answer.starts_with("HTTP/1.1 204"));
    CHECK(Answer.find("Relay-Sign: answer") != std::string::npos);
    CHECK(Answer.find("Relay-Incarnation: 7") != std::string::npos);
    Vm.run([&](RelayServer &) {
      REQUIRE(Vm.Questions_.size() == 1);
      CHECK(Vm.Questions_.front().Path_ == "/health");
      CHECK(Vm.Questions_.front().CloseTime_ == std::chrono::milliseconds(4));
    });
    CHECK(Vm.openTunnels() == 0);
  }
  SECTION("while it stops, too") {
    Vm.run([](RelayServer &Server) { Server.beginDrain(); });
    CHECK(Ask().starts_with("HTTP/1.1 204"));
  }
  SECTION("while it relays as many connections as it can") {
    RelayServerOptions Options;
    Options.MaxTunnels_ = 1;
    RelayPlace Busy(Options);
    RelayedPair Pair = Busy.open();
    CHECK(Busy.ask(RelayPlace::validRequest())
              .second.find("Relay-Refusal: full") != std::string::npos);
    CHECK(Busy.ask(Request).second.starts_with("HTTP/1.1 204"));
  }
  SECTION("not without its key") {
    Request.Key_ = "another-key";
    CHECK(Ask().find("Relay-Refusal: forbidden") != std::string::npos);
  }
  SECTION("not if it can't connect itself") {
    Vm.run([&](RelayServer &) { Vm.Answer_.reset(); });
    CHECK(Ask().find("Relay-Refusal: unreached") != std::string::npos);
  }
}

TEST_CASE("a VM that stops relays no further connections") {
  RelayPlace Vm;
  RelayedPair Pair = Vm.open();
  Vm.run([](RelayServer &Server) { Server.beginDrain(); });
  CHECK(Vm.ask(RelayPlace::validRequest())
            .second.find("Relay-Refusal: stopping") != std::string::npos);
  // Those that are open go on to their end.
  asio::write(Pair.Target_, asio::buffer(std::string("event")));
  CHECK(readBytes(Pair.Asker_, 5) == "event");
  CHECK(Vm.openTunnels() == 1);
  Pair.Asker_.close();
  CHECK(holdsSoon([&] { return Vm.openTunnels() == 0; }));
}
