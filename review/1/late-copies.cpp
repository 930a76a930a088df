// Streams that may not be repeated ask for rare adapters. An engine that hasn't
// got the adapter yet turns the request away, and it comes again a moment
// later. Three of the five engines also send second copies of a few of its
// answers, late: each at the point where the next answer on its channel is
// expected. The program counts how often each request ran.

#include "../common/LlmEngine.h"

#include <random>

using namespace review;

/// The number of faulty engines, of five; the share of their answers of which
/// they send a second copy; the length of each spell and the time from one to
/// the next.
static constexpr std::size_t FaultyEngines = 3;
static constexpr double CopiedShare = 0.03;
static constexpr double SpellSeconds = 5;
static constexpr double SpellPeriod = 6;

static constexpr double LoadSeconds = 80;
static constexpr int Vms = 8;
static constexpr int Clients = 40;
static constexpr int RareAdapters = 3000;

static const std::string Host = "briefs.example";
static const std::string Key = "key-of-the-tenant";

/// What the engines have run and the clients have got.
struct Outcome {
  std::mutex Mutex_;
  std::map<std::string, int> Runs_;
  std::map<std::string, int> Statuses_;
  std::map<int, int> Answers_;
  int Copies_ = 0;
  int CopiesAtOwnId_ = 0;
  double SpellsFrom_ = 1e9;
  int SpellAnswers_ = 0;
  int SpellCopies_ = 0;

  bool inSpell() const {
    double Since = now() - SpellsFrom_;
    return Since >= 0 &&
           Since - SpellPeriod * static_cast<int>(Since / SpellPeriod) <
               SpellSeconds;
  }

  /// Counts an answer of the faulty engines. Whether a second copy of it
  /// follows: of refusals, as far as the share of all answers allows.
  bool takeCopy(bool IsRefusal) {
    std::lock_guard Lock(Mutex_);
    if (!inSpell())
      return false;
    ++SpellAnswers_;
    if (!IsRefusal || SpellCopies_ + 1 > CopiedShare * SpellAnswers_)
      return false;
    ++SpellCopies_;
    return true;
  }
};

/// A client that sends one request after the other on a kept channel. After a
/// refusal it comes back when the refusal says, as a new attempt.
static void runClient(int Number, const EntryVm &Vm, double Until, Record &Log,
                      Outcome &Seen) {
  std::mt19937 Random(static_cast<unsigned>(Number));
  Channel Link;
  for (int Count = 0; now() < Until; ++Count) {
    if (!Link.isOpen() && !Link.open(Vm.address(), Vm.callerPort())) {
      sleepFor(0.1);
      continue;
    }
    char Id[32];
    std::snprintf(Id, sizeof(Id), "c%02d%08d", Number, Count);
    int Adapter = std::uniform_int_distribution<int>(1, RareAdapters)(Random);
    Request Sent{
        "POST",
        "/route-brief/2f",
        {{"Host", Host},
         {"X-Request-Id", Id},
         {"X-Model", "daka/a" + std::to_string(Adapter)},
         {"X-Token-Counts", "826,48"},
         {"X-Prompt-Prefix", "5c1e07a2:198," + std::string(Id) + ":628"},
         {"X-Request-Deadline", "12000"},
         {"Authorization", "Token " + Key}},
        std::string("brief ") + Id};
    Log.line("client sends " + std::string(Id));
    Response Got;
    if (Link.send(requestBytes(Sent)))
      Got = Link.readResponse(now() + 12.5);
    Log.line("client gets " + std::to_string(Got.Status_) +
             (Got.Whole_ ? "" : ", cut,") + " for " + Id);
    {
      std::lock_guard Lock(Seen.Mutex_);
      Seen.Statuses_[Id] = Got.Status_;
      ++Seen.Answers_[Got.Status_];
    }
    if (!Got.Whole_ || Got.header("Connection") == "close")
      Link.close();
    std::string Wait = Got.header("Retry-After");
    sleepFor(Wait.empty() ? std::uniform_real_distribution(0.05, 0.3)(Random)
                          : std::min(1.0, std::atof(Wait.c_str())));
  }
}

/// Counts the broken rules and writes them to the record.
static int judge(Record &Log, Outcome &Seen) {
  std::lock_guard Lock(Seen.Mutex_);
  int Twice = 0;
  int Refused = 0;
  for (const auto &[Id, Count] : Seen.Runs_) {
    int Status = Seen.Statuses_[Id];
    if (Count > 1) {
      ++Twice;
      Log.line("TWICE: " + Id + " ran " + std::to_string(Count) +
               " times; its client got " + std::to_string(Status));
    }
    if (Status == 503 || Status == 429) {
      ++Refused;
      Log.line("REFUSED: " + Id + " ran; its client got " +
               std::to_string(Status));
    }
  }
  std::string Totals = "late copies " + std::to_string(Seen.Copies_) +
                       " among " + std::to_string(Seen.SpellAnswers_) +
                       " answers, of them as the same request came again " +
                       std::to_string(Seen.CopiesAtOwnId_) +
                       "; requests run twice " + std::to_string(Twice) +
                       ", refused though run " + std::to_string(Refused) +
                       "; answers";
  for (const auto &[Status, Count] : Seen.Answers_)
    Totals += " " + std::to_string(Status) + ": " + std::to_string(Count);
  Log.line(Totals);
  std::printf("%s\n", Totals.c_str());
  if (Seen.Answers_[200] == 0)
    return 2;
  return Twice > 0 || Refused > 0 ? 1 : 0;
}

static int run(const TemporaryDirectory &Directory) {
  // The threads of the stand-ins use these until the process ends.
  auto &Log = *new Record("review/1/record.txt");
  auto &Seen = *new Outcome;
  auto &Platform = *new Store;
  auto &Weights = *new WeightStore;
  Weights.AtOnce_ = 8;
  Platform.listen(ownAddress(1));
  LlmEngineOptions Size{"", "brief-writer", "tx-central-a", "daka", 32, 96, 21,
                        {}};
  Platform.put("op", "config",
               config(json::array({streamRoute("route-brief", Host,
                                               Size.Service_, 12000, 800)}),
                      json::array({llmService(Size.Service_, Size)}),
                      json::array({tenant("commuters", Key, 120767, 120767)})));
  std::vector<LlmEngine *> Engines;
  for (const char *Id : {"i-a1", "i-b2", "i-c3", "i-d4", "i-e5"}) {
    Size.Id_ = Id;
    auto *Engine = new LlmEngine(Size, Weights, Platform, Log);
    Engine->OnRun_ = [&Seen](const Request &Asked) {
      std::lock_guard Lock(Seen.Mutex_);
      ++Seen.Runs_[Asked.header("X-Request-Id")];
    };
    Engines.push_back(Engine);
  }
  for (std::size_t Index = 0; Index < FaultyEngines; ++Index) {
    LlmEngine &Faulty = *Engines[Index];
    Faulty.IsCopied_ = [&Seen](const Request &, int Status) {
      return Seen.takeCopy(Status != 200);
    };
    Faulty.OnCopy_ = [&](const std::string &Id, const Request &Next) {
      std::string NextId = Next.header("X-Request-Id");
      Log.line(Faulty.id() + " sends a second copy of its refusal of " + Id +
               " late, as " + NextId + " arrives");
      std::lock_guard Lock(Seen.Mutex_);
      ++Seen.Copies_;
      Seen.CopiesAtOwnId_ += Id == NextId ? 1 : 0;
    };
  }
  std::vector<std::unique_ptr<EntryVm>> Entries;
  for (int Index = 0; Index < Vms; ++Index)
    Entries.push_back(std::make_unique<EntryVm>(
        Directory.path(), "front-tx-central-a-" + std::to_string(Index + 1),
        11 + Index, "tx-central-a", Platform.endpoint()));
  bool AreReady = eventually(15, [&] {
    return std::ranges::all_of(Entries,
                               [](const auto &Vm) { return Vm->isReady(); });
  });
  if (!AreReady) {
    Log.line("the entry VMs don't get ready");
    return 2;
  }
  sleepFor(4);
  if (isTroubled())
    Seen.SpellsFrom_ = now() + 4;
  double Until = now() + LoadSeconds;
  std::vector<std::thread> Threads;
  for (int Number = 0; Number < Clients; ++Number)
    Threads.emplace_back([&, Number] {
      runClient(Number, *Entries[static_cast<std::size_t>(Number % Vms)], Until,
                Log, Seen);
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  sleepFor(1);
  for (const auto &Vm : Entries)
    if (Vm->hasEnded())
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
