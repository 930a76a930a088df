#include "Bench/BenchSet.h"
#include "Objects/ChangeSet.h"
#include "Objects/Digest.h"
#include "Objects/ObjectCodec.h"
#include "Objects/ObjectValidator.h"
#include "Objects/SetDigest.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace anvil;

static BenchSize sizeOf(benchmark::State &State) {
  bool IsLarge = State.range(0) > 3000;
  return {State.range(0), IsLarge ? 7100 : 21, IsLarge ? 5000 : 5};
}

static void encodeSnapshotOf(benchmark::State &State) {
  ConfigSnapshot Snapshot = makeBenchSet(sizeOf(State));
  std::size_t Bytes = 0;
  for (auto Step : State)
    Bytes = encodeSnapshot(Snapshot).size();
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(encodeSnapshotOf)
    ->Arg(3000)
    ->Arg(45000)
    ->Unit(benchmark::kMillisecond);

static void decodeSnapshotOf(benchmark::State &State) {
  std::string Text = encodeSnapshot(makeBenchSet(sizeOf(State)));
  for (auto Step : State)
    benchmark::DoNotOptimize(decodeSnapshot(Text));
}
BENCHMARK(decodeSnapshotOf)
    ->Arg(3000)
    ->Arg(45000)
    ->Unit(benchmark::kMillisecond);

static void digestSnapshotOf(benchmark::State &State) {
  std::string Text = encodeSnapshot(makeBenchSet(sizeOf(State)));
  for (auto Step : State)
    benchmark::DoNotOptimize(sha256Hex(Text));
}
BENCHMARK(digestSnapshotOf)
    ->Arg(3000)
    ->Arg(45000)
    ->Unit(benchmark::kMillisecond);

static void validateSetOf(benchmark::State &State) {
  ConfigSnapshot Snapshot = makeBenchSet(sizeOf(State));
  for (auto Step : State)
    benchmark::DoNotOptimize(validateObjects(Snapshot.Objects_));
}
BENCHMARK(validateSetOf)->Arg(3000)->Arg(45000)->Unit(benchmark::kMillisecond);

static void applyOneObject(benchmark::State &State) {
  ConfigSnapshot Snapshot = makeBenchSet(sizeOf(State));
  ChangeSet Change;
  Change.Put_.push_back(DataCentre{"north"});
  for (auto Step : State)
    benchmark::DoNotOptimize(applyChange(Snapshot.Objects_, Change));
}
BENCHMARK(applyOneObject)->Arg(3000)->Arg(45000)->Unit(benchmark::kMillisecond);

static void differenceOfSets(benchmark::State &State) {
  ConfigSnapshot Snapshot = makeBenchSet(sizeOf(State));
  for (auto Step : State)
    benchmark::DoNotOptimize(computeDiff(Snapshot.Objects_, Snapshot.Objects_));
}
BENCHMARK(differenceOfSets)
    ->Arg(3000)
    ->Arg(45000)
    ->Unit(benchmark::kMillisecond);

static void memoryOfSet(benchmark::State &State) {
  double Bytes = 0;
  for (auto Step : State) {
    auto Before = mallinfo2().uordblks;
    ConfigSnapshot Snapshot = makeBenchSet(sizeOf(State));
    Bytes = static_cast<double>(mallinfo2().uordblks - Before);
  }
  State.counters["bytes"] = Bytes;
}
BENCHMARK(memoryOfSet)
    ->Arg(3000)
    ->Arg(45000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

static void followOneObject(benchmark::State &State) {
  ConfigSnapshot Snapshot = makeBenchSet(sizeOf(State));
  ChangeSet Change;
  Change.Put_.push_back(DataCentre{"north"});
  SetDigest Digest = SetDigest::compute(Snapshot.Objects_);
  for (auto Step : State) {
    ObjectSet Next = Snapshot.Objects_;
    Digest.applyDelta(Snapshot.Objects_, Change);
    Next.put(Change.Put_.front());
    benchmark::DoNotOptimize(Next);
  }
}
BENCHMARK(followOneObject)
    ->Arg(3000)
    ->Arg(45000)
    ->Unit(benchmark::kMillisecond);
