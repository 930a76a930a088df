// Guards against ORDER: a stream holds events of two software versions, since a
// VM that was out of step, or an engine's entry, shows an earlier state.

#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>
#include <thread>

using namespace anvil;

static const std::string Path = "/stream/resumable/x";

/// What `EntryFleet` writes for targets that haven't restarted.
static constexpr std::int64_t FirstStart = 1700000000000;

static void sleepFor(Millis Time) { std::this_thread::sleep_for(Time); }

/// Two VMs, and two engines that name their software version in each event.
class ReleasedEngines {
public:
  ReleasedEngines() : ReleasedEngines(EntryFleetPlan{}) {}
  explicit ReleasedEngines(EntryFleetPlan Plan) : System_(Plan) {
    for (const char *Engine : {"engine-1", "engine-2"}) {
      start(Engine, "v1");
      list(Engine);
    }
    for (const char *Vm : {"vm-1", "vm-2"})
      settle(Vm);
  }

  EntryFleet &system() { return System_; }

  /// Starts an engine again; its entry is still the earlier one.
  void start(const std::string &Engine, const std::string &Version) {
    System_.replaceSoftware(Engine, Version, ++Starts_[Engine] + FirstStart);
  }

  /// Writes an engine's entry as it is now.
  void list(const std::string &Engine, const std::string &State = "ready") {
    System_.writeTargetEntry(Engine, State, Starts_[Engine] + FirstStart);
  }

  CallerReply
  call(const std::string &Vm, const std::string &Id,
       std::vector<std::pair<std::string, std::string>> Headers = {}) {
    Headers.emplace_back("X-Model", "base");
    Headers.emplace_back("X-Request-Id", Id);
    return System_.call(Vm, Path, std::move(Headers));
  }

  /// Sends requests until the VM serves and has earned the retries of a test.
  void settle(const std::string &Vm) {
    int Served = 0;
    REQUIRE(eventually(
        [&] {
          Served += call(Vm, "settle-" + Vm).Complete_ ? 1 : 0;
          return Served >= 25;
        },
        Millis(20000)));
  }

  /// Begins a stream whose connection breaks after its third event. Returns
  /// the version that began it, or nothing if it was refused.
  std::string begin(const std::string &Vm, const std::string &Id) {
    CallerConnection Caller(System_.callerPort(Vm));
    Caller.send(
        System_.request(Path, {{"X-Model", "base"}, {"X-Request-Id", Id}}));
    if (!Caller.readUntil("word 3", Millis(5000)))
      return "";
    auto Versions = versionsOf(Caller.partialReply());
    REQUIRE(Versions.size() == 1);
    return *Versions.begin();
  }

  /// Takes up a stream after its third event, and checks that it goes on at the
  /// version that began it or is refused. Returns whether it goes on.
  bool takeUp(const std::string &Vm, const std::string &Id,
              const std::string &Began) {
    std::string Again = Id + "-again-" + std::to_string(++TakeUps_);
    CallerReply Rest =
        call(Vm, Again, {{"Last-Event-Id", "3"}, {"Resumes", Id}});
    INFO(Id << " began at " << Began << ", status " << Rest.Status_ << "\n"
            << System_.explain(Again));
    bool IsDefinite = Rest.Status_ == 503 || Rest.Status_ == 200;
    CHECK(IsDefinite);
    auto Versions = versionsOf(Rest);
    CHECK(Versions.size() == (Rest.Status_ == 200 ? 1 : 0));
    if (!Versions.empty())
      CHECK(*Versions.begin() == Began);
    return Rest.Status_ == 200;
  }

  /// The software versions that a reply's events name.
  static std::set<std::string> versionsOf(const CallerReply &Reply) {
    std::set<std::string> Versions;
    const std::string Mark = " of ";
    for (auto At = Reply.Body_.find(Mark); At != std::string::npos;
         At = Reply.Body_.find(Mark, At + 1)) {
      auto Begin = At + Mark.size();
      Versions.insert(
          Reply.Body_.substr(Begin, Reply.Body_.find('\n', Begin) - Begin));
    }
    return Versions;
  }

private:
  EntryFleet System_;
  std::map<std::string, std::int64_t> Starts_;
  int TakeUps_ = 0;
};

TEST_CASE("a stream beside engines that start again at another version",
          "[out-of-step]") {
  ReleasedEngines Engines;
  Engines.system().writeTargetEntry("engine-2", "draining", FirstStart + 1);
  sleepFor(Millis(800));
  std::string Began = Engines.begin("vm-1", "one");
  REQUIRE(Began == "v1");

  SECTION("goes on at none of them, at the VM that began it") {
    Engines.start("engine-1", "v2");
    CHECK_FALSE(Engines.takeUp("vm-1", "one", Began));
  }
  SECTION("nor at another VM") {
    Engines.start("engine-1", "v2");
    CHECK_FALSE(Engines.takeUp("vm-2", "one", Began));
  }
  SECTION("nor at a VM that can't read its entry") {
    CHECK(Engines.takeUp("vm-2", "one", Began));
    Engines.system().setStoreLink("vm-2", "cut");
    Engines.start("engine-1", "v2");
    Engines.list("engine-1");
    CHECK_FALSE(Engines.takeUp("vm-2", "one", Began));
  }
  SECTION("nor inside one answer") {
    Engines.system().control("engine-1", {{"event_ms", 100}});
    CallerConnection Caller(Engines.system().callerPort("vm-1"));
    Caller.send(Engines.system().request(
        Path, {{"X-Model", "base"}, {"X-Request-Id", "two"}}));
    REQUIRE(Caller.readUntil("word 3", Millis(5000)));
    Engines.start("engine-1", "v2");
    CallerReply Reply = Caller.finish(Millis(5000));
    CHECK(ReleasedEngines::versionsOf(Reply) == std::set<std::string>{"v1"});
  }
  SECTION("begins there as what it is") {
    Engines.start("engine-1", "v2");
    std::string Next = Engines.begin("vm-1", "three");
    Engines.list("engine-1");
    Engines.start("engine-2", "v1");
    Engines.list("engine-2");
    sleepFor(Millis(800));
    if (!Next.empty()) {
      Engines.takeUp("vm-1", "three", Next);
      Engines.takeUp("vm-2", "three", Next);
    }
  }
}

TEST_CASE("a stream that is taken up at a VM which was out of step",
          "[out-of-step]") {
  ReleasedEngines Engines;
  EntryFleet &System = Engines.system();
  std::mt19937 Random(51);
  auto Draw = [&](int Limit) { return static_cast<int>(Random() % Limit); };
  // A release forwards and back, the engines in turn.
  const std::vector<std::string> Versions{"v2", "v1", "v2"};
  auto Release = [&](int Round, auto Leave, auto Return) {
    std::string Engine = Round % 2 ? "engine-2" : "engine-1";
    Leave();
    Engines.start(Engine, Versions[static_cast<std::size_t>(Round) % 3]);
    Engines.list(Engine);
    sleepFor(Millis(Draw(600)));
    std::map<std::string, std::string> Began;
    for (int Index = 0; Index < 4; ++Index) {
      std::string Id =
          "out-" + std::to_string(Round) + "-" + std::to_string(Index);
      std::string Version = Engines.begin("vm-1", Id);
      if (!Version.empty())
        Began[Id] = Version;
    }
    Return();
    for (const auto &[Id, Version] : Began) {
      Engines.takeUp("vm-2", Id, Version);
      sleepFor(Millis(Draw(60)));
      Engines.takeUp("vm-2", Id, Version);
    }
  };

  SECTION("standing still") {
    for (int Round = 0; Round < 4; ++Round)
      Release(
          Round, [&] { System.at("vm-2").signal(SIGSTOP); },
          [&] { System.at("vm-2").signal(SIGCONT); });
  }
  SECTION("cut off from the store") {
    for (int Round = 0; Round < 4; ++Round)
      Release(
          Round, [&] { System.setStoreLink("vm-2", "cut"); },
          [&] { System.setStoreLink("vm-2", "pass"); });
  }
  SECTION("restarted") {
    for (int Round = 0; Round < 2; ++Round)
      Release(Round, [] {}, [&] { System.restart("vm-2"); });
  }
  SECTION("beside a store that loses answers and its history") {
    for (int Round = 0; Round < 4; ++Round)
      Release(
          Round, [&] { System.control("store", {{"lose_answers", 2}}); },
          [&] { System.control("store", {{"forget", true}}); });
  }
}
