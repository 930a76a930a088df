#include "Unit/PipelineFixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace anvil;
namespace asio = boost::asio;

/// A caller's reply to a request whose target sends these bytes and then ends.
static std::string replyTo(PipelineFixture &Fixture, const std::string &Path,
                           const std::string &Sent,
                           void (*End)(SingleRequestTarget &)) {
  REQUIRE(Fixture.IsListening_);
  PersistentCaller Caller(Fixture.Loop_, Fixture.Pipeline_->port());
  asio::write(Caller.Socket_, asio::buffer("GET " + Path +
                                           " HTTP/1.1\r\nHost: x\r\n"
                                           "Connection: close\r\n\r\n"));
  Fixture.runUntil([&] { return Fixture.Target_.HasRequest_; });
  asio::write(Fixture.Target_.Socket_, asio::buffer(Sent));
  End(Fixture.Target_);
  return Caller.readToEnd();
}

/// Ends the connection, and accepts the next one as a process that lives on.
static void endConnection(SingleRequestTarget &Ended) {
  Ended.Socket_.close();
  Ended.Acceptor_.async_accept([](auto, auto) {});
}

/// Ends the connection, and the port only once another one is open, as the
/// system of a process with many connections may do.
static void endProcessSlowly(SingleRequestTarget &Ended) {
  Ended.Socket_.close();
  Ended.Acceptor_.async_wait(asio::socket_base::wait_read,
                             [&](auto) { Ended.Acceptor_.close(); });
}

static void endProcess(SingleRequestTarget &Ended) { Ended.crash(); }

// Guards against half of a body passing as whole: the system closes the
// connections of a killed process in order.
TEST_CASE("a service's reply that ends with its process isn't complete",
          "[at-most-once]") {
  PipelineFixture Fixture;
  const std::string Unframed = "HTTP/1.1 200 OK\r\n\r\nhalf";

  SECTION("if its end is only that of the connection") {
    auto End = GENERATE(&endProcess, &endProcessSlowly);
    std::string Reply = replyTo(Fixture, "/searches", Unframed, End);
    CHECK(Reply.starts_with("HTTP/1.1 502 "));
    CHECK(Fixture.Selector_->Result_ == AttemptResult::Crashed);
  }
  SECTION("and isn't kept for repeats of a request that runs once") {
    replyTo(Fixture, "/bookings", Unframed, endProcess);
    REQUIRE(Fixture.Ledger_->Recorded_);
    CHECK(Fixture.Ledger_->Recorded_->Executed_ == Execution::Unknown);
    CHECK(Fixture.Ledger_->Recorded_->Reply_.Body_.empty());
  }
  SECTION("unless a length marks its end") {
    std::string Sent = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    std::string Reply = replyTo(Fixture, "/searches", Sent, endProcess);
    CHECK(Reply.ends_with("\r\n\r\nwhole"));
  }
  SECTION("unless the process lives on") {
    std::string Reply = replyTo(Fixture, "/searches", Unframed, endConnection);
    CHECK(Reply.ends_with("\r\n\r\nhalf"));
    CHECK(Fixture.Selector_->Result_ == AttemptResult::Replied);
  }
}
