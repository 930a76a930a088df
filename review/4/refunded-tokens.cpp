// A tenant sends several times its allowance. For some seconds it names rare
// adapters, for which the engine has no room: they wait in the entry VM until
// they are refused, seconds later. Meanwhile it has gone back to adapters that
// the engine holds. The program adds up the tokens of its requests that ran, in
// each window of the rule.

#include "../common/LlmEngine.h"

#include <random>

using namespace review;

/// The tenant's allowance in tokens per second and its burst, and the rule's
/// bounds.
static constexpr double RatePerS = 20000;
static constexpr double Burst = 20000;
static constexpr double QuotaWindowS = 8;
static constexpr double QuotaOverage = 0.1;
static constexpr double QuotaSlack = 17000;

/// The allowance is 1.8 times what the tenant usually sends; a hot tenant sends
/// 7.5 times its usual.
static constexpr double QuotaShare = 1.8;
static constexpr double HotFactor = 7.5;

/// How long the tenant is hot, and for how long from there on it asks for rare
/// models.
static constexpr double HotSeconds = 16;
static constexpr double RareSeconds = 5;

static constexpr int PromptTokens = 1460;
static constexpr int OutputTokens = 80;
static constexpr double Tokens = PromptTokens + OutputTokens;

/// The time budget of each request, and the route's timeout.
static constexpr int BudgetMs = 15000;

static constexpr int HeldAdapters = 6;
static const std::string Host = "desk.example";
static const std::string HotKey = "key-of-the-hot-tenant";
static const std::string CalmKey = "key-of-the-calm-tenant";

/// A request of the hot tenant: when it was sent and when it began to run.
struct Passage {
  double SentAt_ = 0;
  double RanAt_ = -1;
  int Status_ = 0;
};

struct Outcome {
  std::mutex Mutex_;
  std::map<std::string, Passage> Hot_;
  std::map<int, int> Answers_;
  int CalmServed_ = 0;
};

static Request requestOf(const std::string &Id, const std::string &Adapter,
                         const std::string &Key, int Output) {
  return {"POST",
          "/clause-explain/2f",
          {{"Host", Host},
           {"X-Request-Id", Id},
           {"X-Model", "daka/" + Adapter},
           {"X-Token-Counts",
            std::to_string(PromptTokens) + "," + std::to_string(Output)},
           {"X-Prompt-Prefix", "5c1e07a2:350," + Id + ":1110"},
           {"X-Request-Deadline", std::to_string(BudgetMs)},
           {"Authorization", "Token " + Key}},
          "explain " + Id};
}

/// Keeps one adapter in use: one stream after the other by the calm tenant.
static void runCalm(int Number, const EntryVm &Vm, double Until,
                    Outcome &Seen) {
  Channel Link;
  for (int Count = 0; now() < Until; ++Count) {
    if (!Link.isOpen() && !Link.open(Vm.address(), Vm.callerPort())) {
      sleepFor(0.1);
      continue;
    }
    std::string Id =
        "ca" + std::to_string(Number) + "x" + std::to_string(Count);
    std::string Adapter = "a" + std::to_string(1 + Number % HeldAdapters);
    Response Got;
    if (Link.send(requestBytes(requestOf(Id, Adapter, CalmKey, 300))))
      Got = Link.readResponse(now() + 16);
    if (!Got.Whole_ || Got.header("Connection") == "close")
      Link.close();
    if (Got.Status_ != 200)
      sleepFor(0.2);
    std::lock_guard Lock(Seen.Mutex_);
    Seen.CalmServed_ += Got.Status_ == 200 ? 1 : 0;
  }
}

/// Sends one request of the hot tenant on a channel of its own.
static void sendHot(const std::string &Id, const std::string &Adapter,
                    const EntryVm &Vm, Record &Log, Outcome &Seen) {
  Channel Link;
  Response Got;
  if (Link.open(Vm.address(), Vm.callerPort())) {
    {
      std::lock_guard Lock(Seen.Mutex_);
      Seen.Hot_[Id].SentAt_ = now();
    }
    if (Link.send(requestBytes(requestOf(Id, Adapter, HotKey, OutputTokens))))
      Got = Link.readResponse(now() + BudgetMs / 1000.0 + 1);
  }
  Log.line("hot client gets " + std::to_string(Got.Status_) + " for " + Id +
           " (" + Adapter + ")");
  std::lock_guard Lock(Seen.Mutex_);
  Seen.Hot_[Id].Status_ = Got.Status_;
  ++Seen.Answers_[Got.Status_];
}

/// Sends the hot tenant's requests at an even rate.
static void runHot(const std::vector<std::unique_ptr<EntryVm>> &Vms,
                   Record &Log, Outcome &Seen) {
  std::mt19937 Random(7);
  double Step = Tokens / (RatePerS / QuotaShare * HotFactor);
  double From = now();
  std::vector<std::thread> Threads;
  for (int Count = 0; Count * Step < HotSeconds; ++Count) {
    sleepFor(From + Count * Step - now());
    bool IsRare = isTroubled() && Count * Step < RareSeconds;
    std::string Adapter =
        "a" + std::to_string(IsRare ? 100 + Count : 1 + Count % HeldAdapters);
    const EntryVm &Vm = *Vms[static_cast<std::size_t>(Count) % Vms.size()];
    Threads.emplace_back([&, Adapter, Count] {
      sendHot("hot" + std::to_string(Count), Adapter, Vm, Log, Seen);
    });
  }
  for (std::thread &Thread : Threads)
    Thread.join();
}

/// Compares each window of the rule with the allowance.
static int judge(Record &Log, Outcome &Seen) {
  std::lock_guard Lock(Seen.Mutex_);
  double Allowed =
      (RatePerS * QuotaWindowS + Burst) * (1 + QuotaOverage) + QuotaSlack;
  double Most = 0;
  double MostAt = 0;
  for (const auto &[Id, First] : Seen.Hot_) {
    double Sum = 0;
    for (const auto &[Other, Item] : Seen.Hot_)
      if (Item.RanAt_ >= 0 && Item.SentAt_ >= First.SentAt_ &&
          Item.RanAt_ <= First.SentAt_ + QuotaWindowS)
        Sum += Tokens;
    if (Sum > Most) {
      Most = Sum;
      MostAt = First.SentAt_;
    }
  }
  char Totals[256];
  std::snprintf(Totals, sizeof(Totals),
                "in the %.0f s from %.3f s on, %.0f tokens of the tenant were "
                "sent and ran; allowed are %.0f; streams of the other tenant "
                "%d; answers",
                QuotaWindowS, MostAt, Most, Allowed, Seen.CalmServed_);
  std::string Line = Totals;
  for (const auto &[Status, Count] : Seen.Answers_)
    Line += " " + std::to_string(Status) + ": " + std::to_string(Count);
  Log.line((Most > Allowed ? "QUOTA: " : "") + Line);
  std::printf("%s\n", Line.c_str());
  if (Most == 0 || Seen.CalmServed_ == 0)
    return 2;
  return Most > Allowed ? 1 : 0;
}

static int run(const TemporaryDirectory &Directory) {
  // The threads of the stand-ins use these until the process ends.
  auto &Log = *new Record("review/4/record.txt");
  auto &Seen = *new Outcome;
  auto &Platform = *new Store;
  auto &Weights = *new WeightStore;
  Platform.listen(ownAddress(1));
  LlmEngineOptions Size{"i-a1", "drafting-models", "kochi-a", "daka", 64,
                        192,    HeldAdapters,      {}};
  for (int Adapter = 1; Adapter <= HeldAdapters; ++Adapter)
    Size.Held_.insert("a" + std::to_string(Adapter));
  Platform.put("op", "config",
               config(json::array({streamRoute("clause-explain", Host,
                                               Size.Service_, BudgetMs, 800)}),
                      json::array({llmService(Size.Service_, Size)}),
                      json::array({tenant("hot", HotKey, RatePerS, Burst),
                                   tenant("calm", CalmKey, 120767, 120767)})));
  auto &Engine = *new LlmEngine(Size, Weights, Platform, Log);
  Engine.OnRun_ = [&Seen](const Request &Asked) {
    std::lock_guard Lock(Seen.Mutex_);
    auto Found = Seen.Hot_.find(Asked.header("X-Request-Id"));
    if (Found != Seen.Hot_.end())
      Found->second.RanAt_ = now();
  };
  Engine.Length_ = [](const Request &Asked) {
    bool IsCalm = Asked.header("X-Request-Id").starts_with("ca");
    return IsCalm ? std::pair(60, 0.05) : std::pair(6, 0.05);
  };
  std::vector<std::unique_ptr<EntryVm>> Vms;
  for (int Index = 0; Index < 2; ++Index)
    Vms.push_back(std::make_unique<EntryVm>(
        Directory.path(), "front-kochi-a-" + std::to_string(Index + 1),
        11 + Index, "kochi-a", Platform.endpoint()));
  bool AreReady = eventually(15, [&] {
    return std::ranges::all_of(Vms,
                               [](const auto &Vm) { return Vm->isReady(); });
  });
  if (!AreReady) {
    Log.line("the entry VMs don't get ready");
    return 2;
  }
  sleepFor(3);
  double CalmUntil = now() + 5 + HotSeconds;
  std::vector<std::thread> Calm;
  for (int Number = 0; Number < 3 * HeldAdapters; ++Number)
    Calm.emplace_back([&, Number] {
      runCalm(Number, *Vms[static_cast<std::size_t>(Number) % Vms.size()],
              CalmUntil, Seen);
    });
  // The engine's owner is settled and the tenant's bucket is full by then.
  sleepFor(5);
  Log.line("the tenant gets hot");
  runHot(Vms, Log, Seen);
  for (std::thread &Thread : Calm)
    Thread.join();
  for (const auto &Vm : Vms)
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
