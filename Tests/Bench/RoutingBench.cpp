#include "Ledger/ClaimSession.h"
#include "Routing/TargetChooser.h"

#include <benchmark/benchmark.h>

using namespace anvil;

/// A snapshot of engines of one pool, all in this data centre.
static ConfigSnapshot makeEngines(std::int64_t Count) {
  ConfigSnapshot Snapshot;
  for (std::int64_t Number = 0; Number < Count; ++Number) {
    Target Added;
    Added.Name_ = "engine-" + std::to_string(Number);
    Added.DataCentre_ = "near";
    Added.BaseModel_ = "m";
    Snapshot.Objects_.put(Added);
  }
  return Snapshot;
}

static void indexTargets(benchmark::State &State) {
  ConfigSnapshot Snapshot = makeEngines(State.range(0));
  for (auto Step : State)
    benchmark::DoNotOptimize(TargetIndex(Snapshot));
}
BENCHMARK(indexTargets)->Arg(21)->Arg(263)->Arg(7100);

static void rankTargets(benchmark::State &State) {
  ConfigSnapshot Snapshot = makeEngines(State.range(0));
  TargetIndex Index(Snapshot);
  TargetDirectory Directory;
  for (const auto &[Name, Known] : Snapshot.Objects_.all<Target>()) {
    TargetReport Report;
    Report.Target_ = Name;
    Report.Resident_ = {"a@1", "b@1", "c@1", "d@1"};
    Directory.update(Report);
  }
  RequestContext Request;
  Request.Pool_ = "default";
  Request.BaseModel_ = "m";
  Request.Adapter_ = {State.range(1) ? "a" : "cold", "1"};
  Request.PrefixHash_ = 7;
  TargetLoad Load(Duration(0));
  OutlierEjector Ejector({});
  PrefixCache Prefixes(1000);
  TargetChooser Chooser("near", {});
  std::set<std::string> Excluded;
  std::uint64_t Random = 1;
  for (auto Step : State) {
    ChoiceInputs Inputs{*Index.find(Request),
                        Excluded,
                        Directory,
                        Load,
                        Ejector,
                        Prefixes,
                        false,
                        Random,
                        TimePoint{}};
    benchmark::DoNotOptimize(Chooser.rank(Request, Inputs));
    Random = Random * 6364136223846793005U + 1442695040888963407U;
  }
}
BENCHMARK(rankTargets)
    ->ArgNames({"targets", "resident"})
    ->ArgsProduct({{21, 263}, {0, 1}});

static void claimAndRecord(benchmark::State &State) {
  ClaimRegistry Registry;
  GroupCommitter Group({});
  ClaimRequest Claim{"claim/c/k", "d", "vm", "life", "r", 1};
  TimePoint Now{};
  for (auto Step : State) {
    ClaimSession Session(Registry, Claim);
    auto First = Session.begin();
    auto Id = Group.add(std::get<WriteClaim>(First).Change_, Now);
    Now += std::chrono::milliseconds(3);
    auto Batch = Group.takeBatch(Now);
    auto Ended = Group.completeBatch(Batch->Id_,
                                     {CommitResult::Committed, 1, {}, ""}, Now);
    benchmark::DoNotOptimize(Id);
    Session.onWriteCompleted(Ended.front());
    ClaimRow End;
    Registry.recordOutcome(Claim.Row_, End, encodeClaim(End));
    Registry.markRecorded(Claim.Row_);
  }
}
BENCHMARK(claimAndRecord);
