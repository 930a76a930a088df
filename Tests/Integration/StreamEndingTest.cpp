#include "Integration/EntryFleet.h"
#include "Standins/ScriptedTarget.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace anvil;

static const std::string Events = "Content-Type: text/event-stream\r\n";
static const std::string FirstEvent = "id: 1\ndata: one\n\n";
static const std::string LastEvent = "id: 2\ndata: two\n\n";
static const std::string CutEvent = "id: 2\nda";

static ScriptedReply untilClose(const std::string &Body) {
  return {Events, Body};
}

static ScriptedReply chunked(const std::string &Body, bool HasEnd = true) {
  char Size[16];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Body.size());
  return {Events + "Transfer-Encoding: chunked\r\n",
          Size + Body + "\r\n" + (HasEnd ? "0\r\n\r\n" : "")};
}

static ScriptedReply withLength(const std::string &Body, std::size_t Missing) {
  return {Events + "Content-Length: " + std::to_string(Body.size() + Missing) +
              "\r\n",
          Body};
}

TEST_CASE("a stream that its engine breaks off never looks complete",
          "[stream-ending]") {
  EntryFleet System;
  ScriptedTarget Engine("engine-3");
  System.replaceTargets("engine-3", Engine.port());
  auto Call = [&](const std::string &Path) {
    return System.call("vm-1", Path, {{"X-Model", "base"}});
  };
  Engine.script({chunked(FirstEvent + LastEvent)});
  REQUIRE(eventually(
      [&] {
        return Call("/stream/x").Headers_["x-server-seal"] ==
               "seal-of-engine-3";
      },
      Millis(5000)));

  SECTION("a whole stream is complete") {
    auto Whole = FirstEvent + LastEvent;
    auto Reply =
        GENERATE_COPY(untilClose(Whole), chunked(Whole), withLength(Whole, 0));
    Engine.script({Reply});
    CallerReply Answer = Call("/stream/x");
    INFO(Reply.HeadLines_);
    CHECK(Answer.Complete_);
    CHECK(Answer.Body_ == Whole);
  }
  SECTION("also if its lines end with CR and LF") {
    Engine.script({untilClose("id: 1\r\ndata: one\r\n\r\n")});
    CallerReply Answer = Call("/stream/x");
    CHECK(Answer.Status_ == 200);
    CHECK(Answer.Complete_);
  }
  SECTION("a body that is no event stream ends as its framing says") {
    Engine.script({{"Content-Type: application/json\r\n", "{}"}});
    CallerReply Answer = Call("/stream/x");
    CHECK(Answer.Complete_);
    CHECK(Answer.Body_ == "{}");
  }
  SECTION("a stream that ends inside an event is cut, however it was framed") {
    auto Cut = FirstEvent + CutEvent;
    auto Reply =
        GENERATE_COPY(untilClose(Cut), chunked(Cut), withLength(Cut, 0),
                      untilClose("id: 1\ndata: one\n"), untilClose("i"));
    Engine.script({Reply});
    INFO(Reply.HeadLines_ << Reply.Body_);
    CallerReply Answer = Call("/stream/x");
    CHECK(Answer.Status_ == 200);
    CHECK_FALSE(Answer.Complete_);
  }
  SECTION("a stream that ends before its framing says so is cut") {
    auto Reply = GENERATE_COPY(chunked(FirstEvent, false),
                               withLength(FirstEvent, LastEvent.size()));
    Engine.script({Reply});
    INFO(Reply.HeadLines_);
    CHECK_FALSE(Call("/stream/x").Complete_);
  }
  SECTION("a connection that closes after the head is no complete stream") {
    Engine.script({untilClose("")});
    CHECK_FALSE(Call("/stream/x").Complete_);
  }
  SECTION("a connection that is reset after an event is no complete stream") {
    Engine.script({{Events, FirstEvent, true}});
    CHECK_FALSE(Call("/stream/x").Complete_);
  }
  SECTION("a resumable stream goes on after its last whole event") {
    Engine.script({chunked(FirstEvent)});
    // Enough first attempts to earn the retry.
    for (int Index = 0; Index < 12; ++Index)
      Call("/stream/x");
    auto Cut = GENERATE_COPY(untilClose(FirstEvent + CutEvent),
                             chunked(FirstEvent + CutEvent));
    Engine.script({Cut, untilClose(LastEvent)});
    CallerReply Answer = Call("/stream/resumable/x");
    CHECK(Answer.Complete_);
    CHECK(Answer.Body_ == FirstEvent + LastEvent);
    // Guards against MIXED and ORDER: the error of the next engine becomes part
    // of the stream, or its end the end of the stream.
    SECTION("and is cut if the next answer is an error") {
      const std::string Text = R"({"error":"out of memory"})";
      const std::string Json = "Content-Type: application/json\r\n";
      const std::string Length =
          "Content-Length: " + std::to_string(Text.size()) + "\r\n";
      auto Error = GENERATE_COPY(
          ScriptedReply{Json + Length, Text, false,
                        "500 Internal Server Error"},
          ScriptedReply{Json, Text, false, "500 Internal Server Error"},
          ScriptedReply{Json + Length, Text, false, "400 Bad Request"},
          ScriptedReply{Json + Length, Text}, ScriptedReply{Json, Text},
          ScriptedReply{"Content-Type: text/plain\r\n", Text + "\n\n"},
          ScriptedReply{"X-Not-Executed: 1\r\nContent-Length: 0\r\n", "", false,
                        "503 Service Unavailable"});
      INFO(Error.Status_ << " " << Error.HeadLines_);
      Engine.script({Cut, Error});
      CallerReply Next = Call("/stream/resumable/x");
      CHECK(Next.Status_ == 200);
      CHECK_FALSE(Next.Complete_);
      CHECK(Next.Body_ == FirstEvent);
    }
    // Guards against LOST: a whole stream is cut since its first target reset
    // the connection after the last event.
    SECTION("and is complete if nothing is left of it") {
      Engine.script({{Events, FirstEvent + LastEvent, true}, untilClose("")});
      CallerReply Next = Call("/stream/resumable/x");
      CHECK(Next.Complete_);
      CHECK(Next.Body_ == FirstEvent + LastEvent);
    }
    SECTION("and is cut if that breaks off as well") {
      Engine.script({Cut, untilClose(CutEvent)});
      CallerReply Next = Call("/stream/resumable/x");
      CHECK_FALSE(Next.Complete_);
      CHECK(Next.Body_ == FirstEvent);
    }
  }
}
