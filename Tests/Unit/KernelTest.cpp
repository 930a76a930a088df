#include "Kernel/ServiceRegistry.h"
#include "Kernel/TimerService.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

/// Notes its starts and stops in a list that all services share.
class NotingService : public Service {
public:
  NotingService(std::string Name, std::vector<std::string> Needs,
                std::vector<std::string> &Notes, bool Fails = false)
      : Name_(std::move(Name)), Needs_(std::move(Needs)), Notes_(Notes),
        Fails_(Fails) {}

  std::string_view serviceName() const override { return Name_; }
  std::vector<std::string> dependencies() const override { return Needs_; }
  Status start() override {
    if (Fails_)
      return Error{ErrorCode::Unavailable, Name_, "fails", ""};
    Notes_.push_back("start " + Name_);
    return std::monostate{};
  }
  void stop() override { Notes_.push_back("stop " + Name_); }

private:
  std::string Name_;
  std::vector<std::string> Needs_;
  std::vector<std::string> &Notes_;
  bool Fails_;
};

} // namespace

TEST_CASE("services start in order of dependence") {
  std::vector<std::string> Notes;
  ServiceRegistry Services;
  auto Add = [&](std::string Name, std::vector<std::string> Needs,
                 bool Fails = false) {
    Services.add(std::make_shared<NotingService>(
        std::move(Name), std::move(Needs), Notes, Fails));
  };

  SECTION("when each names what it needs") {
    Add("a", {"c"});
    Add("b", {"a"});
    Add("c", {});
    REQUIRE(isOk(Services.startAll()));

    SECTION("those needed come first, and go last") {
      Services.stopAll();
      REQUIRE(Notes == std::vector<std::string>{"start c", "start a", "start b",
                                                "stop b", "stop a", "stop c"});
    }
  }

  SECTION("when one of them fails, those before it are stopped") {
    Add("a", {});
    Add("b", {"a"}, true);
    Status Outcome = Services.startAll();
    REQUIRE_FALSE(isOk(Outcome));
    REQUIRE(errorOf(Outcome).Where_ == "b");
    REQUIRE(Notes == std::vector<std::string>{"start a", "stop a"});
  }

  SECTION("when they need each other, nothing starts") {
    Add("a", {"b"});
    Add("b", {"a"});
    REQUIRE_FALSE(isOk(Services.startAll()));
    REQUIRE(Notes.empty());
  }

  SECTION("when one needs a service that isn't there, nothing starts") {
    Add("a", {"missing"});
    REQUIRE_FALSE(isOk(Services.startAll()));
    REQUIRE(Notes.empty());
  }
}

TEST_CASE("the timer service calls its subscribers") {
  TimerService Timers;
  TimePoint Begin{};
  int Calls = 0;
  auto Count = [&](TimePoint) { ++Calls; };

  SECTION("at their period") {
    auto Held = Timers.every(10ms, Begin, Count);
    Timers.advance(Begin + 9ms);
    REQUIRE(Calls == 0);
    Timers.advance(Begin + 10ms);
    REQUIRE(Calls == 1);

    SECTION("but only once after a pause of many periods") {
      Timers.advance(Begin + 500ms);
      REQUIRE(Calls == 2);
    }

    SECTION("until the subscription ends") {
      Held.cancel();
      Timers.advance(Begin + 500ms);
      REQUIRE(Calls == 1);
    }
  }

  SECTION("once at a moment") {
    auto Held = Timers.once(Begin + 5ms, Count);
    REQUIRE(Timers.nextDue() == Begin + 5ms);
    Timers.advance(Begin + 6ms);
    Timers.advance(Begin + 60ms);
    REQUIRE(Calls == 1);
  }

  SECTION("and a subscriber may end itself") {
    TimerService::Subscription Held;
    Held = Timers.every(1ms, Begin, [&](TimePoint) {
      ++Calls;
      Held.cancel();
    });
    Timers.advance(Begin + 1ms);
    Timers.advance(Begin + 2ms);
    REQUIRE(Calls == 1);
  }
}
