#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace anvil;

static constexpr Millis ReplyTimeout{8000};

/// Requests on connections of their own, all at once.
class OpenRequests {
public:
  OpenRequests(EntryFleet &System, const std::string &Path, int Count) {
    for (int Index = 0; Index < Count; ++Index) {
      Connections_.push_back(
          std::make_unique<CallerConnection>(System.callerPort("vm-1")));
      CallerRequest Request = System.request(
          Path, {{"X-Model", "base"},
                 {"X-Request-Id", "open-" + std::to_string(Index)}});
      Request.Body_ = std::to_string(Index);
      Connections_.back()->send(Request);
    }
  }

  std::vector<CallerReply> finish() {
    std::vector<CallerReply> Replies;
    for (auto &Connection : Connections_)
      Replies.push_back(Connection->finish(ReplyTimeout));
    return Replies;
  }

private:
  std::vector<std::unique_ptr<CallerConnection>> Connections_;
};

static std::string words(int Last) {
  std::string Text;
  for (int Word = 1; Word <= Last; ++Word)
    Text += "word " + std::to_string(Word) + "\n";
  return Text;
}

/// The only engine and the only target of the plain service answer without a
/// length and without chunks.
static void useUnframedTargets(EntryFleet &System,
                               const std::vector<std::string> &Options,
                               std::int64_t Born = 1700000000000) {
  for (const char *Id : {"engine-9", "plain-9"})
    System.startUnframedTarget(Id, Options, Born);
  for (const std::string &Target : EntryTargets)
    System.writeTargetEntry(Target, "draining");
  // VMs read the list each 200 ms.
  std::this_thread::sleep_for(Millis(800));
}

// Guards against ORDER and MIXED: the end of a target's process is taken for
// the end of its answer.
TEST_CASE("an answer that ends with its target's process isn't complete",
          "[target-end]") {
  EntryFleet System;
  constexpr int Parts = 20;
  useUnframedTargets(System, {"--parts", std::to_string(Parts)});

  SECTION("streams and plain answers of targets that live on are whole") {
    OpenRequests Streams(System, "/stream/x", 6);
    OpenRequests Answers(System, "/once/x", 6);
    for (const CallerReply &Reply : Streams.finish()) {
      CHECK(Reply.Status_ == 200);
      CHECK(Reply.Complete_);
      CHECK(Reply.Body_ == standinEvents(1, Parts));
    }
    for (const CallerReply &Reply : Answers.finish()) {
      CHECK(Reply.Status_ == 200);
      CHECK(Reply.Complete_);
      CHECK(Reply.Body_ == words(Parts));
    }
  }
  SECTION("streams of a killed engine are cut between two events") {
    OpenRequests Streams(System, "/stream/x", 6);
    std::this_thread::sleep_for(Millis(400));
    System.at("engine-9").kill();
    for (const CallerReply &Reply : Streams.finish()) {
      CHECK(Reply.Status_ == 200);
      CHECK_FALSE(Reply.Complete_);
      CHECK(standinEvents(1, Parts).starts_with(Reply.Body_));
      CHECK(Reply.Body_.size() < standinEvents(1, Parts).size());
    }
  }
  SECTION("a lone stream too") {
    OpenRequests Streams(System, "/stream/x", 1);
    std::this_thread::sleep_for(Millis(400));
    System.at("engine-9").kill();
    CHECK_FALSE(Streams.finish().front().Complete_);
  }
  SECTION("plain answers of a killed target are no success") {
    OpenRequests Answers(System, "/once/x", 6);
    std::this_thread::sleep_for(Millis(400));
    System.at("plain-9").kill();
    for (const CallerReply &Reply : Answers.finish())
      CHECK(Reply.Status_ == 502);
  }
  SECTION("a resumable stream goes on at another engine") {
    // Enough first attempts to earn the retry.
    OpenRequests First(System, "/stream/x", 12);
    First.finish();
    System.startUnframedTarget("engine-8", {});
    OpenRequests Streams(System, "/stream/resumable/x", 1);
    std::this_thread::sleep_for(Millis(800));
    System.removeTargetEntry("engine-9");
    System.at("engine-9").kill();
    CallerReply Reply = Streams.finish().front();
    CHECK(Reply.Complete_);
    CHECK(Reply.Body_ == standinEvents(1, Parts));
  }
}

// The last answers of a target that exits at once can't be told from broken
// ones.
TEST_CASE("an answer whose target exits right after it isn't complete",
          "[target-end]") {
  EntryFleet System;
  useUnframedTargets(System, {"--parts", "5", "--ends-after-answer"});
  OpenRequests Streams(System, "/stream/x", 1);
  CHECK_FALSE(Streams.finish().front().Complete_);
  OpenRequests Answers(System, "/once/x", 1);
  CHECK(Answers.finish().front().Status_ == 502);
}

// Guards against sound answers that are broken off since their target pauses.
TEST_CASE("an answer whose target falls silent right after it is complete",
          "[target-end]") {
  EntryFleet System;
  useUnframedTargets(System, {"--parts", "5", "--stops-after-answer"});
  OpenRequests Streams(System, "/stream/x", 1);
  CHECK(Streams.finish().front().Complete_);
  OpenRequests Answers(System, "/once/x", 1);
  CHECK(Answers.finish().front().Status_ == 200);
}

TEST_CASE("a target's entry may be older than its process", "[target-end]") {
  EntryFleet System;
  SECTION("an answer of the process that runs now is complete") {
    useUnframedTargets(System, {"--parts", "5"}, 1750000000000);
    OpenRequests Streams(System, "/stream/x", 4);
    for (const CallerReply &Reply : Streams.finish())
      CHECK(Reply.Complete_);
  }
  SECTION("one of a process before it isn't") {
    // It starts after all requests were sent.
    constexpr std::int64_t Later = 4000000000000;
    useUnframedTargets(System, {"--parts", "5"}, Later);
    OpenRequests Streams(System, "/stream/x", 4);
    for (const CallerReply &Reply : Streams.finish())
      CHECK_FALSE(Reply.Complete_);
  }
}
