// Many clients ask for one adapter, so that requests wait at the engine for
// some seconds. The entry VM that gives the engine its orders is removed for
// good, and a new one comes at another address. Then a new version of the
// adapter is named. The program looks for requests that begin on the old
// version when the bound is over.

#include "../common/LlmEngine.h"

using namespace review;

/// The rule's bound, and how long after the removal the new VM comes.
static constexpr double VersionSeconds = 5;
static constexpr double ReplacedAfter = 2;

static constexpr double LoadSeconds = 32;
static constexpr double RemovedAt = 11;
static constexpr double NamedAt = 12;
static constexpr int Vms = 3;
static constexpr int Clients = 150;

static const std::string Host = "briefs.example";
static const std::string Key = "key-of-the-tenant";
static const std::string Adapter = "a1";

/// What began on which version, and who sent it on.
struct Outcome {
  std::mutex Mutex_;
  double NamedAt_ = 1e9;
  int RemovedVm_ = -1;
  std::map<std::string, double> SentAt_;
  int Late_ = 0;
  double Latest_ = 0;
  int Begun_ = 0;
  std::map<int, int> Answers_;
};

static std::string idOf(int Client, int Count) {
  char Id[32];
  std::snprintf(Id, sizeof(Id), "c%03d%08d", Client, Count);
  return Id;
}

static int vmOf(const std::string &Id) {
  return std::stoi(Id.substr(1, 3)) % Vms;
}

static void runClient(int Number, const EntryVm &Vm, double Until, Record &Log,
                      Outcome &Seen) {
  Channel Link;
  for (int Count = 0; now() < Until; ++Count) {
    if (!Link.isOpen() && !Link.open(Vm.address(), Vm.callerPort())) {
      sleepFor(0.1);
      continue;
    }
    std::string Id = idOf(Number, Count);
    Request Sent{"POST",
                 "/route-brief/2f",
                 {{"Host", Host},
                  {"X-Request-Id", Id},
                  {"X-Model", "daka/" + Adapter},
                  {"X-Token-Counts", "826,288"},
                  {"X-Prompt-Prefix", "5c1e07a2:198," + Id + ":628"},
                  {"X-Request-Deadline", "12000"},
                  {"Authorization", "Token " + Key}},
                 "brief " + Id};
    {
      std::lock_guard Lock(Seen.Mutex_);
      Seen.SentAt_[Id] = now();
    }
    Response Got;
    if (Link.send(requestBytes(Sent)))
      Got = Link.readResponse(now() + 12.5);
    Log.line("client gets " + std::to_string(Got.Status_) + " for " + Id);
    {
      std::lock_guard Lock(Seen.Mutex_);
      ++Seen.Answers_[Got.Status_];
    }
    if (!Got.Whole_ || Got.header("Connection") == "close")
      Link.close();
    std::string Wait = Got.header("Retry-After");
    sleepFor(Wait.empty() ? 0.1 : std::min(1.0, std::atof(Wait.c_str())));
  }
}

/// Records a request that begins, and whether it is too late for its version.
static void begin(const Request &Asked, int Version, Record &Log,
                  Outcome &Seen) {
  std::string Id = Asked.header("X-Request-Id");
  std::lock_guard Lock(Seen.Mutex_);
  ++Seen.Begun_;
  double Since = now() - Seen.NamedAt_;
  bool IsLate =
      Version < 2 && Since > VersionSeconds && vmOf(Id) != Seen.RemovedVm_;
  char Line[200];
  std::snprintf(Line, sizeof(Line),
                "%s begins on version %d, %.3f s after version 2 was "
                "confirmed; its client sent it %.3f s after that",
                Id.c_str(), Version, Since, Seen.SentAt_[Id] - Seen.NamedAt_);
  if (Since > 0)
    Log.line((IsLate ? "VERSION: " : "") + std::string(Line));
  if (!IsLate)
    return;
  ++Seen.Late_;
  Seen.Latest_ = Since;
}

static int judge(Record &Log, Outcome &Seen) {
  std::lock_guard Lock(Seen.Mutex_);
  char Totals[200];
  std::snprintf(Totals, sizeof(Totals),
                "%d of %d requests began on the old version too late, the last "
                "%.3f s after the confirmation; answers",
                Seen.Late_, Seen.Begun_, Seen.Latest_);
  std::string Line = Totals;
  for (const auto &[Status, Count] : Seen.Answers_)
    Line += " " + std::to_string(Status) + ": " + std::to_string(Count);
  Log.line(Line);
  std::printf("%s\n", Line.c_str());
  if (Seen.Answers_[200] == 0)
    return 2;
  return Seen.Late_ > 0 ? 1 : 0;
}

static int run(const TemporaryDirectory &Directory) {
  // The threads of the stand-ins use these until the process ends.
  auto &Log = *new Record("review/4/record.txt");
  auto &Seen = *new Outcome;
  auto &Platform = *new Store;
  auto &Weights = *new WeightStore;
  Platform.listen(ownAddress(1));
  LlmEngineOptions Size{"i-a1", "brief-writer", "tx-central-a", "daka", 32, 96,
                        21,     {Adapter}};
  Platform.put("op", "config",
               config(json::array({streamRoute("route-brief", Host,
                                               Size.Service_, 12000, 800)}),
                      json::array({llmService(Size.Service_, Size)}),
                      json::array({tenant("commuters", Key, 400000, 400000)})));
  auto &Engine = *new LlmEngine(Size, Weights, Platform, Log);
  Engine.OnBegin_ = [&](const Request &Asked, int Version) {
    begin(Asked, Version, Log, Seen);
  };
  Engine.Length_ = [](const Request &) { return std::pair(40, 0.05); };
  std::vector<std::unique_ptr<EntryVm>> Entries;
  for (int Index = 0; Index < Vms; ++Index)
    Entries.push_back(std::make_unique<EntryVm>(
        Directory.path(), "front-tx-central-a-" + std::to_string(Index + 1),
        11 + Index, "tx-central-a", Platform.endpoint()));
  bool AreReady = eventually(15, [&] {
    return std::ranges::all_of(Entries,
                               [](const auto &Vm) { return Vm->isReady(); });
  });
  std::string Owner;
  bool IsOwned = AreReady && eventually(15, [&] {
                   Owner = unbase64(Platform.value("anvil", "owner/i-a1"));
                   return !Owner.empty();
                 });
  if (!IsOwned) {
    Log.line("the entry VMs don't get ready");
    return 2;
  }
  Log.line("the engine's owner: " + Owner);
  double From = now();
  std::vector<std::thread> Threads;
  for (int Number = 0; Number < Clients; ++Number)
    Threads.emplace_back([&, Number] {
      runClient(Number, *Entries[static_cast<std::size_t>(Number % Vms)],
                From + LoadSeconds, Log, Seen);
    });
  sleepFor(From + RemovedAt - now());
  for (int Index = 0; isTroubled() && Index < Vms; ++Index) {
    EntryVm &Vm = *Entries[static_cast<std::size_t>(Index)];
    if (Owner.find("@" + Vm.address() + "\"") == std::string::npos)
      continue;
    {
      std::lock_guard Lock(Seen.Mutex_);
      Seen.RemovedVm_ = Index;
    }
    Vm.kill();
    Log.line("the owner's machine is removed for good");
  }
  sleepFor(From + NamedAt - now());
  Engine.setNewest(Adapter, 2);
  Platform.put("op", "version/daka." + Adapter,
               {{"Model", "daka"}, {"Adapter", Adapter}, {"Version", 2}});
  {
    std::lock_guard Lock(Seen.Mutex_);
    Seen.NamedAt_ = now();
  }
  Log.line("version 2 is confirmed");
  sleepFor(From + RemovedAt + ReplacedAfter - now());
  std::unique_ptr<EntryVm> Replacing;
  if (isTroubled()) {
    Replacing =
        std::make_unique<EntryVm>(Directory.path(), "front-tx-central-a-9", 31,
                                  "tx-central-a", Platform.endpoint());
    Log.line("a new machine comes at another address");
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  for (int Index = 0; Index < Vms; ++Index)
    if (Index != Seen.RemovedVm_ &&
        Entries[static_cast<std::size_t>(Index)]->hasEnded())
      return 2;
  return judge(Log, Seen);
}

int main() {
  startTime();
  int Status = 2;
  {
    TemporaryDirectory Directory;
    Status = run(Directory);
  }
  std::fflush(stdout);
  std::_Exit(Status);
}
