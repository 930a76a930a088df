#include "Loading/LoadPatience.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

// Guards against refusals of callers whose adapter would have been there well
// within their time, and against callers who wait for a certain refusal.
TEST_CASE("a request whose adapter isn't loaded", "[loading]") {
  LoadOutlook Outlook;
  Outlook.Queue_ = {250ms, 10, 64, 0};
  Outlook.ServeTime_ = 100ms;
  Outlook.TimeLeft_ = 10s;
  auto Action = [&] { return decidePatience(Outlook).Action_; };
  SECTION("waits for the load") {
    CHECK(Action() == PatienceAction::Wait);
    CHECK(decidePatience(Outlook).ExpectedIn_ == 250ms);
    SECTION("also past its latency target, while its time suffices") {
      Outlook.TimeLeft_ = 400ms;
      CHECK(Action() == PatienceAction::Wait);
    }
    SECTION("but not once the load certainly ends too late") {
      Outlook.TimeLeft_ = 350ms;
      CHECK(Action() == PatienceAction::Refuse);
    }
  }
  SECTION("waits behind the loads before it") {
    Outlook.Queue_.InTransit_ = 64;
    Outlook.Queue_.Queued_ = 640;
    CHECK(decidePatience(Outlook).ExpectedIn_ > 2750ms);
    CHECK(Action() == PatienceAction::Wait);
    SECTION("and also if only a part of them may precede it") {
      Outlook.TimeLeft_ = 2s;
      CHECK(Action() == PatienceAction::Wait);
    }
    SECTION("but is refused at once if even that part takes too long") {
      Outlook.TimeLeft_ = 1s;
      CHECK(Action() == PatienceAction::Refuse);
      // The caller should return when the adapter can be there.
      CHECK(decidePatience(Outlook).ExpectedIn_ > 2750ms);
    }
  }
  SECTION("trusts the end that an owner states for a load in progress") {
    Outlook.IsOrdered_ = true;
    Outlook.ReadyIn_ = 9950ms;
    CHECK(Action() == PatienceAction::Refuse);
    Outlook.ReadyIn_ = 5s;
    CHECK(Action() == PatienceAction::Wait);
  }
}

// Guards against several sends within the time of one load, each of which draws
// on the retry budget of all VMs.
TEST_CASE("sends to engines that lack the adapter", "[loading]") {
  MissingAdapterPauses Pauses;
  SECTION("are few, with growing pauses that outlast a slow load") {
    Duration Sum{};
    Duration Previous{};
    while (auto Pause = Pauses.recordMissing(10s)) {
      CHECK(*Pause > Previous);
      Previous = *Pause;
      Sum += *Pause;
    }
    CHECK(Pauses.count() <= MissingAdapterPauses::MaxSends);
    // A store that stops for a few seconds.
    CHECK(Sum >= 5s);
  }
  SECTION("end when there is no time for another") {
    CHECK_FALSE(Pauses.recordMissing(40ms));
  }
}
