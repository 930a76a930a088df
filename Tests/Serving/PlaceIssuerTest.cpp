#include "Routing/PlaceIssuer.h"

#include <catch2/catch.hpp>

#include <map>

using namespace anvil;
using namespace std::chrono_literals;

static constexpr TimePoint Start{1000s};

/// An issuer that has run for a while, and a target of four slots that survives
/// two rejections a second.
class PlaceDesk {
public:
  PlaceDesk() {
    Issuer_.recordActivity(100ms, Start - 2s);
    Issuer_.recordActivity(100ms, Start - 1s);
    advance(0s);
  }

  void advance(Duration Time) {
    for (Duration Step{}; Step < Time; Step += 100ms)
      Issuer_.recordActivity(100ms, Now_ + Step);
    Now_ += Time;
    Issuer_.recordActivity(100ms, Now_);
  }

  PermitDecision ask(const std::string &Vm, std::uint64_t Serial) {
    PlaceQuery Query = Query_;
    Query.Vm_ = Vm;
    Query.Serial_ = Serial;
    Query.Need_.InUse_ = InUse_[Vm];
    return Issuer_.decide(Query, Share_, Now_);
  }

  /// Asks for as many places as are granted, at most for 50, and returns their
  /// number.
  int fill(const std::string &Vm) {
    int Granted = 0;
    while (Granted < 50 && ask(Vm, ++Serial_).Granted_) {
      InUse_[Vm].Held_.push_back(Serial_);
      ++Granted;
    }
    return Granted;
  }

  /// Releases the VM's oldest place.
  std::optional<std::string> release(const std::string &Vm,
                                     bool WasRejected = false) {
    std::uint64_t Serial = InUse_[Vm].Held_.front();
    std::erase(InUse_[Vm].Held_, Serial);
    return Issuer_.release({Vm, Serial, Query_.Target_, Query_.Incarnation_,
                            WasRejected, InUse_[Vm]},
                           Now_);
  }

  PlaceIssuer Issuer_;
  PlaceQuery Query_{"", 0, "engine", 7, {4, 2, 10s, {}}, 0, false};
  double Share_ = 1;
  TimePoint Now_ = Start;
  std::uint64_t Serial_ = 0;
  std::map<std::string, PlacesInUse> InUse_;
};

TEST_CASE("places at a brittle target", "[brittle]") {
  PlaceDesk Desk;

  SECTION("are as many as its slots and one that may wait") {
    CHECK(Desk.fill("vm-1") == 5);
    CHECK(Desk.ask("vm-2", 1).RetryIn_ > 0s);
    SECTION("and free again once released") {
      Desk.release("vm-1");
      CHECK(Desk.fill("vm-1") == 1);
    }
    SECTION("of which the VM that waits longest is told, once") {
      Desk.advance(100ms);
      CHECK_FALSE(Desk.ask("vm-3", 1).Granted_);
      CHECK(Desk.release("vm-1") == "vm-1");
      CHECK(Desk.release("vm-1") == "vm-2");
      CHECK(Desk.release("vm-1") == "vm-3");
      CHECK_FALSE(Desk.release("vm-1"));
    }
    SECTION("or once their VM has been silent for as long as it stated") {
      Desk.advance(11s);
      CHECK(Desk.fill("vm-2") == 5);
    }
    SECTION("or once their VM no longer names them") {
      Desk.InUse_["vm-1"] = {{1, 2}, {3}};
      CHECK(Desk.fill("vm-1") == 2);
    }
    SECTION("but not by a message that was overtaken") {
      Desk.InUse_["vm-1"] = {};
      CHECK_FALSE(Desk.ask("vm-1", 4).Granted_);
    }
    SECTION("or once a new process of their VM asks") {
      Desk.InUse_["vm-1"] = {};
      CHECK(Desk.ask("vm-1", 5'000'000'000).Granted_);
      CHECK(Desk.Issuer_.inUse("engine") == 1);
    }
  }
  SECTION("with none beyond the slots if it survives too few rejections") {
    Desk.Query_.Need_.Rejections_ = 1;
    CHECK(Desk.fill("vm-1") == 4);
  }
  SECTION("are fewer after a rejection, and at least its slots later") {
    Desk.fill("vm-1");
    Desk.release("vm-1", true);
    CHECK(Desk.fill("vm-1") == 0);
    CHECK(Desk.Issuer_.limitOf("engine") == 4);
    SECTION("none at all once the second's rejections are used up") {
      Desk.release("vm-1", true);
      Desk.release("vm-1");
      CHECK(Desk.fill("vm-1") == 0);
      Desk.advance(1100ms);
      CHECK(Desk.fill("vm-1") == 2);
    }
    SECTION("and one more is tried after some time without any") {
      Desk.advance(11s);
      Desk.InUse_["vm-1"] = {};
      CHECK(Desk.fill("vm-1") == 4);
      Desk.release("vm-1");
      Desk.release("vm-1");
      CHECK(Desk.fill("vm-1") == 3);
    }
  }
  SECTION("begin with few at a target that is back, and grow with what it "
          "serves") {
    Desk.Query_.IsRestarted_ = true;
    CHECK(Desk.fill("vm-1") == 1);
    Desk.release("vm-1");
    CHECK(Desk.fill("vm-1") == 2);
    Desk.release("vm-1");
    Desk.release("vm-1");
    CHECK(Desk.fill("vm-1") == 4);
  }
  SECTION("count anew with its next incarnation, and not for one before") {
    Desk.fill("vm-1");
    Desk.InUse_["vm-1"] = {};
    Desk.Query_.Incarnation_ = 8;
    CHECK(Desk.fill("vm-1") == 1);
    Desk.Query_.Incarnation_ = 7;
    CHECK_FALSE(Desk.ask("vm-2", 1).Granted_);
  }
  SECTION("of an issuer that is new to it leave room for what already runs") {
    Desk.Query_.SeenRunning_ = 5;
    CHECK(Desk.fill("vm-1") == 0);
    Desk.advance(4s);
    CHECK(Desk.fill("vm-1") == 5);
  }
  SECTION("that another issuer granted are taken over") {
    Desk.InUse_["vm-1"].Held_ = {1, 2, 3};
    Desk.Serial_ = 3;
    CHECK(Desk.fill("vm-1") == 2);
  }
  SECTION("aren't issued right after an interruption") {
    Desk.Now_ += 5s;
    CHECK_FALSE(Desk.ask("vm-2", 1).Granted_);
    Desk.advance(1s);
    CHECK(Desk.ask("vm-2", 2).Granted_);
  }
  SECTION("are shared out if the issuer reaches no majority of the VMs") {
    Desk.Share_ = 0.4;
    CHECK(Desk.fill("vm-1") == 2);
  }
}
