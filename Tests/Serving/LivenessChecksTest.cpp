#include "Entry/LivenessChecks.h"
#include "Http/Pause.h"
#include "Http/Spawn.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>
#include <vector>

using namespace anvil;

namespace asio = boost::asio;

static constexpr Duration CloseTime = std::chrono::milliseconds(3);

/// A target whose process may end at any time.
class PlayedTarget {
public:
  PlayedTarget() : Checks_(hooks()) {}

  /// Begins to look for a sign of life, as after the end of a connection.
  void look(std::optional<LifeSign> &Found, bool IsRelayed = false,
            std::int64_t Incarnation = 1) {
    EndedConnection Ended{
        {"engine-1", Incarnation, {}}, true, IsRelayed, "r", CloseTime};
    spawn(Loop_.get_executor(), store(Found, std::move(Ended)));
  }

  /// Runs what is due until nothing is left.
  void run() {
    Loop_.restart();
    Loop_.run();
  }

  /// Runs what is due within a time.
  void runFor(Duration Time) {
    Loop_.restart();
    Loop_.run_for(Time);
  }

  bool HasConnection_ = false;
  bool IsAlive_ = true;
  /// How long it takes to answer.
  Duration AnswerTime_ = std::chrono::milliseconds(20);
  int Questions_ = 0;
  /// When it loses its open connection, if it does.
  std::optional<TimePoint> LosesConnectionAt_;

private:
  LivenessChecks::Hooks hooks() {
    LivenessChecks::Hooks Hooks;
    Hooks.HasOpenConnection_ = [this](const TargetAddress &, TimePoint) {
      return HasConnection_ &&
             (!LosesConnectionAt_ || BootClock::now() < *LosesConnectionAt_);
    };
    Hooks.Ask_ = [this](EndedConnection) { return answer(); };
    return Hooks;
  }

  asio::awaitable<bool> answer() {
    ++Questions_;
    bool IsAlive = IsAlive_;
    co_await pauseFor(AnswerTime_);
    co_return IsAlive;
  }

  asio::awaitable<void> store(std::optional<LifeSign> &Found,
                              EndedConnection Ended) {
    LifeSign Sign = co_await Checks_.findSign(std::move(Ended));
    Found = Sign;
  }

  asio::io_context Loop_{1};
  LivenessChecks Checks_;
};

// Guards against ORDER: the end of a target's process is taken for the end of
// its answer.
TEST_CASE("the end of a connection is confirmed by what outlives it",
          "[liveness]") {
  PlayedTarget Target;
  std::optional<LifeSign> First;

  SECTION("a connection that stays open is a sign without a question") {
    Target.HasConnection_ = true;
    Target.IsAlive_ = false;
    Target.look(First);
    Target.run();
    CHECK(First == LifeSign::OpenConnection);
    CHECK(Target.Questions_ == 0);
    SECTION("but not through another VM, which may have ended as well") {
      Target.look(First, true);
      Target.run();
      CHECK(First == LifeSign::None);
      CHECK(Target.Questions_ == 1);
    }
  }
  SECTION("a connection that closes a moment later is none") {
    Target.HasConnection_ = true;
    Target.IsAlive_ = false;
    Target.LosesConnectionAt_ = BootClock::now() + CloseTime / 2;
    Target.look(First);
    Target.run();
    CHECK(First == LifeSign::None);
  }
  SECTION("without one the target is asked at once") {
    Target.look(First);
    Target.run();
    CHECK(First == LifeSign::Answer);
    CHECK(Target.Questions_ == 1);
  }
  SECTION("all ends at the death of a target share its question") {
    Target.IsAlive_ = false;
    std::vector<std::optional<LifeSign>> Found(50);
    for (auto &Each : Found)
      Target.look(Each);
    Target.run();
    for (const auto &Each : Found)
      CHECK(Each == LifeSign::None);
    CHECK(Target.Questions_ == 1);
  }
  SECTION("an answer to an earlier question says nothing of a later end") {
    Target.look(First);
    Target.runFor(std::chrono::milliseconds(5));
    REQUIRE_FALSE(First);
    Target.IsAlive_ = false;
    std::optional<LifeSign> Second;
    Target.look(Second);
    Target.run();
    CHECK(First == LifeSign::Answer);
    CHECK(Second == LifeSign::None);
    CHECK(Target.Questions_ == 2);
  }
  SECTION("other incarnations have questions of their own") {
    Target.look(First);
    std::optional<LifeSign> Second;
    Target.look(Second, false, 2);
    Target.run();
    CHECK(Second == LifeSign::Answer);
    CHECK(Target.Questions_ == 2);
  }
}
