#include "Admission/QuotaLeaseHolder.h"
#include "Admission/QuotaLeaseWatch.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <memory>
#include <random>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

constexpr double Rate = 100;
constexpr double Reserve = 0.1;
constexpr Duration Term = 10s;
constexpr Duration LongTerm = 60s;
constexpr Duration Margin = 1s;
const QuotaTiming Timing{1s, 250ms, 0.001};
const std::string Customer = "serenas";

QuotaLeases readLeases(const std::string &Text) {
  return std::get<QuotaLeases>(decodeQuotaLeases(Text));
}

QuotaAllocations readAllocations(const std::string &Text) {
  return std::get<QuotaAllocations>(decodeQuotaAllocations(Text));
}

struct Row {
  std::string Value_;
  std::uint64_t Version_ = 0;
};

/// One VM with its own clock, which has a random offset and drifts.
struct Vm {
  std::string Name_;
  Duration Offset_;
  double Speed_;
  int Incarnation_ = 0;
  bool Paused_ = false;
  bool CutFromTable_ = false;
  bool CutFromPeers_ = false;
  bool EditInProgress_ = false;
  std::unique_ptr<QuotaLeaseHolder> Holder_;
  std::unique_ptr<QuotaLeaseWatch> Watch_;
  std::vector<double> Charges_;
};

/// Simulates several VMs, the table and the messages between them, with faults
/// drawn from the seed. It records the tokens admitted over true time.
class Fleet {
public:
  Fleet(std::uint64_t Seed, int Count, double Burst, std::uint64_t LostPercent)
      : Random_(Seed), Burst_(Burst), LostRenewals_(LostPercent) {
    for (int Index = 0; Index < Count; ++Index) {
      Vms_.push_back(std::make_unique<Vm>());
      Vm &Created = *Vms_.back();
      Created.Name_ = "vm-" + std::to_string(Index);
      Created.Offset_ = Duration(pick(1000000000));
      Created.Speed_ = 1 + 0.001 * (chance(50) ? 1 : -1);
      startVm(Created);
    }
  }

  void step() {
    TrueTime_ += Duration(chance(5) ? pick(4000000) : pick(200000));
    deliver();
    Vm &Machine = *Vms_[pick(Vms_.size())];
    if (chance(2))
      injectFault(Machine);
    if (chance(HealPercent_))
      Machine.Paused_ = Machine.CutFromTable_ = Machine.CutFromPeers_ = false;
    if (Machine.Paused_ || !Machine.Holder_)
      return;
    share(Machine);
    if (chance(1))
      Busy_ = !Busy_;
    switch (pick(9)) {
    case 0:
      renew(Machine);
      break;
    case 1:
      observe(Machine);
      break;
    case 2:
      edit(Machine);
      break;
    case 3:
      requestLoan(Machine, *Vms_[pick(Vms_.size())]);
      break;
    case 4:
      settle(Machine);
      break;
    case 5:
      spendAllBalances();
      break;
    case 6:
      requestPromises(Machine);
      break;
    default:
      if (Busy_)
        admit(Machine, Burst_ * static_cast<double>(pick(300)) / 1000);
    }
  }

  /// Sets the percentage of steps that end a VM's partitions and pauses.
  void healFaults(std::uint64_t Percent) { HealPercent_ = Percent; }

  /// The largest number of tokens by which any interval up to now exceeded its
  /// rate.
  double excess() const { return MaxExcess_; }
  double admitted() const { return Admitted_; }

private:
  std::uint64_t pick(std::uint64_t Below) { return Random_() % Below; }
  bool chance(std::uint64_t Percent) { return pick(100) < Percent; }

  TimePoint now(const Vm &Machine) const {
    double Micros = static_cast<double>(TrueTime_.count()) * Machine.Speed_;
    return TimePoint(Machine.Offset_ +
                     Duration(static_cast<std::int64_t>(Micros)));
  }

  QuotaShare &share(Vm &Machine) {
    return Machine.Holder_->share(Customer, Rate, Burst_, now(Machine));
  }

  void startVm(Vm &Machine) {
    ++Machine.Incarnation_;
    Machine.Paused_ = Machine.EditInProgress_ = false;
    Machine.Charges_.clear();
    Machine.Holder_ = std::make_unique<QuotaLeaseHolder>(
        Timing, Term, LongTerm, Machine.Name_, "bilbao",
        std::to_string(Machine.Incarnation_), now(Machine));
    Machine.Holder_->setFloor(Reserve / 8);
    Machine.Watch_ = std::make_unique<QuotaLeaseWatch>(Term, LongTerm, Margin);
  }

  void injectFault(Vm &Machine) {
    switch (pick(4)) {
    case 0:
      if (!Machine.Holder_)
        startVm(Machine);
      else
        Machine.Holder_.reset();
      break;
    case 1:
      Machine.Paused_ = !Machine.Paused_;
      break;
    case 2:
      Machine.CutFromTable_ = !Machine.CutFromTable_;
      break;
    default:
      Machine.CutFromPeers_ = !Machine.CutFromPeers_;
    }
  }

  /// Adds tokens to the interval with the largest excess so far.
  void count(double Tokens) {
    Excess_ = std::max(0.0, Excess_ - Rate * toSeconds(TrueTime_ - CountedAt_));
    CountedAt_ = TrueTime_;
    Excess_ = std::max(0.0, Excess_ + Tokens);
    MaxExcess_ = std::max(MaxExcess_, Excess_);
  }

  void admit(Vm &Machine, double Tokens) {
    if (!share(Machine).spend(Tokens, now(Machine)))
      return;
    Machine.Charges_.push_back(Tokens);
    Admitted_ += Tokens;
    count(Tokens);
  }

  /// With some probability, all VMs spend their whole balance at one moment,
  /// after a quiet time, which reveals tokens created anywhere by mistake.
  void spendAllBalances() {
    if (!chance(20))
      return;
    for (auto &Machine : Vms_)
      if (Machine->Holder_ && !Machine->Paused_)
        admit(*Machine, share(*Machine).balance(now(*Machine)));
  }

  void settle(Vm &Machine) {
    if (Machine.Charges_.empty())
      return;
    double Unused =
        Machine.Charges_.back() * static_cast<double>(pick(100)) / 100;
    Machine.Charges_.pop_back();
    double BalanceBefore =
        Machine.Holder_->find(Customer)->balance(now(Machine));
    share(Machine).refund(Unused, now(Machine));
    // Only the tokens added to the balance count: those above the capacity are
    // lost.
    count(BalanceBefore - share(Machine).balance(now(Machine)));
  }

  /// Delivers a call later if the VM still has the same incarnation; some calls
  /// are lost, some are delivered twice, some much later.
  void send(Vm &To, std::function<void()> Call) {
    int Copies = chance(10) ? 0 : chance(10) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      Duration Delay(chance(10) ? pick(20000000) : pick(100000));
      auto Guarded = [&To, Incarnation = To.Incarnation_, Call] {
        if (To.Holder_ && To.Incarnation_ == Incarnation)
          Call();
      };
      Messages_.emplace(TrueTime_ + Delay, std::pair(&To, Guarded));
    }
  }

  void deliver() {
    std::vector<std::function<void()>> Due;
    while (!Messages_.empty() && Messages_.begin()->first <= TrueTime_) {
      auto [To, Call] = Messages_.begin()->second;
      Messages_.erase(Messages_.begin());
      if (To->Paused_)
        Messages_.emplace(TrueTime_ + 1s, std::pair(To, Call));
      else
        Due.push_back(Call);
    }
    for (auto &Call : Due)
      Call();
  }

  bool commit(Row &Target, std::uint64_t Version, std::string Value) {
    if (Target.Version_ != Version)
      return false;
    Target = {std::move(Value), Version + 1};
    return true;
  }

  /// Sends the request through any VM that can reach the table, as the daemon
  /// does; both the write and its reply may be delayed.
  void renew(Vm &Machine) {
    TimePoint SentAt = now(Machine);
    QuotaLeaseRequest Request = Machine.Holder_->nextRequest(SentAt);
    if (!Machine.Holder_->lease().empty() && chance(LostRenewals_))
      return;
    Vm &Writer = Machine.CutFromTable_ ? *Vms_[pick(Vms_.size())] : Machine;
    if (Writer.CutFromTable_ || (&Writer != &Machine && Machine.CutFromPeers_))
      return;
    send(Writer, [this, &Machine, Incarnation = Machine.Incarnation_, Request,
                  SentAt] {
      auto Leases = readLeases(Leases_.Value_);
      auto Reply = applyQuotaLeaseRequest(Leases, Request, Leases_.Version_);
      if (Reply.Accepted_)
        commit(Leases_, Leases_.Version_, encodeQuotaLeases(Leases));
      Reply.Version_ = Leases_.Version_;
      Reply.Peers_ = liveQuotaVms(Leases);
      if (Machine.Incarnation_ != Incarnation)
        return;
      send(Machine, [this, &Machine, Request, Reply, SentAt] {
        Machine.Holder_->applyReply(Request, Reply, SentAt, now(Machine));
      });
    });
  }

  /// Requests promises from all peers; each request and each reply may be lost.
  void requestPromises(Vm &Machine) {
    TimePoint SentAt = now(Machine);
    std::string Lease = Machine.Holder_->lease();
    auto Outstanding = std::make_shared<std::set<std::string>>();
    for (const std::string &Name : Machine.Holder_->peers())
      Outstanding->insert(Name);
    if (Outstanding->empty())
      Machine.Holder_->extendByPromises(Lease, SentAt, SentAt);
    for (auto &Peer : Vms_) {
      if (!Outstanding->contains(Peer->Name_) || Machine.CutFromPeers_ ||
          Peer->CutFromPeers_)
        continue;
      send(*Peer,
           [this, &Machine, &Peer = *Peer, Incarnation = Machine.Incarnation_,
            SentAt, Lease, Outstanding] {
             if (!Peer.Watch_->promise(Machine.Name_, now(Peer)) ||
                 Machine.Incarnation_ != Incarnation)
               return;
             send(Machine, [this, &Machine, &Peer, SentAt, Lease, Outstanding] {
               Outstanding->erase(Peer.Name_);
               if (Outstanding->empty())
                 Machine.Holder_->extendByPromises(Lease, SentAt, now(Machine));
             });
           });
    }
  }

  void observe(Vm &Machine) {
    if (Machine.CutFromTable_)
      return;
    auto Leases = readLeases(Leases_.Value_);
    auto Expired = Machine.Watch_->observe(
        Leases, Leases_.Version_, Machine.Holder_->lease(), now(Machine));
    if (Expired.empty())
      return;
    for (const std::string &Name : Expired)
      Leases[Name].Ended_ = true;
    std::uint64_t Version = Leases_.Version_;
    // The write reaches the table even if its VM has made a promise since.
    Duration Delay(pick(chance(20) ? 5000000 : 100000));
    if (chance(95))
      Messages_.emplace(
          TrueTime_ + Delay,
          std::pair<Vm *, std::function<void()>>(
              &Table_, [this, Version, Value = encodeQuotaLeases(Leases)] {
                commit(Leases_, Version, Value);
              }));
  }

  void edit(Vm &Machine) {
    if (Machine.CutFromTable_ || Machine.EditInProgress_)
      return;
    Row Snapshot = Shares_;
    auto Allocations = readAllocations(Snapshot.Value_);
    auto LiveLeases = liveQuotaLeases(readLeases(Leases_.Value_));
    share(Machine);
    Machine.Holder_->observeRow(Customer, Allocations, Snapshot.Version_,
                                now(Machine));
    auto Edit = Machine.Holder_->planEdit(
        Customer, Allocations, Snapshot.Version_, LiveLeases,
        static_cast<double>(pick(200)), Reserve, now(Machine));
    if (!Edit)
      return;
    Machine.EditInProgress_ = true;
    std::uint64_t Fault = pick(10);
    std::string Value = encodeQuotaAllocations(Edit->Row_);
    auto Finish = [this, &Machine, Edit](QuotaEditResult Result) {
      Machine.EditInProgress_ = false;
      Machine.Holder_->finishEdit(*Edit, Result, now(Machine));
    };
    if (Fault == 0)
      return Finish(QuotaEditResult::NotSent);
    Duration Delay(pick(chance(20) ? 5000000 : 100000));
    auto Arrive = [this, &Machine, Incarnation = Machine.Incarnation_, Edit,
                   Value, Finish, Fault] {
      bool IsCommitted = commit(Shares_, Edit->Version_, Value);
      if (Fault > 2 && Machine.Holder_ && Machine.Incarnation_ == Incarnation)
        Finish(IsCommitted ? QuotaEditResult::Committed
                           : QuotaEditResult::Conflict);
    };
    // The write reaches the table even if its VM is paused or dead by then.
    if (Fault != 1)
      Messages_.emplace(TrueTime_ + Delay, std::pair(&Table_, Arrive));
    if (Fault <= 2)
      Finish(QuotaEditResult::Unknown);
  }

  void requestLoan(Vm &Borrower, Vm &Lender) {
    if (&Borrower == &Lender || Borrower.CutFromPeers_ || Lender.CutFromPeers_)
      return;
    TimePoint SentAt = now(Borrower);
    bool WithFloor = chance(50);
    auto IsBorrowed = std::make_shared<bool>(false);
    send(Lender, [this, &Borrower, &Lender, Incarnation = Borrower.Incarnation_,
                  SentAt, WithFloor, IsBorrowed] {
      if (Lender.CutFromPeers_)
        return;
      QuotaLoan Loan =
          share(Lender).lend(Burst_ / 20, Burst_ / 5, WithFloor, now(Lender));
      if (Loan.Tokens_ <= 0 || Borrower.Incarnation_ != Incarnation ||
          !Borrower.Holder_)
        return;
      // A request has one reply; the peer network drops duplicates.
      send(Borrower, [this, &Borrower, Loan, SentAt, IsBorrowed] {
        if (!std::exchange(*IsBorrowed, true))
          share(Borrower).borrow(Loan, SentAt, now(Borrower));
      });
    });
  }

  std::mt19937_64 Random_;
  double Burst_;
  std::uint64_t LostRenewals_;
  std::uint64_t HealPercent_ = 0;
  Duration TrueTime_{0};
  std::vector<std::unique_ptr<Vm>> Vms_;
  Vm Table_{};
  Row Leases_;
  Row Shares_;
  std::multimap<Duration, std::pair<Vm *, std::function<void()>>> Messages_;
  Duration CountedAt_{0};
  double Excess_ = 0;
  double MaxExcess_ = 0;
  double Admitted_ = 0;
  bool Busy_ = true;
};

} // namespace

TEST_CASE("quota shared by several VMs", "[rate-limit]") {
  rc::prop("never admit more than rate and burst allow in any interval",
           [](std::uint64_t Seed) {
             // A small burst reveals a part held twice, a large one tokens that
             // were kept too long.
             double Burst = *rc::gen::element(20.0, 100.0, 1000.0);
             // If most renewals are lost, leases are extended by promises.
             auto LostPercent = *rc::gen::element<std::uint64_t>(0, 80, 97);
             Fleet Simulated(Seed, *rc::gen::inRange(2, 6), Burst, LostPercent);
             Simulated.healFaults(*rc::gen::element<std::uint64_t>(0, 5));
             for (int Step = 0; Step < 3000; ++Step)
               Simulated.step();
             RC_ASSERT(Simulated.excess() <= Burst + 1e-3);
             // The test would be meaningless if the fleet admitted nothing.
             RC_CLASSIFY(Simulated.excess() > Burst * 0.8, "near the burst");
           });
}
