#include "Placement/TargetOwner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t Slots = 4;
constexpr std::int64_t Places = 2;

/// An engine, three VMs and the owner, joined by a network that loses, delays
/// and doubles messages.
struct SimulatedTarget {
  struct Running {
    AdapterRef Adapter_;
    TimePoint Ends_{};
  };
  struct Asked {
    QueuedRequest Request_;
    bool Granted_ = false;
  };
  struct Vm {
    std::string Incarnation_;
    std::uint64_t NextId_ = 1;
    std::map<std::uint64_t, Asked> Asked_;
  };

  SimulatedTarget() { takeOver(); }

  static bool lost() { return *rc::gen::inRange(0, 8) == 0; }

  void takeOver() {
    Owner_ = std::make_unique<TargetOwner>(
        TargetOwnerOptions{Slots, Places, {}, {}, {}},
        std::set<std::string>{"vm-1", "vm-2", "vm-3"}, Now_);
    // Orders of the last owner were waited for before.
    Loads_.clear();
    Unloads_.clear();
    Queued_.clear();
  }

  EngineStatus status() const {
    EngineStatus Given;
    Given.Incarnation_ = std::to_string(Life_);
    std::map<AdapterRef, std::int64_t> Runs;
    for (const auto &[Key, Run] : Running_)
      ++Runs[Run.Adapter_];
    for (const AdapterRef &Adapter : Resident_)
      Given.Resident_.push_back({Adapter.text(), Runs[Adapter]});
    return Given;
  }

  void ask() {
    auto Index = *rc::gen::inRange(1, 4);
    std::string Name = "vm-" + std::to_string(Index);
    Vm &From = Vms_[Name];
    QueuedRequest Made;
    Made.Key_ = {Name, From.Incarnation_, From.NextId_++};
    Made.Customer_ = *rc::gen::elementOf(std::vector<std::string>{"a", "b"});
    Made.Priority_ = *rc::gen::inRange(0, 3);
    Made.Ageing_ = 2s;
    Made.Tokens_ = *rc::gen::inRange(1, 100);
    Made.Adapter_ = {"adapter-" + std::to_string(*rc::gen::inRange(0, 4)), "1"};
    Made.Arrived_ = Now_;
    Made.Deadline_ = Now_ + *rc::gen::inRange(1, 12) * 1s;
    From.Asked_[Made.Key_.Id_] = {Made, false};
    if (lost())
      return;
    Queued_[Made.Key_] = Made.Deadline_;
    Owner_->request(Made, Now_);
    if (*rc::gen::inRange(0, 8) == 0)
      Owner_->request(Made, Now_);
  }

  void granted(const GrantAction &Given) {
    const PermitKey &Key = Given.Request_.Key_;
    Queued_.erase(Key);
    Vm &To = Vms_[Key.Vm_];
    auto Found = To.Asked_.find(Key.Id_);
    bool Arrives = !lost() && To.Incarnation_ == Key.Incarnation_;
    if (!Arrives || Found == To.Asked_.end() || Found->second.Granted_)
      return;
    Found->second.Granted_ = true;
    RC_ASSERT(Resident_.count(Given.Request_.Adapter_) == 1u || Restarted_);
    if (Resident_.count(Given.Request_.Adapter_))
      Running_[Key] = {Given.Request_.Adapter_,
                       Now_ + *rc::gen::inRange(1, 30) * 100ms};
  }

  void carryOut() {
    while (auto Wish = Owner_->loadWish(Now_)) {
      LoadAction Load = Owner_->startLoad(*Wish, Now_);
      Loads_[Load.Adapter_] = Now_ + *rc::gen::inRange(1, 8) * 100ms;
    }
    for (OwnerAction &Action : Owner_->advance(Now_)) {
      if (auto *Grant = std::get_if<GrantAction>(&Action))
        granted(*Grant);
      if (auto *Refused = std::get_if<RefuseAction>(&Action)) {
        RC_ASSERT(Refused->Reason_.RetryAfter_.has_value());
        Queued_.erase(Refused->Request_.Key_);
        Vms_[Refused->Request_.Key_.Vm_].Asked_.erase(
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
        Status Ended = std::monostate{};
        if (*rc::gen::inRange(0, 5) == 0)
          Ended = Error{ErrorCode::Unavailable, "engine", "failed", ""};
        else
          Resident_.insert(Load->first);
        Owner_->loadEnded(Load->first, Ended, Now_);
        Loads_.erase(Load);
      }
      Load = Next;
    }
    for (const AdapterRef &Adapter : std::exchange(Unloads_, {}))
      Owner_->unloadEnded(Adapter, std::monostate{}, Now_);
    RC_ASSERT(std::ssize(Resident_) <= Places);
  }

  void finishRuns() {
    for (auto Run = Running_.begin(); Run != Running_.end();) {
      auto Next = std::next(Run);
      if (Run->second.Ends_ <= Now_) {
        PermitKey Key = Run->first;
        Running_.erase(Run);
        Vm &Holder = Vms_[Key.Vm_];
        if (Holder.Incarnation_ == Key.Incarnation_)
          Holder.Asked_.erase(Key.Id_);
        if (!lost())
          Owner_->release(Key, PermitEnd::Finished, Now_);
      }
      Run = Next;
    }
    for (auto &[Name, From] : Vms_)
      std::erase_if(From.Asked_, [&](const auto &Entry) {
        const Asked &Item = Entry.second;
        PermitKey Key = Item.Request_.Key_;
        bool IsOver = Item.Granted_ ? !Running_.count(Key)
                                    : Item.Request_.Deadline_ <= Now_;
        return IsOver;
      });
  }

  void sendInventory(const std::string &Name) {
    Vm &From = Vms_[Name];
    TargetInventory Given{Name, From.Incarnation_, From.NextId_, {}, {}};
    for (const auto &[Id, Item] : From.Asked_)
      if (Item.Granted_)
        Given.Held_.push_back({Id, Item.Request_.Adapter_});
      else
        Given.Awaited_.push_back(Id);
    Owner_->inventory(Given, Now_);
    std::erase_if(Queued_, [&](const auto &Entry) {
      return Entry.first.Vm_ == Name && !From.Asked_.count(Entry.first.Id_);
    });
  }

  void killVm(const std::string &Name) {
    Vm &Killed = Vms_[Name];
    Killed = Vm{Killed.Incarnation_ + "x", 1, {}};
    std::erase_if(Queued_,
                  [&](const auto &Entry) { return Entry.first.Vm_ == Name; });
    Owner_->vmGone(Name, Now_);
  }

  void restartEngine() {
    ++Life_;
    Restarted_ = true;
    Resident_.clear();
    Running_.clear();
    for (const auto &[Adapter, Ends] : std::exchange(Loads_, {}))
      Owner_->loadEnded(
          Adapter, Error{ErrorCode::Unavailable, "engine", "gone", ""}, Now_);
  }

  void readStatus() {
    TimePoint SentAt = Now_;
    EngineStatus Given = status();
    Restarted_ = false;
    Owner_->engineStatus(Given, SentAt, Now_);
  }

  void step() {
    Now_ += 100ms;
    finishLoads();
    finishRuns();
  }

  TimePoint Now_{std::chrono::hours(1)};
  int Life_ = 1;
  /// Whether the engine restarted and the owner can't know it yet.
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
  rc::prop(
      "evicts nothing in use, ends every wait by its deadline, leaks no permit",
      [] {
        SimulatedTarget Target;
        for (int Step = 0; Step < 250; ++Step) {
          Target.step();
          std::string Name = "vm-" + std::to_string(*rc::gen::inRange(1, 4));
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
            Target.takeOver();
            break;
          default:
            Target.ask();
          }
          Target.carryOut();
        }
        for (int Step = 0; Step < 200; ++Step) {
          Target.step();
          Target.readStatus();
          for (const char *Name : {"vm-1", "vm-2", "vm-3"})
            Target.sendInventory(Name);
          Target.carryOut();
        }
        RC_ASSERT(Target.Owner_->permitsOut() == 0u);
        RC_ASSERT(Target.Owner_->waiting() == 0u);
      });

  TimePoint Now(1h);
  TargetOwner Owner({2, 1, {}, {}, {}}, {"vm-2"}, Now);
  auto Ask = [&](std::uint64_t Id, std::string Adapter) {
    QueuedRequest Made;
    Made.Key_ = {"vm-1", "a", Id};
    Made.Adapter_ = {std::move(Adapter), "1"};
    Made.Ageing_ = 5s;
    Made.Arrived_ = Now;
    Made.Deadline_ = Now + 20s;
    Owner.request(Made, Now);
  };
  auto Poll = [&](std::int64_t Running) {
    Now += 1ms;
    Owner.engineStatus({"life", Running, 0, {{"a@1", Running}}}, Now, Now);
  };

  SECTION("loads an adapter once for all who wait for it") {
    Owner.engineStatus({"life", 0, 0, {}}, Now, Now);
    Ask(1, "a");
    Ask(2, "a");
    REQUIRE(Owner.advance(Now).empty());
    Owner.startLoad(*Owner.loadWish(Now), Now);
    REQUIRE_FALSE(Owner.loadWish(Now));
    Now += 200ms;
    Owner.loadEnded({"a", "1"}, std::monostate{}, Now);
    REQUIRE(Owner.advance(Now).size() == 2);

    SECTION("keeps it while a permit is out or a VM was not heard") {
      Owner.release({"vm-1", "a", 1}, PermitEnd::Finished, Now);
      Ask(3, "b");
      Now += 6s;
      Poll(0);
      REQUIRE(Owner.advance(Now).empty());
      Owner.release({"vm-1", "a", 2}, PermitEnd::Finished, Now);
      Poll(0);
      REQUIRE(Owner.advance(Now).empty());

      SECTION("and evicts it for an urgent request after that") {
        Owner.inventory({"vm-2", "x", 1, {}, {}}, Now);
        auto Actions = Owner.advance(Now);
        REQUIRE(Actions.size() == 1);
        REQUIRE(std::holds_alternative<UnloadAction>(Actions[0]));
      }
    }
    SECTION("keeps the permits of a VM that is gone until it is idle") {
      Owner.vmGone("vm-1", Now);
      Poll(1);
      REQUIRE(Owner.permitsOut() == 2);
      Poll(0);
      REQUIRE(Owner.permitsOut() == 0);
    }
  }
  SECTION("that has waited long for the weight store") {
    Owner.engineStatus({"life", 0, 0, {}}, Now, Now);
    Ask(1, "a");
    auto Wish = *Owner.loadWish(Now);
    Now += 60s;
    Owner.startLoad(Wish, Now);

    SECTION("refuses at once whose deadline comes before, but not for long") {
      REQUIRE(Owner.estimateWait({"b", "1"}, 0, Now) > 10s);
      REQUIRE(Owner.estimateWait({"b", "1"}, 0, Now + 60s) < 1s);
    }
  }
  SECTION("that is leaving grants nothing") {
    Ask(1, "a");
    Owner.configure(2, 1, true);
    Ask(2, "a");
    REQUIRE(Owner.advance(Now).size() == 2);
    REQUIRE_FALSE(Owner.loadWish(Now));
  }
}

TEST_CASE("an owner whose engine is full of busy adapters") {
  TimePoint Now(100s);
  TargetOwner Owner(TargetOwnerOptions{Slots, 1, {}, {}, {}}, {}, Now);
  EngineStatus Busy;
  Busy.Incarnation_ = "1";
  Busy.Resident_ = {{"a@1", 1}};
  Owner.engineStatus(Busy, Now, Now);
  auto Ask = [&](std::uint64_t Id, const std::string &Adapter) {
    QueuedRequest Made;
    Made.Key_ = {"vm-1", "x", Id};
    Made.Customer_ = "c";
    Made.Adapter_ = {Adapter, "1"};
    Made.Arrived_ = Now;
    Made.Deadline_ = Now + 10s;
    Owner.request(Made, Now);
  };
  Ask(1, "a");
  Ask(2, "b");

  SECTION("asks for its status now and then, not as fast as answers come") {
    int Polls = 0;
    for (TimePoint End = Now + 1s; Now < End; Now += 1ms) {
      for (const OwnerAction &Action : Owner.advance(Now))
        Polls += std::holds_alternative<PollAction>(Action);
      Owner.engineStatus(Busy, Now, Now);
    }
    CHECK(Polls >= 1);
    CHECK(Polls <= 1s / TargetOwner::LeastPollGap + 1);
  }
}

TEST_CASE("an owner whose weight store is short") {
  TimePoint Begin(100s);
  TargetOwner Owner(TargetOwnerOptions{Slots, 1000, {}, {}, {}}, {}, Begin);
  EngineStatus Empty;
  Empty.Incarnation_ = "1";
  Owner.engineStatus(Empty, Begin, Begin);

  SECTION("refuses what it can't load in time at once") {
    // Five new adapters a second ask, and one load may begin each second.
    std::map<std::uint64_t, TimePoint> Arrivals;
    std::vector<std::pair<TimePoint, AdapterRef>> Loads;
    std::int64_t Late = 0;
    std::int64_t Granted = 0;
    TimePoint NextStart = Begin;
    for (TimePoint Now = Begin; Now < Begin + 60s; Now += 50ms) {
      if ((Now - Begin) % 200ms == 0ms) {
        QueuedRequest Made;
        Made.Key_ = {"vm-1", "x", Arrivals.size() + 1};
        Made.Customer_ = "c";
        Made.Adapter_ = {"a" + std::to_string(Arrivals.size()), "1"};
        Made.Arrived_ = Now;
        Made.Deadline_ = Now + 10s;
        Arrivals[Made.Key_.Id_] = Now;
        Owner.request(Made, Now);
      }
      for (const OwnerAction &Action : Owner.advance(Now)) {
        if (auto *Refused = std::get_if<RefuseAction>(&Action)) {
          TimePoint Came = Arrivals[Refused->Request_.Key_.Id_];
          // The first seconds are for learning how fast loads go.
          Late += Came > Begin + 10s && Now - Came > 1s;
        } else if (auto *Grant = std::get_if<GrantAction>(&Action)) {
          ++Granted;
          Owner.release(Grant->Request_.Key_, PermitEnd::Finished, Now);
        }
      }
      while (!Loads.empty() && Loads.front().first <= Now) {
        Owner.loadEnded(Loads.front().second, std::monostate{}, Now);
        Loads.erase(Loads.begin());
      }
      auto Wish = Owner.loadWish(Now);
      if (Wish && Now >= NextStart) {
        Loads.emplace_back(Now + 250ms, Owner.startLoad(*Wish, Now).Adapter_);
        NextStart = Now + 1s;
      }
    }
    CHECK(Late == 0);
    CHECK(Granted >= 55);
  }
}
