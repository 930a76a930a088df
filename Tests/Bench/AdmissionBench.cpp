#include "Admission/KeyLookup.h"
#include "Bench/BenchSet.h"
#include "Gateway/RequestAdmission.h"

#include <benchmark/benchmark.h>

using namespace anvil;

static SnapshotPtr makeSnapshot(const BenchSize &Size) {
  return std::make_shared<const ConfigSnapshot>(makeBenchSet(Size));
}

static void findKey(benchmark::State &State) {
  KeyLookup Keys;
  Keys.adopt(makeSnapshot({3000, 21, State.range(0)}));
  std::string Secret = benchSecret(State.range(0) / 2);
  for (auto Step : State)
    benchmark::DoNotOptimize(Keys.find(Secret));
}
BENCHMARK(findKey)->Arg(5)->Arg(5000);

static void adoptKeys(benchmark::State &State) {
  SnapshotPtr Snapshot = makeSnapshot({3000, 21, State.range(0)});
  KeyLookup Keys;
  for (auto Step : State)
    Keys.adopt(Snapshot);
}
BENCHMARK(adoptKeys)->Arg(5)->Arg(5000);

static void admitCompletion(benchmark::State &State) {
  auto Current = std::make_shared<ConfigState>();
  Current->accept(makeSnapshot({State.range(0), 21, 5}));
  RequestAdmission Admission(Current);
  HttpRequest Request{
      "POST",
      "/v1/completions",
      {{"Authorization", "Bearer " + benchSecret(1)}},
      R"({"model":"adapter-7","prompt":"Lanes?","max_tokens":64,"stream":true})"};
  for (auto Step : State)
    benchmark::DoNotOptimize(Admission.admit(Request, "id", TimePoint{}));
}
BENCHMARK(admitCompletion)->Arg(3000)->Arg(45000);
