#include "Routing/RetryBudget.h"
#include "Routing/TargetChooser.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>

using namespace anvil;

namespace {

/// Engines of two data centres with what this VM knows of them.
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
  PrefixMemory Prefixes_{100};
  RequestContext Request_;
  std::set<std::string> Excluded_;
  TimePoint Now_{};
};

} // namespace

TEST_CASE("a ranking of targets") {
  rc::prop("is bounded, has no leaving or excluded target, and is empty only "
           "when nothing is left",
           [](std::uint64_t Seed) {
             std::mt19937_64 Random(Seed);
             Fleet Known;
             std::set<std::string> Usable;
             for (std::uint64_t Index = 0, End = Random() % 30; Index < End;
                  ++Index) {
               std::string Name = "t" + std::to_string(Index);
               bool Leaving = Random() % 4 == 0;
               Known.add(Name, Random() % 2 ? "near" : "far", Leaving);
               TargetReport Report = Known.report(Name);
               Report.Reachable_ = Random() % 4 != 0;
               Report.Running_ = static_cast<std::int64_t>(Random() % 60);
               if (Random() % 2)
                 Report.Resident_.insert("a@1");
               Known.Directory_.update(Report);
               if (Random() % 5 == 0)
                 Known.Excluded_.insert(Name);
               else if (!Leaving)
                 Usable.insert(Name);
               for (int Failure = 0; Random() % 2 && Failure < 5; ++Failure)
                 Known.Ejector_.noteFailure(Name, "g", 30, Known.Now_);
             }
             auto Ranked = Known.rank(Random());
             RC_ASSERT(Ranked.empty() == Usable.empty());
             RC_ASSERT(Ranked.size() <= ChooserOptions().MostCandidates_);
             std::set<std::string> Seen;
             for (const std::string &Name : Ranked) {
               RC_ASSERT(Usable.count(Name) == 1);
               RC_ASSERT(Seen.insert(Name).second);
             }
           });

  Fleet Known;
  for (std::string Name : {"n1", "n2", "n3", "n4"})
    Known.add(Name, "near");
  Known.add("f1", "far");
  SECTION("begins where the adapter is resident") {
    TargetReport Report = Known.report("n3");
    Report.Resident_.insert("a@1");
    Report.Running_ = 6;
    Known.Directory_.update(Report);
    REQUIRE(Known.rank().front() == "n3");
    SECTION("unless that target is overloaded") {
      Report.Running_ = 40;
      Known.Directory_.update(Report);
      REQUIRE(Known.rank().front() != "n3");
    }
    SECTION("unless it does not answer, which comes last of its data centre") {
      Report.Reachable_ = false;
      Known.Directory_.update(Report);
      REQUIRE(Known.rank().back() == "n3");
    }
  }
  SECTION("sends every VM's cold adapter to the same target") {
    auto First = Known.rank(1).front();
    for (std::uint64_t Random : {2, 3, 4, 5})
      REQUIRE(Known.rank(Random).front() == First);
  }
  SECTION("goes to another data centre only when this one can't") {
    REQUIRE(Known.rank().front().front() == 'n');
    for (std::string Name : {"n1", "n2", "n3", "n4"}) {
      TargetReport Report = Known.report(Name);
      Report.Running_ = 100;
      Known.Directory_.update(Report);
    }
    REQUIRE(Known.rank().front() == "f1");
  }
  SECTION("uses an adapter far away rather than load it here again") {
    TargetReport Report = Known.report("f1");
    Report.Resident_.insert("a@1");
    Known.Directory_.update(Report);
    REQUIRE(Known.rank().front() == "f1");
    SECTION("unless it is resident here as well") {
      TargetReport Near = Known.report("n3");
      Near.Resident_.insert("a@1");
      Known.Directory_.update(Near);
      REQUIRE(Known.rank().front() == "n3");
    }
  }
  SECTION("counts what was sent since the report") {
    for (std::string Name : {"n1", "n2", "n3", "n4"}) {
      TargetReport Report = Known.report(Name);
      Report.Resident_.insert("a@1");
      Known.Directory_.update(Report);
    }
    Known.Request_.PrefixHash_ = 7;
    Known.Prefixes_.note(TargetChooser::prefixKey(Known.Request_), "n2");
    REQUIRE(Known.rank(5).front() == "n2");
    for (int Sent = 1; Sent <= 8; ++Sent)
      Known.Load_.began("n2", TimePoint(Duration(Sent)));
    REQUIRE(Known.rank(5).front() != "n2");
    SECTION("and forgets it when it has ended") {
      for (int Sent = 1; Sent <= 8; ++Sent)
        Known.Load_.ended("n2", TimePoint(Duration(Sent)),
                          TimePoint(Duration(20)));
      REQUIRE(Known.rank(5).front() == "n2");
    }
  }
}

TEST_CASE("ejection") {
  rc::prop("never takes more than its share, and time brings a probe",
           [](std::uint64_t Seed) {
             std::mt19937_64 Random(Seed);
             EjectionOptions Options;
             OutlierEjector Ejector(Options);
             std::size_t Size = 1 + Random() % 10;
             TimePoint Now{};
             for (int Step = 0; Step < 300; ++Step) {
               Now += std::chrono::milliseconds(Random() % 500);
               std::string Name = "t" + std::to_string(Random() % Size);
               Ejector.noteBegan(Name, Now);
               if (Random() % 8 == 0)
                 Ejector.noteSuccess(Name);
               else
                 Ejector.noteFailure(Name, "g", Size, Now);
               RC_ASSERT(static_cast<double>(Ejector.ejected("g")) <=
                         static_cast<double>(Size) * Options.MostShare_);
             }
             Now += Options.MostTime_;
             for (std::size_t Index = 0; Index < Size; ++Index)
               RC_ASSERT(Ejector.state("t" + std::to_string(Index), Now) !=
                         EjectionState::Ejected);
           });

  SECTION("of a target that fails") {
    OutlierEjector Ejector({});
    TimePoint Now{};
    for (int Failure = 0; Failure < 5; ++Failure)
      Ejector.noteFailure("t", "g", 4, Now);
    REQUIRE(Ejector.state("t", Now) == EjectionState::Ejected);
    SECTION("ends in a probe by one request") {
      Now += EjectionOptions().LeastTime_;
      REQUIRE(Ejector.state("t", Now) == EjectionState::MayProbe);
      Ejector.noteBegan("t", Now);
      REQUIRE(Ejector.state("t", Now) == EjectionState::Ejected);
      SECTION("which brings it back") {
        Ejector.noteSuccess("t");
        REQUIRE(Ejector.state("t", Now) == EjectionState::Serving);
      }
      SECTION("or ejects it for longer") {
        Ejector.noteFailure("t", "g", 4, Now);
        Now += EjectionOptions().LeastTime_;
        REQUIRE(Ejector.state("t", Now) == EjectionState::Ejected);
        Now += EjectionOptions().LeastTime_;
        REQUIRE(Ejector.state("t", Now) == EjectionState::MayProbe);
      }
    }
  }
}

TEST_CASE("the retry budget") {
  rc::prop("of all VMs together is never exceeded", [](std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    RetryBudgetOptions Options;
    std::size_t Vms = 1 + Random() % 5;
    std::vector<RetryBudget> Budgets(Vms, RetryBudget(Options));
    for (RetryBudget &Each : Budgets)
      Each.setVms(static_cast<double>(Vms));
    double Requests = 0;
    double Retries = 0;
    TimePoint Now{};
    for (int Step = 0; Step < 500; ++Step) {
      Now += std::chrono::milliseconds(Random() % 20);
      RetryBudget &Chosen = Budgets[Random() % Vms];
      if (Random() % 3 == 0) {
        Chosen.noteRequest();
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
