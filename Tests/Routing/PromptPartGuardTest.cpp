#include "Routing/PromptPartGuard.h"
#include "Routing/LongRunDetector.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};
static constexpr PartId Deadly = 13;
static constexpr PartId First = 1;
static constexpr PartId Other = 2;

/// A guard with a clock and targets that crash one after the other.
class GuardStory {
public:
  GuardStory() {
    Guard_.onEvent([this](PartId Part, PartEvent Event, std::size_t, Duration) {
      Events_.emplace_back(Part, Event);
    });
  }

  void wait(Duration Time) {
    Now_ += Time;
    Guard_.update(Now_);
  }

  void crash(const std::vector<PartId> &Parts) {
    Guard_.recordCrash(nextTarget(), Parts, Now_);
  }

  void succeed(const std::vector<PartId> &Parts, TimePoint SentAt,
               SuccessProof Proof = SuccessProof::Complete) {
    Guard_.recordSuccess({"sound", "1"}, Parts, SentAt, Proof, Now_);
    wait(400ms);
  }

  bool refuses(PartId Part) const { return Guard_.isQuarantined({Part}, Now_); }

  TargetInstance nextTarget() { return {"e", std::to_string(++Crashes_)}; }

  PromptPartGuard Guard_{PromptPartOptions{}};
  TimePoint Now_ = Start;
  int Crashes_ = 0;
  std::vector<std::pair<PartId, PartEvent>> Events_;
};

TEST_CASE("a part of prompts that crashes targets", "[prompt-part]") {
  GuardStory Story;
  for (int Crash = 0; Crash < 3; ++Crash) {
    Story.crash({Deadly});
    Story.wait(400ms);
  }
  Story.wait(1s);
  SECTION("is refused after three crashes, in whatever prompt it is") {
    CHECK(Story.refuses(Deadly));
    CHECK(Story.Guard_.isQuarantined({99, Deadly, 98}, Story.Now_));
    CHECK_FALSE(Story.refuses(Other));
    CHECK(Story.Events_ == std::vector<std::pair<PartId, PartEvent>>{
                               {Deadly, PartEvent::Convicted}});
  }
  SECTION("is refused until its quarantine ends") {
    Story.wait(PartQuarantineOptions().QuarantineTime_ + 1s);
    CHECK_FALSE(Story.refuses(Deadly));
    SECTION("and again at its next crash") {
      Story.crash({Deadly});
      CHECK(Story.refuses(Deadly));
    }
    SECTION("but not once a request with it has worked") {
      Story.succeed({Deadly}, Story.Now_);
      Story.crash({Deadly});
      CHECK_FALSE(Story.refuses(Deadly));
    }
  }
  SECTION("explains later crashes, so that they don't speak against others") {
    for (int Crash = 0; Crash < 9; ++Crash) {
      Story.crash({Deadly, Other});
      Story.wait(400ms);
    }
    CHECK_FALSE(Story.refuses(Other));
  }
  SECTION("is taken over by a VM that starts later, from any report") {
    PromptPartGuard Started{PromptPartOptions{}};
    Story.wait(20s);
    Started.apply(Story.Guard_.report(Story.Now_), Start + 500s);
    CHECK(Started.isQuarantined({Deadly}, Start + 500s));
    CHECK_FALSE(Started.isQuarantined({Other}, Start + 500s));
  }
}

TEST_CASE("a sound part at many crashes", "[prompt-part]") {
  GuardStory Story;
  SECTION("is cleared by a request that was sent after the first of them") {
    for (int Crash = 0; Crash < 12; ++Crash) {
      Story.crash({First});
      Story.succeed({First}, Story.Now_);
    }
    CHECK_FALSE(Story.refuses(First));
    CHECK(Story.Guard_.suspects() == 0);
  }
  SECTION("is not cleared by requests that were sent before") {
    TimePoint Before = Story.Now_;
    Story.wait(1s);
    for (int Crash = 0; Crash < 8; ++Crash) {
      Story.crash({First});
      Story.succeed({First}, Before);
    }
    CHECK(Story.refuses(First));
  }
  SECTION("is not cleared by a response that a crash may have ended") {
    for (int Crash = 0; Crash < 5; ++Crash) {
      Story.crash({First});
      Story.succeed({First}, Story.Now_, SuccessProof::EndOfConnection);
    }
    CHECK(Story.refuses(First));
  }
  SECTION("stays served beside the part that causes them") {
    // Both are new, and both are at every crash.
    for (int Crash = 0; Crash < 8; ++Crash) {
      Story.crash({First, Deadly});
      Story.succeed({First}, Story.Now_);
    }
    CHECK(Story.refuses(Deadly));
    CHECK_FALSE(Story.refuses(First));
  }
  SECTION("stays served if it is known to work, though no request can show it "
          "while all targets are down") {
    Story.succeed({First}, Story.Now_);
    for (int Crash = 0; Crash < 8; ++Crash) {
      Story.crash({First, Deadly});
      Story.wait(400ms);
    }
    CHECK(Story.refuses(Deadly));
    CHECK_FALSE(Story.refuses(First));
  }
  SECTION("is not convicted by targets that crash at the same moment") {
    for (int Crash = 0; Crash < 20; ++Crash)
      Story.crash({First});
    Story.wait(5s);
    CHECK_FALSE(Story.refuses(First));
  }
  SECTION("is released when a running request shows that it works") {
    Story.crash({First});
    Story.wait(300ms);
    TimePoint SentAt = Story.Now_;
    for (int Crash = 0; Crash < 4; ++Crash) {
      Story.crash({First});
      Story.wait(600ms);
    }
    REQUIRE(Story.refuses(First));
    Story.succeed({First}, SentAt, SuccessProof::LongRun);
    CHECK_FALSE(Story.refuses(First));
    CHECK(Story.Events_.back().second == PartEvent::Lifted);
  }
}

TEST_CASE("a part that is quarantined in doubt", "[prompt-part]") {
  GuardStory Story;
  Story.Guard_.setRank(1, 3);
  auto Decide = [&](std::vector<PartId> Parts) {
    return Story.Guard_.decide(Parts, Story.Now_);
  };
  while (!Story.refuses(Deadly)) {
    Story.crash({Deadly, First});
    Story.wait(700ms);
  }
  REQUIRE(Story.refuses(First));
  Story.wait(600ms);
  CHECK(Decide({First}) == PartDecision::Refuse);
  Story.wait(2s);
  SECTION("is tried by one request of the VM whose turn it is") {
    CHECK(Decide({First, Other}) == PartDecision::Try);
    CHECK(Story.Guard_.beginSend({First, Other}, Story.Now_));
    CHECK(Decide({First, Other}) == PartDecision::Refuse);
    CHECK_FALSE(Story.Guard_.beginSend({First, Other}, Story.Now_));
    SECTION("and served once that has worked") {
      Story.succeed({First, Other}, Story.Now_, SuccessProof::LongRun);
      CHECK(Decide({First}) == PartDecision::Serve);
      CHECK(Decide({Deadly}) != PartDecision::Serve);
    }
  }
  SECTION("is tried ever more rarely while it crashes targets") {
    int Trials = 0;
    for (int Step = 0; Step < 250; ++Step) {
      Story.wait(100ms);
      if (!Story.Guard_.beginSend({Deadly}, Story.Now_))
        continue;
      ++Trials;
      Story.crash({Deadly});
    }
    CHECK(Trials >= 1);
    CHECK(Trials <= 3);
  }
}

TEST_CASE("a part that begins to crash targets after it has worked",
          "[prompt-part]") {
  GuardStory Story;
  Story.succeed({Deadly}, Story.Now_);
  for (int Crash = 0; Crash < 5; ++Crash) {
    Story.crash({Deadly});
    Story.wait(600ms);
  }
  CHECK(Story.refuses(Deadly));
}

TEST_CASE("a part that is convicted in place of another", "[prompt-part]") {
  GuardStory Story;
  // The part that crashes targets worked before; the new one only comes along.
  Story.succeed({First}, Story.Now_);
  Story.succeed({Deadly}, Story.Now_);
  while (!Story.refuses(Other)) {
    Story.crash({First, Other, Deadly});
    Story.wait(300ms);
  }
  REQUIRE_FALSE(Story.refuses(Deadly));
  SECTION("gives the evidence back when it proves sound") {
    Story.succeed({First, Other}, Story.Now_);
    REQUIRE_FALSE(Story.refuses(Other));
    Story.wait(2s);
    CHECK(Story.refuses(Deadly));
    CHECK_FALSE(Story.refuses(First));
  }
}

TEST_CASE("a short response that is complete just before its target crashes",
          "[prompt-part]") {
  GuardStory Story;
  for (int Crash = 0; Crash < 4; ++Crash) {
    TargetInstance Target = Story.nextTarget();
    Story.Guard_.recordSuccess(Target, {Deadly}, Story.Now_,
                               SuccessProof::Complete, Story.Now_);
    Story.wait(100ms);
    if (Crash % 2)
      Story.Guard_.recordCrash(Target, {Other}, Story.Now_);
    else
      Story.Guard_.apply({{{Target, 20ms, {{First, true}}}}, {}, {}},
                         Story.Now_);
    Story.wait(600ms);
  }
  CHECK(Story.refuses(Deadly));
}

TEST_CASE("what VMs tell each other about parts", "[prompt-part]") {
  GuardStory Here;
  GuardStory There;
  auto Tell = [](GuardStory &From, GuardStory &To) {
    From.wait(0ms);
    To.wait(0ms);
    To.Guard_.apply(From.Guard_.report(From.Now_), To.Now_);
    To.wait(0ms);
  };
  SECTION("adds up the crashes that each has seen") {
    for (int Crash = 0; Crash < 4; ++Crash) {
      TargetInstance Target = Here.nextTarget();
      GuardStory &Seen = Crash % 2 ? Here : There;
      Seen.Guard_.recordCrash(Target, {Deadly}, Seen.Now_);
      Here.wait(700ms);
      There.wait(700ms);
      Tell(Here, There);
      Tell(There, Here);
    }
    CHECK(Here.refuses(Deadly));
    CHECK(There.refuses(Deadly));
  }
  SECTION("counts a crash once, however often it is repeated") {
    Here.crash({Other});
    for (int Time = 0; Time < 15; ++Time) {
      Here.wait(100ms);
      There.wait(100ms);
      Tell(Here, There);
    }
    CHECK_FALSE(There.refuses(Other));
    SECTION("also after the part was cleared") {
      There.succeed({Other}, There.Now_);
      REQUIRE(There.Guard_.suspects() == 0);
      Tell(Here, There);
      CHECK(There.Guard_.suspects() == 0);
    }
  }
  SECTION("clears a part on a VM that has no request with it") {
    Here.crash({First});
    Tell(Here, There);
    There.wait(10ms);
    There.succeed({First}, There.Now_);
    Tell(There, Here);
    CHECK(Here.Guard_.suspects() == 0);
  }
  SECTION("ends a quarantine that a cut off VM decided alone") {
    for (int Crash = 0; Crash < 5; ++Crash) {
      Here.crash({First});
      Here.wait(600ms);
      There.wait(600ms);
    }
    REQUIRE(Here.refuses(First));
    There.succeed({First}, There.Now_);
    Tell(Here, There);
    CHECK_FALSE(There.refuses(First));
    Tell(There, Here);
    CHECK_FALSE(Here.refuses(First));
    SECTION("and isn't brought back by a late report") {
      PartReport Late;
      Late.Quarantined_[First] = {290s, 13s};
      Here.Guard_.apply(Late, Here.Now_);
      CHECK_FALSE(Here.refuses(First));
    }
  }
  SECTION("stays within its limits whatever is told") {
    rc::prop("memory and reports are bounded", [] {
      PromptPartOptions Options;
      Options.Suspects_.MaxParts_ = 50;
      Options.Suspects_.MaxCrashes_ = 10;
      Options.Quarantine_.MaxParts_ = 5;
      PromptPartGuard Guard(Options);
      TimePoint Now = Start;
      auto Steps = *rc::gen::container<std::vector<PartId>>(
          200, rc::gen::inRange<PartId>(0, 300));
      for (PartId Part : Steps) {
        Now += std::chrono::milliseconds(150);
        TargetInstance Target{"e", std::to_string(Part)};
        Guard.recordCrash(Target, {Part % 7, Part, Part + 1}, Now);
        PartReport Told;
        Told.Quarantined_[Part] = {60s, 2s};
        Told.Sound_.push_back(Part / 2);
        Guard.apply(Told, Now);
        Guard.update(Now);
        RC_ASSERT(Guard.suspects() <= 50U);
        RC_ASSERT(Guard.quarantined(Now) <= 5U);
        PartReport Report = Guard.report(Now);
        RC_ASSERT(Report.Crashes_.size() <= Options.MaxReportedCrashes_);
        RC_ASSERT(Report.Sound_.size() <= Options.MaxReportedParts_);
      }
    });
  }
}

TEST_CASE("a long run", "[prompt-part]") {
  LongRunDetector Run;
  TimePoint Now = Start;
  SECTION("is one whose parts keep coming") {
    int Long = 0;
    for (int Part = 0; Part < 30; ++Part, Now += 40ms)
      Long += Run.recordPart(Now) ? 1 : 0;
    CHECK(Long == 1);
  }
  SECTION("is not a short one around a pause of this VM") {
    Run.recordPart(Now);
    Run.recordPart(Now + 40ms);
    CHECK_FALSE(Run.recordPart(Now + 5s));
    CHECK_FALSE(Run.isLong());
  }
}
