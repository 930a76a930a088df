// The entry VM that gives an engine its orders is cut off from the store and
// from the engine. While its lease still runs it sends one more order, which
// the link holds. Another VM takes the engine over. Then the cut heals, and the
// sender's TCP sends again what it holds. The program looks for orders with a
// lower fencing token after a higher one.

#include "../common/LlmEngine.h"

#include <dirent.h>

#include <random>

using namespace review;

/// The length of the cut, as on the site's sheet, and the rule's allowance
/// after it.
static constexpr double CutSeconds = 12;
static constexpr double ThawSeconds = 0.3;

/// When TCP sends unanswered bytes again: the first time after this, and each
/// time after twice the pause before.
static constexpr double FirstResendSeconds = 0.2;

/// At the start of the cut the owner's last renewal is no older than this, and
/// the other VM has read it at least this long ago.
static constexpr double MaxRenewalAge = 2.8;
static constexpr double MinSeenAge = 0.5;

/// When the last cut may begin at the latest. A second one follows if the first
/// has broken no rule.
static constexpr double LastCutBefore = 78;
static constexpr int MaxCuts = 2;
static constexpr double SecondsAfterCut = 6;
static constexpr int Clients = 6;

/// The engine's places for adapters. All are in use by streams most of the
/// time, so that the owner orders every few seconds.
static constexpr int Places = 2;

static const std::string Host = "briefs.example";
static const std::string Key = "key-of-the-tenant";

/// The state of the cut, and the orders as they arrive.
struct Outcome {
  std::mutex Mutex_;
  std::atomic<int> Owner_ = -1;
  std::atomic<bool> IsArmed_ = false;
  std::atomic<double> CutFrom_ = 1e9;
  double RenewedAt_ = -1;
  /// When the other VM first read that renewal; negative before.
  double SeenAt_ = -1;
  std::map<std::string, int> Orders_;
  std::uint64_t HighestFence_ = 0;
  std::string HighestHolder_;
  std::atomic<int> Stale_ = 0;
  int Served_ = 0;

  /// Whether the cut begins now: the last renewal has the wanted age, and the
  /// other VM has read it.
  bool takesCut() {
    std::lock_guard Lock(Mutex_);
    double Age = now() - RenewedAt_;
    bool IsDue = IsArmed_ && SeenAt_ >= 0 && now() - SeenAt_ > MinSeenAge &&
                 Age < MaxRenewalAge;
    if (IsDue)
      IsArmed_ = false;
    return IsDue;
  }

  double healsAt() const { return CutFrom_ + CutSeconds; }
  bool isCut(int Machine) const {
    return Machine == Owner_ && now() >= CutFrom_ && now() < healsAt();
  }
};

/// Whether a process of this run has the socket with this inode.
static bool hasSocket(pid_t Process, const std::string &Inode) {
  std::string Folder = "/proc/" + std::to_string(Process) + "/fd";
  DIR *Files = ::opendir(Folder.c_str());
  bool IsFound = false;
  while (Files && !IsFound) {
    dirent *File = ::readdir(Files);
    if (!File)
      break;
    char Target[128] = {};
    ssize_t Size = ::readlink((Folder + "/" + File->d_name).c_str(), Target,
                              sizeof(Target) - 1);
    IsFound = Size > 0 && "socket:[" + Inode + "]" == Target;
  }
  if (Files)
    ::closedir(Files);
  return IsFound;
}

/// The links between the VMs and the engine. The link of a machine that is cut
/// off holds what was sent on open channels, and lets no new channel through.
class EngineLink {
public:
  EngineLink(Record &Log, Outcome &Seen) : Log_(Log), Seen_(Seen) {
    Server_.listen(ownAddress(2), [this](Channel &Caller) { serve(Caller); });
  }

  std::string endpoint() const { return Server_.endpoint(); }

  void connect(int EnginePort, std::vector<pid_t> Machines) {
    std::lock_guard Lock(Mutex_);
    EnginePort_ = EnginePort;
    Machines_ = std::move(Machines);
  }

private:
  /// The machine at the other end of a channel.
  int machineOf(const Channel &Caller) {
    sockaddr_in Peer{};
    socklen_t Size = sizeof(Peer);
    ::getpeername(Caller.descriptor(), reinterpret_cast<sockaddr *>(&Peer),
                  &Size);
    char Local[32];
    std::snprintf(Local, sizeof(Local), "%08X:%04X", Peer.sin_addr.s_addr,
                  ntohs(Peer.sin_port));
    std::ifstream Table("/proc/net/tcp");
    std::string Line;
    std::string Inode;
    while (std::getline(Table, Line)) {
      if (Line.find(Local) == std::string::npos)
        continue;
      std::istringstream Fields(Line);
      std::vector<std::string> Words;
      for (std::string Word; Fields >> Word;)
        Words.push_back(Word);
      if (Words.size() > 9 && Words[1] == Local)
        Inode = Words[9];
    }
    std::lock_guard Lock(Mutex_);
    for (std::size_t Index = 0; Index < Machines_.size(); ++Index)
      if (!Inode.empty() && hasSocket(Machines_[Index], Inode))
        return static_cast<int>(Index);
    return -1;
  }

  void serve(Channel &Caller) {
    int Machine = machineOf(Caller);
    Channel Engine;
    // The opening packet of a new channel gets lost.
    if (Seen_.isCut(Machine)) {
      while (Caller.fill(now() + 60)) {
      }
      return;
    }
    if (!Engine.open(ownAddress(1), EnginePort_))
      return;
    std::thread Back([&] { forwardBack(Machine, Engine, Caller); });
    while (true) {
      bool IsOpen = Caller.fill(now() + 120);
      std::string Bytes = Caller.takeBuffer();
      bool IsOrder = Bytes.find("/api/order") != std::string::npos;
      double SentAt = now();
      if (Seen_.isCut(Machine)) {
        if (IsOrder)
          Log_.line("the link holds an order of the owner");
        holdBack(SentAt);
        if (IsOrder)
          Log_.line("the owner's TCP sends the order again, " +
                    std::to_string(now() - Seen_.healsAt()) +
                    " s after the end of the cut");
      }
      if (!Bytes.empty() && !Engine.send(Bytes))
        break;
      if (!IsOpen)
        break;
    }
    ::shutdown(Engine.descriptor(), SHUT_RDWR);
    Back.join();
  }

  /// Waits until the first time after the cut at which TCP sends again what it
  /// sent first at `SentAt`.
  void holdBack(double SentAt) const {
    double Pause = FirstResendSeconds;
    double At = SentAt + Pause;
    while (At < Seen_.healsAt()) {
      Pause *= 2;
      At += Pause;
    }
    sleepFor(At - now());
  }

  void forwardBack(int Machine, Channel &Engine, Channel &Caller) const {
    while (Engine.fill(now() + 120)) {
      std::string Bytes = Engine.takeBuffer();
      if (Seen_.isCut(Machine))
        continue;
      if (!Caller.send(Bytes))
        break;
    }
    ::shutdown(Caller.descriptor(), SHUT_RDWR);
  }

  Record &Log_;
  Outcome &Seen_;
  Server Server_;
  std::mutex Mutex_;
  std::atomic<int> EnginePort_ = 0;
  std::vector<pid_t> Machines_;
};

/// A client that asks for one rare adapter after the other.
static void runClient(int Number, const EntryVm &Vm,
                      const std::atomic<bool> &IsOver, Outcome &Seen) {
  std::mt19937 Random(static_cast<unsigned>(Number));
  Channel Link;
  for (int Count = 0; !IsOver; ++Count) {
    if (!Link.isOpen() && !Link.open(Vm.address(), Vm.callerPort())) {
      sleepFor(0.1);
      continue;
    }
    std::string Id = "c" + std::to_string(Number) + "x" + std::to_string(Count);
    int Adapter = std::uniform_int_distribution(1, 3000)(Random);
    Request Sent{"POST",
                 "/route-brief/2f",
                 {{"Host", Host},
                  {"X-Request-Id", Id},
                  {"X-Model", "daka/a" + std::to_string(Adapter)},
                  {"X-Token-Counts", "826,48"},
                  {"X-Prompt-Prefix", "5c1e07a2:198," + Id + ":628"},
                  {"X-Request-Deadline", "12000"},
                  {"Authorization", "Token " + Key}},
                 "brief " + Id};
    Response Got;
    if (Link.send(requestBytes(Sent)))
      Got = Link.readResponse(now() + 13);
    if (!Got.Whole_ || Got.header("Connection") == "close")
      Link.close();
    {
      std::lock_guard Lock(Seen.Mutex_);
      Seen.Served_ += Got.Status_ == 200 ? 1 : 0;
    }
    sleepFor(0.1);
  }
}

/// Records an order as it arrives at the engine.
static void recordOrder(const json &Body, Record &Log, Outcome &Seen) {
  std::string Holder = Body.value("Holder", "");
  auto Fence = Body.value("Fence", std::uint64_t{0});
  std::lock_guard Lock(Seen.Mutex_);
  ++Seen.Orders_[Holder];
  bool IsStale = Fence < Seen.HighestFence_ && Holder != Seen.HighestHolder_;
  bool IsExcused =
      now() >= Seen.CutFrom_ && now() <= Seen.healsAt() + ThawSeconds;
  if (IsStale)
    Log.line(std::string(IsExcused ? "excused: " : "ONE: ") + "an order of " +
             Holder + " with fencing token " + std::to_string(Fence) +
             " arrives after one of " + Seen.HighestHolder_ + " with " +
             std::to_string(Seen.HighestFence_) + ": " + Body.dump());
  Seen.Stale_ += IsStale && !IsExcused ? 1 : 0;
  if (Fence <= Seen.HighestFence_)
    return;
  Seen.HighestFence_ = Fence;
  Seen.HighestHolder_ = Holder;
  Log.line("first order of " + Holder + " with fencing token " +
           std::to_string(Fence));
}

/// Follows the calls to the store: when the owner renewed its row, and whether
/// the other VM has read that. Whether the call reaches the store.
static bool reachesStore(int Machine, const Request &Asked, Outcome &Seen) {
  if (Seen.isCut(Machine))
    return false;
  std::lock_guard Lock(Seen.Mutex_);
  if (Machine == Seen.Owner_ && Asked.path() == "/api/rows-tx") {
    Seen.RenewedAt_ = now();
    Seen.SeenAt_ = -1;
  }
  if (Machine >= 0 && Machine != Seen.Owner_ &&
      Asked.path() == "/api/rows-get" && Asked.query("Table") == "anvil" &&
      Seen.SeenAt_ < 0)
    Seen.SeenAt_ = now();
  return true;
}

static int judge(Record &Log, Outcome &Seen) {
  std::lock_guard Lock(Seen.Mutex_);
  std::string Totals = std::to_string(Seen.Stale_.load()) +
                       " orders with a lower fencing token after a higher one; "
                       "requests served " +
                       std::to_string(Seen.Served_) + "; orders";
  for (const auto &[Holder, Count] : Seen.Orders_)
    Totals += " " + Holder + ": " + std::to_string(Count);
  Log.line(Totals);
  std::printf("%s\n", Totals.c_str());
  if (Seen.Served_ == 0)
    return 2;
  return Seen.Stale_ > 0 ? 1 : 0;
}

static int run(const TemporaryDirectory &Directory) {
  // The threads of the stand-ins use these until the process ends.
  auto &Log = *new Record("review/2/record.txt");
  auto &Seen = *new Outcome;
  auto &Platform = *new Store;
  auto &Weights = *new WeightStore;
  auto &Link = *new EngineLink(Log, Seen);
  Platform.Reaches_ = [&Seen](int Machine, const Request &Asked) {
    return reachesStore(Machine, Asked, Seen);
  };
  LlmEngineOptions Size{
      "i-m1", "brief-writer", "tx-central-a", "daka", 32, 96, Places,
      {},     Link.endpoint()};
  Platform.put("op", "config",
               config(json::array({streamRoute("route-brief", Host,
                                               Size.Service_, 12000, 800)}),
                      json::array({llmService(Size.Service_, Size)}),
                      json::array({tenant("commuters", Key, 120767, 120767)})));
  auto &Engine = *new LlmEngine(Size, Weights, Platform, Log);
  Engine.Length_ = [](const Request &) { return std::pair(80, 0.05); };
  Engine.OnOrder_ = [&](const json &Body) { recordOrder(Body, Log, Seen); };
  std::vector<std::unique_ptr<EntryVm>> Entries;
  std::vector<pid_t> Processes;
  for (int Index = 0; Index < 2; ++Index) {
    Entries.push_back(std::make_unique<EntryVm>(
        Directory.path(), "front-tx-central-a-" + std::to_string(Index + 1),
        11 + Index, "tx-central-a", Platform.listenFor(Index, ownAddress(1))));
    Processes.push_back(Entries.back()->process());
  }
  Link.connect(Engine.port(), Processes);
  bool AreReady = eventually(
      15, [&] { return Entries[0]->isReady() && Entries[1]->isReady(); });
  bool IsOwned = AreReady && eventually(15, [&] {
                   return !Platform.value("anvil", "owner/i-m1").empty();
                 });
  if (!IsOwned) {
    Log.line("the entry VMs don't get ready");
    return 2;
  }
  // Sets the machine that a cut is for.
  auto FindOwner = [&] {
    std::string Owner = unbase64(Platform.value("anvil", "owner/i-m1"));
    Log.line("the engine's owner: " + Owner);
    std::lock_guard Lock(Seen.Mutex_);
    Seen.CutFrom_ = 1e9;
    Seen.SeenAt_ = -1;
    bool IsFirst =
        Owner.find("@" + Entries[0]->address() + "\"") != std::string::npos;
    Seen.Owner_ = IsFirst ? 0 : 1;
  };
  FindOwner();
  // The clients reach the VM that isn't cut off.
  int FirstOwner = Seen.Owner_;
  std::atomic<bool> IsOver = false;
  std::vector<std::thread> Threads;
  for (int Number = 0; Number < Clients; ++Number)
    Threads.emplace_back([&, Number] {
      runClient(Number, *Entries[static_cast<std::size_t>(1 - FirstOwner)],
                IsOver, Seen);
    });
  sleepFor(8);
  bool IsDone = !isTroubled();
  for (int Cut = 0; isTroubled() && Cut < MaxCuts && Seen.Stale_ == 0; ++Cut) {
    if (Cut > 0)
      FindOwner();
    Seen.IsArmed_ = true;
    if (!eventually(LastCutBefore - now(), [&] { return Seen.takesCut(); }))
      break;
    Seen.CutFrom_ = now();
    Log.line("the owner is cut off from the store and the engine");
    IsDone = true;
    sleepFor(CutSeconds + SecondsAfterCut);
  }
  if (!isTroubled())
    sleepFor(CutSeconds + SecondsAfterCut);
  Seen.IsArmed_ = false;
  IsOver = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  if (!IsDone || Entries[0]->hasEnded() || Entries[1]->hasEnded())
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
