#include "Kernel/ServiceRegistry.h"
#include "Kernel/TimerService.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

/// Appends its starts and stops to a list shared by all services.
class RecordingService : public Service {
public:
  RecordingService(std::string Name, std::vector<std::string> Dependencies,
                   std::vector<std::string> &Events, bool Fails = false)
      : Name_(std::move(Name)), Dependencies_(std::move(Dependencies)),
        Events_(Events), Fails_(Fails) {}

  std::string_view serviceName() const override { return Name_; }
  std::vector<std::string> dependencies() const override {
    return Dependencies_;
  }
  Status start() override {
    if (Fails_)
      return Error{ErrorCode::Unavailable, Name_, "fails", ""};
    Events_.push_back("start " + Name_);
    return std::monostate{};
  }
  void stop() override { Events_.push_back("stop " + Name_); }

private:
  std::string Name_;
  std::vector<std::string> Dependencies_;
  std::vector<std::string> &Events_;
  bool Fails_;
};

} // namespace

TEST_CASE("services start in dependency order") {
  std::vector<std::string> Events;
  ServiceRegistry Services;
  auto Add = [&](std::string Name, std::vector<std::string> Dependencies,
                 bool Fails = false) {
    Services.add(std::make_shared<RecordingService>(
        std::move(Name), std::move(Dependencies), Events, Fails));
  };

  SECTION("when all dependencies are registered") {
    Add("a", {"c"});
    Add("b", {"a"});
    Add("c", {});
    REQUIRE(isOk(Services.startAll()));

    SECTION("and stop in the reverse order") {
      Services.stopAll();
      REQUIRE(Events == std::vector<std::string>{"start c", "start a",
                                                 "start b", "stop b", "stop a",
                                                 "stop c"});
    }
  }

  SECTION("and are stopped again when a later one fails to start") {
    Add("a", {});
    Add("b", {"a"}, true);
    Status Outcome = Services.startAll();
    REQUIRE_FALSE(isOk(Outcome));
    REQUIRE(errorOf(Outcome).Where_ == "b");
    REQUIRE(Events == std::vector<std::string>{"start a", "stop a"});
  }

  SECTION("and none starts when dependencies form a cycle") {
    Add("a", {"b"});
    Add("b", {"a"});
    REQUIRE_FALSE(isOk(Services.startAll()));
    REQUIRE(Events.empty());
  }

  SECTION("and none starts when a dependency is not registered") {
    Add("a", {"missing"});
    REQUIRE_FALSE(isOk(Services.startAll()));
    REQUIRE(Events.empty());
  }
}

TEST_CASE("the timer service calls its subscribers") {
  TimerService Timers;
  TimePoint Begin{};
  int Calls = 0;
  auto Count = [&](TimePoint) { ++Calls; };

  SECTION("periodically") {
    auto Held = Timers.every(10ms, Begin, Count);
    Timers.advance(Begin + 9ms);
    REQUIRE(Calls == 0);
    Timers.advance(Begin + 10ms);
    REQUIRE(Calls == 1);

    SECTION("and skips periods missed during a pause") {
      Timers.advance(Begin + 500ms);
      REQUIRE(Calls == 2);
    }

    SECTION("until the subscription is cancelled") {
      Held.cancel();
      Timers.advance(Begin + 500ms);
      REQUIRE(Calls == 1);
    }
  }

  SECTION("once at a given time") {
    auto Held = Timers.once(Begin + 5ms, Count);
    REQUIRE(Timers.nextDue() == Begin + 5ms);
    Timers.advance(Begin + 6ms);
    Timers.advance(Begin + 60ms);
    REQUIRE(Calls == 1);
  }

  SECTION("and a callback may cancel its own subscription") {
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
