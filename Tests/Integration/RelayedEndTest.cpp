#include "Entry/OwnerRows.h"
#include "Integration/EntryFleet.h"
#include "Objects/Digest.h"
#include "Relay/RelayRequest.h"
#include "Standins/RequestText.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <thread>

using namespace anvil;
using nlohmann::json;

/// Another VM, played by the test, that asks `vm-1` about the only engine.
class AskingVm {
public:
  explicit AskingVm(EntryFleet &System) {
    json Page = sendJson(System.at("store").port(), "GET",
                         "/api/rows-get?Table=anvil&part=&From=vm/&To=vm0",
                         json::object())
                    .json();
    std::vector<TableRow> Rows;
    for (const json &Row : Page["Rows"])
      Rows.push_back(
          {Row["Key"],
           base64Decode(Row["Value"].get<std::string>()).value_or(""),
           Row["RowVersion"], false});
    for (const VmRow &Row : decodeControlRows(Rows, 0).Vms_)
      if (Row.Vm_.starts_with("vm-1"))
        Row_ = Row;
  }

  /// The head of the response to a request for the engine.
  std::string ask(std::optional<RelayQuestion> Question) const {
    RelayRequest Request{Row_.RelayKey_, "vm-9",        "tunnel", "request-9",
                         "engine-9",     1700000000000, true};
    Request.Question_ = std::move(Question);
    std::string Text = requestText(encodeRelayRequest(Request));
    boost::asio::io_context Loop;
    boost::asio::ip::tcp::socket Socket(Loop);
    std::string Address = Row_.PeerAddress_;
    Socket.connect(
        {boost::asio::ip::make_address(Address.substr(0, Address.find(':'))),
         Row_.RelayPort_});
    boost::asio::write(Socket, boost::asio::buffer(Text));
    std::string Answer;
    boost::system::error_code Ignored;
    boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Answer),
                            "\r\n\r\n", Ignored);
    return Answer;
  }

  /// Whether the VM says that the engine lives.
  std::string sign() const {
    std::string Answer =
        ask(RelayQuestion{"/api/report", std::chrono::milliseconds(4)});
    std::string Header = "Relay-Sign: ";
    auto Begin = Answer.find(Header);
    if (Begin == std::string::npos)
      return Answer;
    Begin += Header.size();
    return Answer.substr(Begin, Answer.find('\r', Begin) - Begin);
  }

  /// Waits until the VM relays no requests to the engine.
  bool isRefused() const {
    return eventually(
        [&] { return ask(std::nullopt).find("503") != std::string::npos; },
        Millis(8000));
  }

private:
  VmRow Row_;
};

// Guards against LOST: streams that their engine ended whole are broken off at
// a VM that reaches it only through others, since these tell nothing about a
// target that gets no requests.
TEST_CASE("a VM tells others whether a target lives that wants no requests",
          "[relayed-end]") {
  EntryFleet System;
  System.startUnframedTarget("engine-9", {"--parts", "5"});
  for (const char *Target : {"engine-1", "engine-2"})
    System.writeTargetEntry(Target, "draining");
  // VMs read the list each 200 ms.
  std::this_thread::sleep_for(Millis(800));
  AskingVm Asking(System);
  REQUIRE(Asking.ask(std::nullopt).starts_with("HTTP/1.1 200"));
  CHECK(Asking.sign() == "answer");

  SECTION("as it drains") {
    System.writeTargetEntry("engine-9", "draining");
    REQUIRE(Asking.isRefused());
    CHECK(Asking.sign() == "answer");
    SECTION("and that it doesn't, once it has ended") {
      System.at("engine-9").kill();
      CHECK(Asking.sign() != "answer");
      CHECK(Asking.sign() != "open_port");
    }
  }
  SECTION("as its entry is removed") {
    System.removeTargetEntry("engine-9");
    REQUIRE(Asking.isRefused());
    CHECK(Asking.sign() == "answer");
  }
  SECTION("as it wants none for some seconds") {
    CHECK(System.call("vm-1", "/stream/busy", {{"X-Model", "base"}}).Status_ ==
          503);
    REQUIRE(Asking.isRefused());
    CHECK(Asking.sign() == "answer");
  }
  SECTION("as it is silent") {
    System.at("engine-9").signal(SIGSTOP);
    CHECK(Asking.sign() == "open_port");
    System.at("engine-9").signal(SIGCONT);
  }
}
