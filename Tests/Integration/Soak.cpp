#include "Integration/Soak.h"

#include "Integration/SoakVerdict.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <stdexcept>
#include <thread>

namespace anvil {

/// How long VMs and callers may take after the last event until each VM serves
/// all that is always allowed.
static constexpr Millis SettleTimeout{20000};

/// A stopping VM's time (the default of `bounds.stop_s`) and one second.
static constexpr Duration StopBound = Millis(9000);

static constexpr Millis PollInterval{5};

static EntryFleetPlan planOf(const SoakOptions &Options) {
  EntryFleetPlan Plan;
  Plan.Vms_ = Options.Vms_;
  Plan.VmLimits_ = MachineLimits;
  Plan.OwnCallerAddresses_ = true;
  Plan.FramingSeed_ = Options.Seed_;
  return Plan;
}

/// Replies without end, each in another place of the framing.
static std::vector<EndlessReply> endlessReplies() {
  std::string Piece(64 * 1024, 'x');
  std::string Chunked = "Transfer-Encoding: chunked\r\n";
  return {
      {"X-Long: ", false, "", Piece},
      {Chunked, true, "", std::string(64 * 1024, '0')},
      {Chunked, true, "5;x=", Piece},
      {Chunked, true, "0\r\nX-Long: ", Piece},
      {"Content-Type: text/event-stream\r\n", true, "id: 1\ndata: ", Piece}};
}

Soak::Soak(SoakOptions Options)
    : Options_(std::move(Options)), Plan_(planOf(Options_)),
      Events_(drawSoak(Options_)), Random_(Options_.Seed_), System_(Plan_),
      Endless_(endlessTargetOf(Options_)) {
  for (const std::string &Target : EntryTargets) {
    setPace(Target);
    Incarnations_[Target] = 1700000000000;
  }
  // VMs have the same ports in all their lives.
  for (const std::string &Vm : System_.vms())
    CallerPorts_[Vm] = System_.callerPort(Vm);
  System_.nameVersion("a1", AdapterVersion_);
  writeConfig();
  // Until here VMs may still be at the first configuration.
  eventually([] { return false; }, Millis(2500));
}

std::vector<std::string> Soak::run() {
  Start_ = BootClock::now();
  SoakCallers Callers(System_, Options_);
  std::vector<std::thread> Threads;
  for (const std::string &Vm : System_.vms())
    Threads.emplace_back([this, Vm] { runVm(Vm); });
  // The kernel ends a process with the thread that started it, so that threads
  // last until all processes have been stopped.
  std::latch Changed(1);
  std::latch Ended(1);
  std::thread Changes([&] {
    runChanges();
    Changed.count_down();
    Ended.wait();
  });
  Changed.wait();
  eventually([&] { return CalmVms_ == Options_.Vms_; }, Millis(60000));
  for (const std::string &Vm : System_.vms())
    checkRecovered(Vm);
  // VMs are stopped while callers go on.
  Ending_ = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Callers.stop();
  Ended.count_down();
  Changes.join();
  return judge(Callers.requests());
}

void Soak::checkRecovered(const std::string &Vm) {
  constexpr std::pair<const char *, const char *> Calls[] = {
      {"/safe/x", "base"},
      {"/once/x", "base"},
      {"/stream/x", "base"},
      {"/stream/resumable/x", "base"},
      {"/stream/x", "base/a1"}};
  for (const auto &[Path, Model] : Calls) {
    std::string Id = std::string("after-") + Vm + Path + Model;
    std::ranges::replace(Id, '/', '-');
    CallerReply Reply;
    bool IsServed = eventually(
        [&, Path = Path, Model = Model] {
          Reply = System_.call(Vm, Path,
                               {{"X-Model", Model}, {"X-Request-Id", Id}});
          return Reply.Status_ == 200 && Reply.Complete_;
        },
        SettleTimeout);
    if (!IsServed)
      Timeline_.fail(Vm, "RECOVER: doesn't serve " + Id + ": status " +
                             std::to_string(Reply.Status_) + " " + Reply.Body_);
  }
}

std::vector<SoakEvent> Soak::eventsOf(const std::string &Vm) const {
  std::vector<SoakEvent> Found;
  std::ranges::copy_if(
      Events_, std::back_inserter(Found), [&](const SoakEvent &Event) {
        return Event.Subject_ == Vm && Event.Action_ != SoakAction::CutStore &&
               Event.Action_ != SoakAction::SlowStore &&
               Event.Action_ != SoakAction::HealStore;
      });
  return Found;
}

void Soak::runVm(const std::string &Vm) {
  std::vector<SoakEvent> Left = eventsOf(Vm);
  std::ranges::reverse(Left);
  VmLife Life;
  bool IsCounted = false;
  while (!Ending_) {
    if (!renew(Vm, Life))
      break;
    if (!Left.empty() && BootClock::now() - Start_ >= Left.back().At_) {
      apply(Vm, Left.back(), Life);
      Left.pop_back();
    }
    if (Left.empty() && Life.State_ == VmLife::State::Runs && !IsCounted) {
      IsCounted = true;
      ++CalmVms_;
    }
    Life.PeakMb_ = std::max(Life.PeakMb_, System_.at(Vm).peakMemoryMb());
    std::this_thread::sleep_for(PollInterval);
  }
  if (!IsCounted)
    ++CalmVms_;
  while (!Ending_)
    std::this_thread::sleep_for(PollInterval);
  stopVm(Vm);
  Timeline_.note(Vm, "peak memory " + std::to_string(Life.PeakMb_) + " MB");
}

void Soak::apply(const std::string &Vm, const SoakEvent &Event, VmLife &Life) {
  Process &Current = System_.at(Vm);
  bool IsFrozen = Life.FrozenAt_ != TimePoint();
  switch (Event.Action_) {
  case SoakAction::Terminate:
  case SoakAction::TerminateAndStart:
    Timeline_.begin(Vm, Event.Action_);
    Current.signal(SIGTERM);
    if (Life.State_ == VmLife::State::Runs) {
      Life.State_ = VmLife::State::Stops;
      Life.StoppedAt_ = BootClock::now();
      Life.Frozen_ = Duration(0);
    }
    // The earlier process has been checked and ended, so a new life begins.
    if (Event.Action_ == SoakAction::TerminateAndStart && !IsFrozen &&
        startVm(Vm, true)) {
      Timeline_.end(Vm, {SoakAction::TerminateAndStart});
      double PeakMb = Life.PeakMb_;
      Life = VmLife();
      Life.PeakMb_ = PeakMb;
    }
    break;
  case SoakAction::Kill:
    Timeline_.begin(Vm, Event.Action_);
    Current.signal(SIGKILL);
    Life.State_ = VmLife::State::IsKilled;
    break;
  case SoakAction::Freeze:
    Timeline_.begin(Vm, Event.Action_);
    Current.signal(SIGSTOP);
    Life.FrozenAt_ = BootClock::now();
    break;
  case SoakAction::Thaw:
    Timeline_.note(Vm, nameOf(Event.Action_));
    Current.signal(SIGCONT);
    Timeline_.end(Vm, {SoakAction::Freeze});
    if (IsFrozen)
      Life.Frozen_ += BootClock::now() - Life.FrozenAt_;
    Life.FrozenAt_ = TimePoint();
    break;
  default:
    Timeline_.note(Vm, nameOf(Event.Action_));
    Current.signal(SIGHUP);
    break;
  }
}

void Soak::checkExit(const std::string &Vm, const VmLife &Life, int Status) {
  std::string Description = System_.at(Vm).exitDescription();
  Timeline_.note(Vm, "has ended with " + Description);
  bool IsExpected =
      (Life.State_ == VmLife::State::IsKilled && Status == -SIGKILL) ||
      (Life.State_ != VmLife::State::Runs && Status == 0);
  if (!IsExpected)
    Timeline_.fail(Vm, "FAULT: ended by itself with " + Description);
}

bool Soak::renew(const std::string &Vm, VmLife &Life) {
  bool IsFrozen = Life.FrozenAt_ != TimePoint();
  auto Status = System_.at(Vm).exitStatus(Millis(0));
  if (!Status) {
    if (Life.State_ == VmLife::State::Stops && !IsFrozen &&
        BootClock::now() - Life.StoppedAt_ - Life.Frozen_ > StopBound) {
      Timeline_.fail(Vm, "LOST: still runs 9 s after SIGTERM");
      System_.at(Vm).kill();
      Life.State_ = VmLife::State::IsKilled;
    }
    return true;
  }
  checkExit(Vm, Life, *Status);
  if (!startVm(Vm, false))
    return false;
  Timeline_.end(Vm, {SoakAction::Terminate, SoakAction::Kill,
                     SoakAction::TerminateAndStart, SoakAction::Freeze});
  double PeakMb = Life.PeakMb_;
  Life = VmLife();
  Life.PeakMb_ = PeakMb;
  return true;
}

bool Soak::startVm(const std::string &Vm, bool IsBeside) {
  try {
    std::unique_ptr<Process> Earlier = System_.startBeside(Vm);
    if (IsBeside && Earlier->exitStatus(Millis(10000)) != 0)
      Timeline_.fail(Vm, "FAULT: beside its successor it ends with " +
                             Earlier->exitDescription());
  } catch (const std::runtime_error &Failure) {
    Timeline_.fail(Vm, std::string("FAULT: ") + Failure.what());
    return false;
  }
  Timeline_.note(Vm, "is ready");
  return true;
}

void Soak::stopVm(const std::string &Vm) {
  Process &Last = System_.at(Vm);
  Timeline_.begin(Vm, SoakAction::Terminate);
  Last.signal(SIGCONT);
  Last.signal(SIGTERM);
  if (Last.exitStatus(std::chrono::ceil<Millis>(StopBound)) != 0)
    Timeline_.fail(Vm, "FAULT: at the end it is " + Last.exitDescription());
}

void Soak::runChanges() {
  for (const SoakEvent &Event : Events_) {
    bool IsVms = Event.Subject_.starts_with("vm-") &&
                 Event.Action_ != SoakAction::CutStore &&
                 Event.Action_ != SoakAction::SlowStore &&
                 Event.Action_ != SoakAction::HealStore;
    if (IsVms)
      continue;
    while (BootClock::now() - Start_ < Event.At_)
      std::this_thread::sleep_for(PollInterval);
    if (std::ranges::find(EntryTargets, Event.Subject_) != EntryTargets.end())
      applyToTarget(Event);
    else
      applyChange(Event);
  }
}

void Soak::applyToTarget(const SoakEvent &Event) {
  const std::string &Target = Event.Subject_;
  switch (Event.Action_) {
  case SoakAction::CrashTarget:
    Timeline_.begin(Target, Event.Action_);
    System_.at(Target).kill();
    break;
  case SoakAction::StartTarget:
    System_.restartTarget(Target, ++Incarnations_[Target]);
    Timeline_.end(Target, {SoakAction::CrashTarget});
    Timeline_.note(Target, nameOf(Event.Action_));
    setPace(Target);
    break;
  case SoakAction::DrainTarget:
    System_.writeTargetEntry(Target, "draining", Incarnations_[Target]);
    Timeline_.begin(Target, Event.Action_);
    break;
  case SoakAction::RemoveTarget:
    System_.removeTargetEntry(Target);
    Timeline_.note(Target, nameOf(Event.Action_));
    break;
  default:
    // A target that has left comes back as a new process. The stand-ins break
    // off what they still run.
    Timeline_.begin(Target, SoakAction::CrashTarget);
    System_.at(Target).signal(SIGTERM);
    System_.at(Target).exitStatus(Millis(1000));
    Timeline_.end(Target, {SoakAction::DrainTarget, SoakAction::CrashTarget});
    System_.restartTarget(Target, ++Incarnations_[Target]);
    Timeline_.note(Target, nameOf(Event.Action_));
    setPace(Target);
    break;
  }
}

void Soak::applyChange(const SoakEvent &Event) {
  std::string Faulty = endlessTargetOf(Options_);
  switch (Event.Action_) {
  case SoakAction::ChangeKeys:
    HasSpareKey_ = !HasSpareKey_;
    writeConfig();
    break;
  case SoakAction::ChangeRoutes:
    HasAddedRoute_ = !HasAddedRoute_;
    writeConfig();
    break;
  case SoakAction::NameVersion:
    Timeline_.note("a1", nameOf(Event.Action_));
    System_.nameVersion("a1", ++AdapterVersion_);
    break;
  case SoakAction::CutStore:
    Timeline_.begin(Event.Subject_, Event.Action_);
    System_.setStoreLink(Event.Subject_, "cut");
    break;
  case SoakAction::SlowStore:
    Timeline_.begin(Event.Subject_, Event.Action_);
    System_.setStoreLink(Event.Subject_, "pass", Millis(150));
    break;
  case SoakAction::HealStore:
    System_.setStoreLink(Event.Subject_, "pass");
    Timeline_.end(Event.Subject_,
                  {SoakAction::CutStore, SoakAction::SlowStore});
    Timeline_.note(Event.Subject_, nameOf(Event.Action_));
    break;
  case SoakAction::BeginEndlessTarget: {
    std::vector<EndlessReply> Replies = endlessReplies();
    Endless_.script(Replies[Random_() % Replies.size()]);
    Timeline_.begin(Faulty, Event.Action_);
    System_.registerTarget(Faulty, Endless_.port());
    break;
  }
  case SoakAction::EndEndlessTarget:
    System_.removeTargetEntry(Faulty);
    Timeline_.end(Faulty, {SoakAction::BeginEndlessTarget});
    Timeline_.note(Faulty, nameOf(Event.Action_));
    break;
  default:
    Timeline_.note("callers", nameOf(Event.Action_));
    sendEndlessly();
    break;
  }
}

/// Sends parts of requests without a key, more than a VM may keep, to each VM.
void Soak::sendEndlessly() {
  constexpr int Connections = 10;
  constexpr int Pieces = 16;
  const char *Starts[] = {
      "POST /safe/x HTTP/1.1\r\nHost: anvil\r\nContent-Length: 8000000\r\n\r\n",
      "POST /safe/x HTTP/1.1\r\nHost: anvil\r\nX-Long: "};
  std::string Start = Starts[Random_() % 2];
  std::vector<std::thread> Senders;
  for (const std::string &Vm : System_.vms())
    Senders.emplace_back([this, Vm, Start] {
      std::vector<std::unique_ptr<CallerConnection>> Open;
      for (int Index = 0; Index < Connections; ++Index)
        Open.push_back(std::make_unique<CallerConnection>(
            CallerPorts_.at(Vm), System_.callerAddress(Vm)));
      std::string Piece(256 * 1024, 'x');
      for (auto &Connection : Open)
        Connection->sendRaw(Start);
      for (int Index = 0; Index < Pieces; ++Index)
        for (auto &Connection : Open)
          Connection->sendRaw(Piece);
    });
  for (std::thread &Sender : Senders)
    Sender.join();
}

void Soak::setPace(const std::string &Target) {
  System_.control(Target, {{"event_ms", 5 + 10 * (Options_.Seed_ % 4)},
                           {"hold_ms", 20 * (Options_.Seed_ % 3)}});
}

void Soak::writeConfig() {
  SoakConfig Config;
  Config.Keys_ = {"good-key"};
  if (HasSpareKey_)
    Config.Keys_.insert("spare-key");
  if (HasAddedRoute_)
    Config.Routes_.insert("/added/");
  Config.SentAt_ = BootClock::now();
  System_.configure(++Revision_, {Config.Keys_.begin(), Config.Keys_.end()},
                    {Config.Routes_.begin(), Config.Routes_.end()});
  Config.ConfirmedAt_ = BootClock::now();
  Timeline_.note("config", std::string(HasSpareKey_ ? "with" : "without") +
                               " the spare key, " +
                               (HasAddedRoute_ ? "with" : "without") +
                               " the added route");
  Timeline_.addConfig(std::move(Config));
}

std::vector<std::string> Soak::judge(const std::vector<SoakRequest> &Requests) {
  std::vector<std::string> Found = Timeline_.failures();
  SoakVerdict Verdict(Timeline_, System_.keptRecords("run"), Plan_.Timeout_);
  std::map<std::string, int> Outcomes;
  std::string FirstId;
  int Streams = 0;
  int Unexplained = 0;
  for (const SoakRequest &Item : Requests) {
    ++Outcomes[Item.IsComplete_ ? std::to_string(Item.Status_) : "incomplete"];
    Streams += isStream(Item.Kind_) && Item.Status_ == 200 ? 1 : 0;
    Unexplained += Item.Status_ == 502 && !Verdict.isExcused(Item) ? 1 : 0;
    for (const std::string &Violation : Verdict.violationsOf(Item)) {
      if (FirstId.empty())
        FirstId = Item.Id_;
      Found.push_back(Item.Id_ + " " + Item.Path_ + " at " + Item.Vm_ + " (" +
                      std::to_string(Timeline_.secondsOf(Item.SentAt_)) +
                      " s): " + Violation);
    }
  }
  Summary_ = "seed " + std::to_string(Options_.Seed_) + ": " +
             std::to_string(Options_.Vms_) + " VMs, " +
             std::to_string(Events_.size()) + " events, " +
             std::to_string(Requests.size()) + " requests";
  for (const auto &[Outcome, Count] : Outcomes)
    Summary_ += ", " + std::to_string(Count) + " " + Outcome;
  std::size_t EngineEnds = 0;
  for (const std::string &Target : EntryTargets)
    if (Target.starts_with("engine"))
      EngineEnds += Timeline_.count(Target, SoakAction::CrashTarget);
  Summary_ += ", " + std::to_string(Streams) + " streams, " +
              std::to_string(EngineEnds) + " ends of engines, " +
              std::to_string(Unexplained) + " 502 without a disturbance, " +
              std::to_string(Found.size()) + " violations";
  if (!Found.empty()) {
    std::string Folder =
        Options_.KeptFolder_ + "/soak-" + std::to_string(Options_.Seed_);
    System_.keepFiles(Folder);
    std::ofstream(Folder + "/timeline.txt") << Timeline_.text();
    std::ofstream Sent(Folder + "/requests.txt");
    for (const SoakRequest &Item : Requests)
      Sent << Item.Id_ << " " << Item.Path_ << " " << Item.Vm_ << " "
           << Timeline_.secondsOf(Item.SentAt_) << " "
           << Timeline_.secondsOf(Item.EndedAt_) << " " << Item.Status_
           << (Item.IsComplete_ ? " complete" : " incomplete")
           << (Item.IsClosed_ ? " closed " : " open ") << Item.Target_ << "\n";
    std::ofstream Violations(Folder + "/violations.txt");
    for (const std::string &Each : Found)
      Violations << Each << "\n";
    Found.push_back("files are kept in " + Folder);
    if (!FirstId.empty())
      Found.push_back("explain " + FirstId + ":\n" + System_.explain(FirstId));
  }
  return Found;
}

} // namespace anvil
