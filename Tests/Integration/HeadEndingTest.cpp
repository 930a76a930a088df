// Guards against MIXED and ORDER: a target stops in the middle of the head of
// its answer, and the caller gets the part before as a whole answer.

#include "Integration/EntryFleet.h"
#include "Standins/ScriptedTarget.h"

#include <catch2/catch.hpp>

#include <map>

using namespace anvil;

static const std::string EventHead = "Content-Type: text/event-stream\r\n";
static const std::string FirstEvent = "id: 1\ndata: one\n\n";
static const std::string LastEvent = "id: 2\ndata: two\n\n";

/// A reply with one byte of a body in each framing that a head may state.
static std::vector<ScriptedReply> replies(const std::string &ContentType) {
  return {
      {ContentType + "Content-Length: 1\r\n", "x"},
      {ContentType + "Content-Length: 0\r\n", ""},
      {ContentType + "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n"},
      {ContentType, "x"}};
}

TEST_CASE("a head that ends in the middle is no answer", "[head-ending]") {
  EntryFleet System;
  ScriptedTarget Engine("engine-3");
  ScriptedTarget Plain("plain-3");
  System.replaceTargets("engine-3", Engine.port());
  System.replaceTargets("plain-3", Plain.port());
  Engine.script({{EventHead, FirstEvent}});
  Plain.script({{"Content-Length: 2\r\n", "{}"}});
  auto Call = [&](const std::string &Path) {
    return System.call("vm-1", Path, {{"X-Model", "base"}});
  };
  REQUIRE(eventually(
      [&] {
        return Call("/stream/x").Headers_["x-server-seal"] ==
                   "seal-of-engine-3" &&
               Call("/safe/x").Headers_["x-server-seal"] == "seal-of-plain-3";
      },
      Millis(5000)));
  // Enough first attempts to earn retries.
  for (int Index = 0; Index < 12; ++Index)
    for (const char *Path : {"/safe/x", "/stream/x"})
      Call(Path);
  bool IsReset = GENERATE(false, true);
  INFO("reset: " << IsReset);

  SECTION("on no route and at no place") {
    // Inside the status line, after it, inside and after a header's line, and
    // before the last byte of the head.
    for (int SentBytes : {0, 1, 12, 15, 17, 30, -40, -4, -2, -1})
      for (const char *Path :
           {"/safe/x", "/once/x", "/stream/x", "/stream/resumable/x"})
        for (ScriptedReply Reply : replies(
                 std::string(Path).starts_with("/stream/") ? EventHead : "")) {
          Reply.IsReset_ = IsReset;
          Reply.SentBytes_ = SentBytes;
          ScriptedTarget &Target =
              std::string(Path).starts_with("/stream/") ? Engine : Plain;
          Target.script({Reply});
          int Before = Target.requestCount();
          CallerReply Answer = Call(Path);
          INFO(Path << ", " << SentBytes << " bytes of a head with "
                    << Reply.HeadLines_);
          CHECK(Answer.Status_ == 502);
          CHECK(Answer.Complete_);
          CHECK_FALSE(Answer.Headers_.contains("x-server-seal"));
          int Sends = Target.requestCount() - Before;
          bool IsRepeatable = std::string(Path) == "/safe/x" ||
                              std::string(Path) == "/stream/resumable/x";
          CHECK(Sends >= 1);
          CHECK(Sends <= (IsRepeatable ? 2 : 1));
        }
  }
  // Guards against MIXED: three digits that are no status reach the caller.
  SECTION("nor is one whose status isn't final") {
    for (const char *Status : {"000 Odd", "101 Switching", "600 Odd"})
      for (const char *Path : {"/once/x", "/stream/x"}) {
        bool IsStream = std::string(Path) == "/stream/x";
        ScriptedReply Odd{(IsStream ? EventHead : "") + "Content-Length: 2\r\n",
                          "{}", IsReset, Status};
        (IsStream ? Engine : Plain).script({Odd});
        CallerReply Answer = Call(Path);
        INFO(Path << ", " << Status);
        CHECK(Answer.Status_ == 502);
        CHECK_FALSE(Answer.Headers_.contains("x-server-seal"));
      }
    Plain.script({{"\r\nHTTP/1.1 200 OK\r\nX-Server-Seal: seal-of-plain-3\r\n"
                   "Content-Length: 2\r\n",
                   "{}", IsReset, "103 Hints"}});
    CallerReply Answer = Call("/once/x");
    CHECK(Answer.Status_ == 200);
    CHECK(Answer.Body_ == "{}");
  }
  // Guards against MIXED and ORDER: a body in a coding that isn't known.
  SECTION("nor is one that doesn't show where its body ends") {
    for (const char *Framing :
         {"xchunked", "gzip", "identity", "chunked, identity",
          "chunked, chunked", "gzip, chunked"})
      for (const char *Path : {"/once/x", "/stream/x"}) {
        bool IsStream = std::string(Path) == "/stream/x";
        ScriptedReply Odd{(IsStream ? EventHead : "") +
                              "Transfer-Encoding: " + Framing + "\r\n",
                          IsStream ? FirstEvent : "{}", IsReset};
        (IsStream ? Engine : Plain).script({Odd});
        CallerReply Answer = Call(Path);
        INFO(Path << ", " << Framing);
        CHECK(Answer.Status_ == 502);
        CHECK_FALSE(Answer.Headers_.contains("x-server-seal"));
      }
  }
  SECTION("nor after the first events of a stream that is resumed") {
    ScriptedReply Begun{EventHead + "Content-Length: 100\r\n", FirstEvent};
    for (int SentBytes : {0, 17, -2, -1}) {
      ScriptedReply Cut{EventHead, LastEvent, IsReset};
      Cut.SentBytes_ = SentBytes;
      Engine.script({Begun, Cut});
      CallerReply Answer = Call("/stream/resumable/x");
      INFO(SentBytes);
      CHECK(Answer.Status_ == 200);
      CHECK_FALSE(Answer.Complete_);
      CHECK(Answer.Body_ == FirstEvent);
    }
  }
  SECTION("and a stream that has not begun is answered by the next target") {
    ScriptedReply Cut{EventHead, LastEvent, IsReset};
    Cut.SentBytes_ = -2;
    Engine.script({Cut, {EventHead, FirstEvent + LastEvent}});
    CallerReply Answer = Call("/stream/resumable/x");
    CHECK(Answer.Status_ == 200);
    CHECK(Answer.Complete_);
    CHECK(Answer.Body_ == FirstEvent + LastEvent);
  }
}
