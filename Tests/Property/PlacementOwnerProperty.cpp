#include "Placement/TargetOwner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t Slots = 4;
constexpr std::int64_t AdapterSlots = 2;

/// An engine, three VMs and the owner, connected by a network that loses,
/// delays and duplicates messages.
struct SimulatedTarget {
  struct Running {
    AdapterRef Adapter_;
    TimePoint Ends_{};
  };
  struct PendingRequest {
    QueuedRequest Request_;
    bool Granted_ = false;
  };
  struct Vm {
    std::string Incarnation_;
    std::uint64_t NextId_ = 1;
    std::map<std::uint64_t, PendingRequest> Requests_;
  };

  SimulatedTarget() { changeOwner(); }

  static bool isLost() { return *rc::gen::inRange(0, 8) == 0; }

  void changeOwner() {
    Owner_ = std::make_unique<TargetOwner>(
        TargetOwnerOptions{Slots, AdapterSlots, {}, {}, {}},
        std::set<std::string>{"vm-1", "vm-2", "vm-3"}, Now_);
    // A new owner starts after orders of the previous one can no longer take
    // effect.
    Loads_.clear();
    Unloads_.clear();
    Queued_.clear();
  }

  EngineStatus status() const {
    EngineStatus Status;
    Status.Incarnation_ = std::to_string(EngineIncarnation_);
    std::map<AdapterRef, std::int64_t> RunningCounts;
    for (const auto &[Key, Run] : Running_)
      ++RunningCounts[Run.Adapter_];
    for (const AdapterRef &Adapter : Resident_)
      Status.Resident_.push_back({Adapter.text(), RunningCounts[Adapter]});
    return Status;
  }

  void sendRequest() {
    auto Index = *rc::gen::inRange(1, 4);
    std::string Name = "vm-" + std::to_string(Index);
    Vm &From = Vms_[Name];
    QueuedRequest Request;
    Request.Key_ = {Name, From.Incarnation_, From.NextId_++};
    Request.Customer_ = *rc::gen::elementOf(std::vector<std::string>{"a", "b"});
    Request.Priority_ = *rc::gen::inRange(0, 3);
    Request.Ageing_ = 2s;
    Request.Tokens_ = *rc::gen::inRange(1, 100);
    Request.Adapter_ = {"adapter-" + std::to_string(*rc::gen::inRange(0, 4)),
                        "1"};
    Request.Arrived_ = Now_;
    Request.Deadline_ = Now_ + *rc::gen::inRange(1, 12) * 1s;
    From.Requests_[Request.Key_.Id_] = {Request, false};
    if (isLost())
      return;
    Queued_[Request.Key_] = Request.Deadline_;
    Owner_->request(Request, Now_);
    if (*rc::gen::inRange(0, 8) == 0)
      Owner_->request(Request, Now_);
  }

  void granted(const GrantAction &Grant) {
    const PermitKey &Key = Grant.Request_.Key_;
    Queued_.erase(Key);
    Vm &To = Vms_[Key.Vm_];
    auto Found = To.Requests_.find(Key.Id_);
    bool Arrives = !isLost() && To.Incarnation_ == Key.Incarnation_;
    if (!Arrives || Found == To.Requests_.end() || Found->second.Granted_)
      return;
    Found->second.Granted_ = true;
    RC_ASSERT(Resident_.count(Grant.Request_.Adapter_) == 1u || Restarted_);
    if (Resident_.count(Grant.Request_.Adapter_))
      Running_[Key] = {Grant.Request_.Adapter_,
                       Now_ + *rc::gen::inRange(1, 30) * 100ms};
  }

  void execute() {
    while (auto Candidate = Owner_->nextLoad(Now_)) {
      LoadAction Load = Owner_->startLoad(*Candidate, Now_);
      Loads_[Load.Adapter_] = Now_ + *rc::gen::inRange(1, 8) * 100ms;
    }
    for (OwnerAction &Action : Owner_->advance(Now_)) {
      if (auto *Grant = std::get_if<GrantAction>(&Action))
        granted(*Grant);
      if (auto *Refused = std::get_if<RefuseAction>(&Action)) {
        RC_ASSERT(Refused->Reason_.RetryAfter_.has_value());
        Queued_.erase(Refused->Request_.Key_);
        Vms_[Refused->Request_.Key_.Vm_].Requests_.erase(
            Refused->Request_.Key_.Id_);
      }
      if (auto *Unload = std::get_if<UnloadAction>(&Action)) {
        for (const auto &[Key, Run] : Running_)
          RC_ASSERT(Run.Adapter_ != Unload->Adapter_);
        Resident_.erase(Unload->Adapter_);
        Unloads_.insert(Unload->Adapter_);
      }
    }
    for (const auto &[Key, Deadline] : Queued_)
      RC_ASSERT(Deadline > Now_);
  }

  void finishLoads() {
    for (auto Load = Loads_.begin(); Load != Loads_.end();) {
      auto Next = std::next(Load);
      if (Load->second <= Now_) {
        Status OrderStatus = std::monostate{};
        if (*rc::gen::inRange(0, 5) == 0)
          OrderStatus = Error{ErrorCode::Unavailable, "engine", "failed", ""};
        else
          Resident_.insert(Load->first);
        Owner_->loadEnded(Load->first, OrderStatus, Now_);
        Loads_.erase(Load);
      }
      Load = Next;
    }
    for (const AdapterRef &Adapter : std::exchange(Unloads_, {}))
      Owner_->unloadEnded(Adapter, std::monostate{}, Now_);
    RC_ASSERT(std::ssize(Resident_) <= AdapterSlots);
  }

  void finishRuns() {
    for (auto Run = Running_.begin(); Run != Running_.end();) {
      auto Next = std::next(Run);
      if (Run->second.Ends_ <= Now_) {
        PermitKey Key = Run->first;
        Running_.erase(Run);
        Vm &Holder = Vms_[Key.Vm_];
        if (Holder.Incarnation_ == Key.Incarnation_)
          Holder.Requests_.erase(Key.Id_);
        if (!isLost())
          Owner_->release(Key, PermitOutcome::Finished, Now_);
      }
      Run = Next;
    }
    for (auto &[Name, From] : Vms_)
      std::erase_if(From.Requests_, [&](const auto &Entry) {
        const PendingRequest &Item = Entry.second;
        PermitKey Key = Item.Request_.Key_;
        bool IsOver = Item.Granted_ ? !Running_.count(Key)
                                    : Item.Request_.Deadline_ <= Now_;
        return IsOver;
      });
  }

  void sendInventory(const std::string &Name) {
    Vm &From = Vms_[Name];
    TargetInventory Inventory{Name, From.Incarnation_, From.NextId_, {}, {}};
    for (const auto &[Id, Item] : From.Requests_)
      if (Item.Granted_)
        Inventory.Held_.push_back({Id, Item.Request_.Adapter_});
      else
        Inventory.Pending_.push_back(Id);
    Owner_->inventory(Inventory, Now_);
    std::erase_if(Queued_, [&](const auto &Entry) {
      return Entry.first.Vm_ == Name && !From.Requests_.count(Entry.first.Id_);
    });
  }

  void killVm(const std::string &Name) {
    Vm &Killed = Vms_[Name];
    Killed = Vm{Killed.Incarnation_ + "x", 1, {}};
    std::erase_if(Queued_,
                  [&](const auto &Entry) { return Entry.first.Vm_ == Name; });
    Owner_->vmTerminated(Name, Now_);
  }

  void restartEngine() {
    ++EngineIncarnation_;
    Restarted_ = true;
    Resident_.clear();
    Running_.clear();
    for (const auto &[Adapter, Ends] : std::exchange(Loads_, {}))
      Owner_->loadEnded(
          Adapter, Error{ErrorCode::Unavailable, "engine", "gone", ""}, Now_);
  }

  void readStatus() {
    TimePoint SentAt = Now_;
    EngineStatus Status = status();
    Restarted_ = false;
    Owner_->engineStatus(Status, SentAt, Now_);
  }

  void step() {
    Now_ += 100ms;
    finishLoads();
    finishRuns();
  }

  TimePoint Now_{std::chrono::hours(1)};
  int EngineIncarnation_ = 1;
  /// Whether the engine restarted and the owner has had no status since.
  bool Restarted_ = false;
  std::unique_ptr<TargetOwner> Owner_;
  std::map<std::string, Vm> Vms_;
  std::set<AdapterRef> Resident_;
  std::map<PermitKey, Running> Running_;
  std::map<AdapterRef, TimePoint> Loads_;
  std::set<AdapterRef> Unloads_;
  std::map<PermitKey, TimePoint> Queued_;
};

} // namespace

TEST_CASE("the owner of a target") {
  rc::prop("evicts no adapter in use, ends every wait by its deadline, leaks "
           "no permit",
           [] {
             SimulatedTarget Target;
             for (int Step = 0; Step < 250; ++Step) {
               Target.step();
               std::string Name =
                   "vm-" + std::to_string(*rc::gen::inRange(1, 4));
               switch (*rc::gen::weightedElement<int>(
                   {{30, 0}, {8, 1}, {8, 2}, {1, 3}, {1, 4}, {1, 5}})) {
               case 1:
                 Target.sendInventory(Name);
                 break;
               case 2:
                 Target.readStatus();
                 break;
               case 3:
                 Target.killVm(Name);
                 break;
               case 4:
                 Target.restartEngine();
                 break;
               case 5:
                 Target.changeOwner();
                 break;
               default:
                 Target.sendRequest();
               }
               Target.execute();
             }
             for (int Step = 0; Step < 200; ++Step) {
               Target.step();
               Target.readStatus();
               for (const char *Name : {"vm-1", "vm-2", "vm-3"})
                 Target.sendInventory(Name);
               Target.execute();
             }
             RC_ASSERT(Target.Owner_->outstandingPermits() == 0u);
             RC_ASSERT(Target.Owner_->waiting() == 0u);
           });

  TimePoint Now(1h);
  TargetOwner Owner({2, 1, {}, {}, {}}, {"vm-2"}, Now);
  auto Send = [&](std::uint64_t Id, std::string Adapter) {
    QueuedRequest Request;
    Request.Key_ = {"vm-1", "a", Id};
    Request.Adapter_ = {std::move(Adapter), "1"};
    Request.Ageing_ = 5s;
    Request.Arrived_ = Now;
    Request.Deadline_ = Now + 20s;
    Owner.request(Request, Now);
  };
  auto Poll = [&](std::int64_t Running) {
    Now += 1ms;
    Owner.engineStatus({"life", Running, 0, {{"a@1", Running}}}, Now, Now);
  };

  SECTION("loads an adapter once for all waiting requests") {
    Owner.engineStatus({"life", 0, 0, {}}, Now, Now);
    Send(1, "a");
    Send(2, "a");
    REQUIRE(Owner.advance(Now).empty());
    Owner.startLoad(*Owner.nextLoad(Now), Now);
    REQUIRE_FALSE(Owner.nextLoad(Now));
    Now += 200ms;
    Owner.loadEnded({"a", "1"}, std::monostate{}, Now);
    REQUIRE(Owner.advance(Now).size() == 2);

    SECTION("keeps it while a permit is held or an inventory is missing") {
      Owner.release({"vm-1", "a", 1}, PermitOutcome::Finished, Now);
      Send(3, "b");
      Now += 6s;
      Poll(0);
      REQUIRE(Owner.advance(Now).empty());
      Owner.release({"vm-1", "a", 2}, PermitOutcome::Finished, Now);
      Poll(0);
      REQUIRE(Owner.advance(Now).empty());

      SECTION("and evicts it for an urgent request afterwards") {
        Owner.inventory({"vm-2", "x", 1, {}, {}}, Now);
        auto Actions = Owner.advance(Now);
        REQUIRE(Actions.size() == 1);
        REQUIRE(std::holds_alternative<UnloadAction>(Actions[0]));
      }
    }
    SECTION("keeps the permits of a terminated VM until the adapter is idle") {
      Owner.vmTerminated("vm-1", Now);
      Poll(1);
      REQUIRE(Owner.outstandingPermits() == 2);
      Poll(0);
      REQUIRE(Owner.outstandingPermits() == 0);
    }
  }
  SECTION("whose last load waited long for the weight store") {
    Owner.engineStatus({"life", 0, 0, {}}, Now, Now);
    Send(1, "a");
    auto Candidate = *Owner.nextLoad(Now);
    Now += 60s;
    Owner.startLoad(Candidate, Now);

    SECTION("estimates a long wait that decays over time") {
      REQUIRE(Owner.estimateWait({"b", "1"}, 0, Now) > 10s);
      REQUIRE(Owner.estimateWait({"b", "1"}, 0, Now + 60s) < 1s);
    }
  }
  SECTION("of a leaving target grants nothing") {
    Send(1, "a");
    Owner.configure(2, 1, true);
    Send(2, "a");
    REQUIRE(Owner.advance(Now).size() == 2);
    REQUIRE_FALSE(Owner.nextLoad(Now));
  }
}

TEST_CASE("an owner whose engine is full of busy adapters") {
  TimePoint Now(100s);
  TargetOwner Owner(TargetOwnerOptions{Slots, 1, {}, {}, {}}, {}, Now);
  EngineStatus Busy;
  Busy.Incarnation_ = "1";
  Busy.Resident_ = {{"a@1", 1}};
  Owner.engineStatus(Busy, Now, Now);
  auto Send = [&](std::uint64_t Id, const std::string &Adapter) {
    QueuedRequest Request;
    Request.Key_ = {"vm-1", "x", Id};
    Request.Customer_ = "c";
    Request.Adapter_ = {Adapter, "1"};
    Request.Arrived_ = Now;
    Request.Deadline_ = Now + 10s;
    Owner.request(Request, Now);
  };
  Send(1, "a");
  Send(2, "b");

  SECTION("polls its status at a bounded rate, not as fast as replies arrive") {
    int Polls = 0;
    for (TimePoint End = Now + 1s; Now < End; Now += 1ms) {
      for (const OwnerAction &Action : Owner.advance(Now))
        Polls += std::holds_alternative<PollAction>(Action);
      Owner.engineStatus(Busy, Now, Now);
    }
    CHECK(Polls >= 1);
    CHECK(Polls <= 1s / TargetOwner::MinPollInterval + 1);
  }
}

TEST_CASE("an owner whose weight store limits loads") {
  TimePoint Begin(100s);
  TargetOwner Owner(TargetOwnerOptions{Slots, 1000, {}, {}, {}}, {}, Begin);
  EngineStatus Empty;
  Empty.Incarnation_ = "1";
  Owner.engineStatus(Empty, Begin, Begin);

  SECTION("refuses requests at once that it can't load in time") {
    // Five requests a second, each for a new adapter, while one load may start
    // each second.
    std::map<std::uint64_t, TimePoint> Arrivals;
    std::vector<std::pair<TimePoint, AdapterRef>> Loads;
    std::int64_t Late = 0;
    std::int64_t Granted = 0;
    TimePoint NextStart = Begin;
    for (TimePoint Now = Begin; Now < Begin + 60s; Now += 50ms) {
      if ((Now - Begin) % 200ms == 0ms) {
        QueuedRequest Request;
        Request.Key_ = {"vm-1", "x", Arrivals.size() + 1};
        Request.Customer_ = "c";
        Request.Adapter_ = {"a" + std::to_string(Arrivals.size()), "1"};
        Request.Arrived_ = Now;
        Request.Deadline_ = Now + 10s;
        Arrivals[Request.Key_.Id_] = Now;
        Owner.request(Request, Now);
      }
      for (const OwnerAction &Action : Owner.advance(Now)) {
        if (auto *Refused = std::get_if<RefuseAction>(&Action)) {
          TimePoint Came = Arrivals[Refused->Request_.Key_.Id_];
          // The owner estimates the load interval during the first seconds.
          Late += Came > Begin + 10s && Now - Came > 1s;
        } else if (auto *Grant = std::get_if<GrantAction>(&Action)) {
          ++Granted;
          Owner.release(Grant->Request_.Key_, PermitOutcome::Finished, Now);
        }
      }
      while (!Loads.empty() && Loads.front().first <= Now) {
        Owner.loadEnded(Loads.front().second, std::monostate{}, Now);
        Loads.erase(Loads.begin());
      }
      auto Candidate = Owner.nextLoad(Now);
      if (Candidate && Now >= NextStart) {
        Loads.emplace_back(Now + 250ms,
                           Owner.startLoad(*Candidate, Now).Adapter_);
        NextStart = Now + 1s;
      }
    }
    CHECK(Late == 0);
    CHECK(Granted >= 55);
  }
}
