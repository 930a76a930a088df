#include "Routing/RetryBudget.h"
#include "Routing/TargetChooser.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>

using namespace anvil;

namespace {

/// Engines of two data centres, and the state that this VM knows of them.
struct Fleet {
  Fleet() { Request_.Adapter_ = {"a", "1"}; }

  void add(const std::string &Name, const std::string &DataCentre,
           bool Leaving = false) {
    Target Added;
    Added.Name_ = Name;
    Added.DataCentre_ = DataCentre;
    Added.BaseModel_ = "m";
    Added.Leaving_ = Leaving;
    Snapshot_.Objects_.put(Added);
    TargetReport Report;
    Report.Target_ = Name;
    Directory_.update(Report);
  }

  TargetReport report(const std::string &Name) {
    return *Directory_.find(Name);
  }

  std::vector<std::string> rank(std::uint64_t Random = 0) {
    Request_.BaseModel_ = "m";
    Request_.Pool_ = "default";
    TargetIndex Index(Snapshot_);
    const TargetGroup *Group = Index.find(Request_);
    if (!Group)
      return {};
    ChoiceInputs Inputs{*Group,    Excluded_, Directory_, Load_, Ejector_,
                        Prefixes_, false,     Random,     Now_};
    return TargetChooser("near", ChooserOptions()).rank(Request_, Inputs);
  }

  ConfigSnapshot Snapshot_;
  TargetDirectory Directory_;
  TargetLoad Load_{Duration(0)};
  OutlierEjector Ejector_{{}};
  PrefixCache Prefixes_{100};
  RequestContext Request_;
  std::set<std::string> Excluded_;
  TimePoint Now_{};
};

} // namespace

TEST_CASE("a ranking of targets") {
  rc::prop("is bounded, contains no leaving or excluded target, and is empty "
           "only when no target is usable",
           [](std::uint64_t Seed) {
             std::mt19937_64 Random(Seed);
             Fleet Engines;
             std::set<std::string> Usable;
             for (std::uint64_t Index = 0, End = Random() % 30; Index < End;
                  ++Index) {
               std::string Name = "t" + std::to_string(Index);
               bool Leaving = Random() % 4 == 0;
               Engines.add(Name, Random() % 2 ? "near" : "far", Leaving);
               TargetReport Report = Engines.report(Name);
               Report.Reachable_ = Random() % 4 != 0;
               Report.Running_ = static_cast<std::int64_t>(Random() % 60);
               if (Random() % 2)
                 Report.Resident_.insert("a@1");
               Engines.Directory_.update(Report);
               if (Random() % 5 == 0)
                 Engines.Excluded_.insert(Name);
               else if (!Leaving)
                 Usable.insert(Name);
               for (int Failure = 0; Random() % 2 && Failure < 5; ++Failure)
                 Engines.Ejector_.recordFailure(Name, "g", 30, Engines.Now_);
             }
             auto Ranked = Engines.rank(Random());
             RC_ASSERT(Ranked.empty() == Usable.empty());
             RC_ASSERT(Ranked.size() <= ChooserOptions().MaxCandidates_);
             std::set<std::string> Seen;
             for (const std::string &Name : Ranked) {
               RC_ASSERT(Usable.count(Name) == 1);
               RC_ASSERT(Seen.insert(Name).second);
             }
           });

  Fleet Engines;
  for (std::string Name : {"n1", "n2", "n3", "n4"})
    Engines.add(Name, "near");
  Engines.add("f1", "far");
  SECTION("starts with the target where the adapter is resident") {
    TargetReport Report = Engines.report("n3");
    Report.Resident_.insert("a@1");
    Report.Running_ = 6;
    Engines.Directory_.update(Report);
    REQUIRE(Engines.rank().front() == "n3");
    SECTION("unless that target is overloaded") {
      Report.Running_ = 40;
      Engines.Directory_.update(Report);
      REQUIRE(Engines.rank().front() != "n3");
    }
    SECTION(
        "unless it is unreachable, which ranks it last in its data centre") {
      Report.Reachable_ = false;
      Engines.Directory_.update(Report);
      REQUIRE(Engines.rank().back() == "n3");
    }
  }
  SECTION("sends a cold adapter to the same target from every VM") {
    auto First = Engines.rank(1).front();
    for (std::uint64_t Random : {2, 3, 4, 5})
      REQUIRE(Engines.rank(Random).front() == First);
  }
  SECTION("uses a remote data centre only when the own one is overloaded") {
    REQUIRE(Engines.rank().front().front() == 'n');
    for (std::string Name : {"n1", "n2", "n3", "n4"}) {
      TargetReport Report = Engines.report(Name);
      Report.Running_ = 100;
      Engines.Directory_.update(Report);
    }
    REQUIRE(Engines.rank().front() == "f1");
  }
  SECTION("prefers a remote target with the adapter to loading it locally") {
    TargetReport Report = Engines.report("f1");
    Report.Resident_.insert("a@1");
    Engines.Directory_.update(Report);
    REQUIRE(Engines.rank().front() == "f1");
    SECTION("unless it is also resident locally") {
      TargetReport Local = Engines.report("n3");
      Local.Resident_.insert("a@1");
      Engines.Directory_.update(Local);
      REQUIRE(Engines.rank().front() == "n3");
    }
  }
  SECTION("counts requests sent since the report") {
    for (std::string Name : {"n1", "n2", "n3", "n4"}) {
      TargetReport Report = Engines.report(Name);
      Report.Resident_.insert("a@1");
      Engines.Directory_.update(Report);
    }
    Engines.Request_.PrefixHash_ = 7;
    Engines.Prefixes_.record(TargetChooser::prefixKey(Engines.Request_), "n2");
    REQUIRE(Engines.rank(5).front() == "n2");
    for (int Sent = 1; Sent <= 8; ++Sent)
      Engines.Load_.recordStart("n2", TimePoint(Duration(Sent)));
    REQUIRE(Engines.rank(5).front() != "n2");
    SECTION("until they have ended") {
      for (int Sent = 1; Sent <= 8; ++Sent)
        Engines.Load_.recordEnd("n2", TimePoint(Duration(Sent)),
                                TimePoint(Duration(20)));
      REQUIRE(Engines.rank(5).front() == "n2");
    }
  }
}

TEST_CASE("ejection") {
  rc::prop("never exceeds its share of a group and ends in a probe",
           [](std::uint64_t Seed) {
             std::mt19937_64 Random(Seed);
             EjectionOptions Options;
             OutlierEjector Ejector(Options);
             std::size_t Size = 1 + Random() % 10;
             TimePoint Now{};
             for (int Step = 0; Step < 300; ++Step) {
               Now += std::chrono::milliseconds(Random() % 500);
               std::string Name = "t" + std::to_string(Random() % Size);
               Ejector.recordStart(Name, Now);
               if (Random() % 8 == 0)
                 Ejector.recordSuccess(Name);
               else
                 Ejector.recordFailure(Name, "g", Size, Now);
               RC_ASSERT(static_cast<double>(Ejector.ejected("g")) <=
                         static_cast<double>(Size) * Options.MaxEjectedShare_);
             }
             Now += Options.MaxEjectionTime_;
             for (std::size_t Index = 0; Index < Size; ++Index)
               RC_ASSERT(Ejector.state("t" + std::to_string(Index), Now) !=
                         EjectionState::Ejected);
           });

  SECTION("of a target that fails") {
    OutlierEjector Ejector({});
    TimePoint Now{};
    for (int Failure = 0; Failure < 5; ++Failure)
      Ejector.recordFailure("t", "g", 4, Now);
    REQUIRE(Ejector.state("t", Now) == EjectionState::Ejected);
    SECTION("ends in a probe by one request") {
      Now += EjectionOptions().MinEjectionTime_;
      REQUIRE(Ejector.state("t", Now) == EjectionState::MayProbe);
      Ejector.recordStart("t", Now);
      REQUIRE(Ejector.state("t", Now) == EjectionState::Ejected);
      SECTION("whose success ends the ejection") {
        Ejector.recordSuccess("t");
        REQUIRE(Ejector.state("t", Now) == EjectionState::Serving);
      }
      SECTION("whose failure ejects it for longer") {
        Ejector.recordFailure("t", "g", 4, Now);
        Now += EjectionOptions().MinEjectionTime_;
        REQUIRE(Ejector.state("t", Now) == EjectionState::Ejected);
        Now += EjectionOptions().MinEjectionTime_;
        REQUIRE(Ejector.state("t", Now) == EjectionState::MayProbe);
      }
    }
  }
}

TEST_CASE("the retry budget") {
  rc::prop("is never exceeded by all VMs together", [](std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    RetryBudgetOptions Options;
    std::size_t Vms = 1 + Random() % 5;
    std::vector<RetryBudget> Budgets(Vms, RetryBudget(Options));
    for (RetryBudget &Each : Budgets)
      Each.setVmCount(static_cast<double>(Vms));
    double Requests = 0;
    double Retries = 0;
    TimePoint Now{};
    for (int Step = 0; Step < 500; ++Step) {
      Now += std::chrono::milliseconds(Random() % 20);
      RetryBudget &Chosen = Budgets[Random() % Vms];
      if (Random() % 3 == 0) {
        Chosen.recordRequest();
        ++Requests;
      }
      Retries += Chosen.take(Now);
      double Allowed =
          Options.Ratio_ * Requests +
          Options.FloorPerSecond_ * toSeconds(Now.time_since_epoch()) +
          Options.Burst_ * static_cast<double>(Vms);
      RC_ASSERT(Retries <= Allowed + 1e-6);
    }
  });
}
