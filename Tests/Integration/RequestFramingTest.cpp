// Guards against requests that nobody sent: a head doesn't show where its body
// ends, and the body runs as a request, with another caller's where a balancer
// shares connections.

#include "Integration/EntryFleet.h"
#include "Integration/SingleVm.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace anvil;

/// A head with these lines, which frame its body.
static std::string headOf(const CallerRequest &Request,
                          const std::string &Framing) {
  std::string Text =
      Request.Method_ + " " + Request.Target_ + " HTTP/1.1\r\nHost: anvil\r\n";
  for (const auto &[Name, Value] : Request.Headers_)
    Text += Name + ": " + Value + "\r\n";
  return Text + Framing + "\r\n";
}

/// Lines that don't show where a body ends, and the status of the answer.
static const std::vector<std::pair<std::string, int>> UnclearFramings{
    {"Transfer-Encoding: xchunked\r\n", 400},
    {"Transfer-Encoding: gzip\r\n", 400},
    {"Transfer-Encoding: identity\r\n", 400},
    {"Transfer-Encoding: chunked, identity\r\n", 400},
    {"Transfer-Encoding: chunked, chunked\r\n", 400},
    {"Transfer-Encoding: gzip, chunked\r\n", 501},
    {"Transfer-Encoding: gzip\r\nContent-Length: 0\r\n", 400},
    {"Content-Length: 0\r\nContent-Length: 9\r\n", 400}};

TEST_CASE("no bytes of a body run as a request", "[request-framing]") {
  EntryFleet System;
  SECTION("on any route") {
    std::string Path = GENERATE("/safe/x", "/once/x", "/stream/x");
    int Number = 0;
    for (const auto &[Framing, Status] : UnclearFramings) {
      INFO(Path << ", " << Framing);
      std::string Id = "shown-" + std::to_string(++Number);
      std::string HiddenId = "hidden-" + std::to_string(Number);
      auto RequestOf = [&](const std::string &RequestId) {
        CallerRequest Request =
            System.request(Path, {{"X-Request-Id", RequestId}});
        if (Path == "/stream/x")
          Request.Headers_.emplace_back("X-Model", "base/warm");
        return Request;
      };
      CallerConnection Caller(System.callerPort("vm-1"));
      Caller.sendRaw(headOf(RequestOf(Id), Framing) +
                     headOf(RequestOf(HiddenId), "Content-Length: 0\r\n"));
      CallerReply Reply = Caller.finish(Millis(5000));
      CHECK(Reply.Status_ == Status);
      CHECK(Reply.Headers_["connection"] == "close");
      CHECK(Caller.closedWithin(Millis(3000)));
      CHECK(System.runCount(Id) == 0);
      CHECK(System.runCount(HiddenId) == 0);
    }
  }
  SECTION("and sound ones run") {
    for (const auto &[Framing, Body] :
         std::vector<std::pair<std::string, std::string>>{
             {"Transfer-Encoding: Chunked\r\n",
              "2;x=y\r\n{}\r\n0\r\nX-Sum: 1\r\n\r\n"},
             {"Content-Length: 2\r\nContent-Length: 2\r\n", "{}"}}) {
      INFO(Framing);
      CallerConnection Sound(System.callerPort("vm-1"));
      Sound.sendRaw(headOf(System.request("/safe/x", {}), Framing) + Body);
      CHECK(Sound.finish(Millis(5000)).Status_ == 200);
      CHECK_FALSE(Sound.closedWithin(Millis(200)));
    }
  }
  // Guards against LOST: one caller's last chunk ends the process.
  SECTION("and a body in pieces ends no VM") {
    CallerConnection Caller(System.callerPort("vm-1"));
    for (const std::string &Piece :
         {headOf(System.request("/safe/x", {}),
                 "Transfer-Encoding: chunked\r\n"),
          std::string("0\r\n"), std::string("\r"), std::string("\n")}) {
      Caller.sendRaw(Piece);
      std::this_thread::sleep_for(Millis(50));
    }
    CHECK(Caller.finish(Millis(5000)).Status_ == 200);
    CHECK_FALSE(System.at("vm-1").exitedUnexpectedly());
  }
}

// Guards against ports that read a request in another way than that of callers.
TEST_CASE("each port of a VM reads requests alike", "[request-framing]") {
  VmMode Mode = GENERATE(VmMode::Entry, VmMode::Standalone);
  SingleVm Place(Mode);
  auto Vm = Place.start();
  // The port `ready` is that of administration in standalone mode.
  std::vector<std::string> Ports{"caller", "ready"};
  if (Mode == VmMode::Entry)
    Ports.insert(Ports.end(), {"metrics", "peer"});
  for (const std::string &Port : Ports) {
    REQUIRE(eventually([&] { return Place.isOpen(Port); }, Millis(5000)));
    for (const auto &[Framing, Status] : UnclearFramings) {
      INFO(Port << ", " << Framing);
      CallerConnection Caller(Place.port(Port), Place.address());
      CallerRequest Request{"GET", "/", {}, ""};
      Caller.sendRaw(headOf(Request, Framing) + headOf(Request, ""));
      CallerReply Reply = Caller.finish(Millis(5000));
      CHECK(Reply.Status_ == Status);
      CHECK(Reply.Headers_["connection"] == "close");
      CHECK(Caller.closedWithin(Millis(3000)));
    }
  }
}
