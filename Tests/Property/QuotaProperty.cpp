#include "Admission/QuotaHolder.h"
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

QuotaHoldings readHoldings(const std::string &Text) {
  return std::get<QuotaHoldings>(decodeQuotaHoldings(Text));
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
  int Life_ = 0;
  bool Paused_ = false;
  bool CutFromTable_ = false;
  bool CutFromPeers_ = false;
  bool EditRuns_ = false;
  std::unique_ptr<QuotaHolder> Holder_;
  std::unique_ptr<QuotaLeaseWatch> Watch_;
  std::vector<double> Charges_;
};

/// Simulates several VMs, the table and the messages between them, with faults
/// drawn from the seed. It records the tokens admitted over true time.
class Fleet {
public:
  Fleet(std::uint64_t Seed, int Count, double Burst, std::uint64_t Lost)
      : Random_(Seed), Burst_(Burst), LostRenewals_(Lost) {
    for (int Index = 0; Index < Count; ++Index) {
      Vms_.push_back(std::make_unique<Vm>());
      Vm &Made = *Vms_.back();
      Made.Name_ = "vm-" + std::to_string(Index);
      Made.Offset_ = Duration(pick(1000000000));
      Made.Speed_ = 1 + 0.001 * (chance(50) ? 1 : -1);
      begin(Made);
    }
  }

  void step() {
    True_ += Duration(chance(5) ? pick(4000000) : pick(200000));
    deliver();
    Vm &At = *Vms_[pick(Vms_.size())];
    if (chance(2))
      disturb(At);
    if (chance(Healing_))
      At.Paused_ = At.CutFromTable_ = At.CutFromPeers_ = false;
    if (At.Paused_ || !At.Holder_)
      return;
    share(At);
    if (chance(1))
      Busy_ = !Busy_;
    switch (pick(9)) {
    case 0:
      renew(At);
      break;
    case 1:
      observe(At);
      break;
    case 2:
      edit(At);
      break;
    case 3:
      ask(At, *Vms_[pick(Vms_.size())]);
      break;
    case 4:
      settle(At);
      break;
    case 5:
      flood();
      break;
    case 6:
      gatherPromises(At);
      break;
    default:
      if (Busy_)
        admit(At, Burst_ * static_cast<double>(pick(300)) / 1000);
    }
  }

  /// Sets the percentage of steps that end a VM's partitions and pauses.
  void healFaults(std::uint64_t Percent) { Healing_ = Percent; }

  /// The largest number of tokens by which any interval up to now exceeded its
  /// rate.
  double excess() const { return Worst_; }
  double admitted() const { return Admitted_; }

private:
  std::uint64_t pick(std::uint64_t Below) { return Random_() % Below; }
  bool chance(std::uint64_t Percent) { return pick(100) < Percent; }

  TimePoint now(const Vm &At) const {
    double Micros = static_cast<double>(True_.count()) * At.Speed_;
    return TimePoint(At.Offset_ + Duration(static_cast<std::int64_t>(Micros)));
  }

  QuotaShare &share(Vm &At) {
    return At.Holder_->share(Customer, Rate, Burst_, now(At));
  }

  void begin(Vm &At) {
    ++At.Life_;
    At.Paused_ = At.EditRuns_ = false;
    At.Charges_.clear();
    At.Holder_ = std::make_unique<QuotaHolder>(
        Timing, Term, LongTerm, At.Name_, "bilbao", std::to_string(At.Life_),
        now(At));
    At.Holder_->setFloor(Reserve / 8);
    At.Watch_ = std::make_unique<QuotaLeaseWatch>(Term, LongTerm, Margin);
  }

  void disturb(Vm &At) {
    switch (pick(4)) {
    case 0:
      if (!At.Holder_)
        begin(At);
      else
        At.Holder_.reset();
      break;
    case 1:
      At.Paused_ = !At.Paused_;
      break;
    case 2:
      At.CutFromTable_ = !At.CutFromTable_;
      break;
    default:
      At.CutFromPeers_ = !At.CutFromPeers_;
    }
  }

  /// Adds tokens to the interval with the largest excess so far.
  void count(double Tokens) {
    Excess_ = std::max(0.0, Excess_ - Rate * toSeconds(True_ - Counted_));
    Counted_ = True_;
    Excess_ = std::max(0.0, Excess_ + Tokens);
    Worst_ = std::max(Worst_, Excess_);
  }

  void admit(Vm &At, double Tokens) {
    if (!share(At).spend(Tokens, now(At)))
      return;
    At.Charges_.push_back(Tokens);
    Admitted_ += Tokens;
    count(Tokens);
  }

  /// With some probability, all VMs spend their whole balance at one moment,
  /// after a quiet time, which reveals tokens created anywhere by mistake.
  void flood() {
    if (!chance(20))
      return;
    for (auto &At : Vms_)
      if (At->Holder_ && !At->Paused_)
        admit(*At, share(*At).balance(now(*At)));
  }

  void settle(Vm &At) {
    if (At.Charges_.empty())
      return;
    double Unused = At.Charges_.back() * static_cast<double>(pick(100)) / 100;
    At.Charges_.pop_back();
    double Before = At.Holder_->find(Customer)->balance(now(At));
    share(At).refund(Unused, now(At));
    // Only the tokens added to the balance count: those above the capacity are
    // lost.
    count(Before - share(At).balance(now(At)));
  }

  /// Delivers a call later if the VM still has the same incarnation; some calls
  /// are lost, some are delivered twice, some much later.
  void send(Vm &To, std::function<void()> Call) {
    int Copies = chance(10) ? 0 : chance(10) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      Duration Late(chance(10) ? pick(20000000) : pick(100000));
      auto Guarded = [&To, Life = To.Life_, Call] {
        if (To.Holder_ && To.Life_ == Life)
          Call();
      };
      Mail_.emplace(True_ + Late, std::pair(&To, Guarded));
    }
  }

  void deliver() {
    std::vector<std::function<void()>> Due;
    while (!Mail_.empty() && Mail_.begin()->first <= True_) {
      auto [To, Call] = Mail_.begin()->second;
      Mail_.erase(Mail_.begin());
      if (To->Paused_)
        Mail_.emplace(True_ + 1s, std::pair(To, Call));
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
  void renew(Vm &At) {
    TimePoint Asked = now(At);
    QuotaRenewal Renewal = At.Holder_->renewal(Asked);
    if (!At.Holder_->lease().empty() && chance(LostRenewals_))
      return;
    Vm &Keeper = At.CutFromTable_ ? *Vms_[pick(Vms_.size())] : At;
    if (Keeper.CutFromTable_ || (&Keeper != &At && At.CutFromPeers_))
      return;
    send(Keeper, [this, &At, Life = At.Life_, Renewal, Asked] {
      auto Known = readLeases(Leases_.Value_);
      auto Reply = applyQuotaRenewal(Known, Renewal, Leases_.Version_);
      if (Reply.Accepted_)
        commit(Leases_, Leases_.Version_, encodeQuotaLeases(Known));
      Reply.Version_ = Leases_.Version_;
      Reply.Mates_ = liveQuotaVms(Known);
      if (At.Life_ != Life)
        return;
      send(At, [this, &At, Renewal, Reply, Asked] {
        At.Holder_->renewed(Renewal, Reply, Asked, now(At));
      });
    });
  }

  /// Requests promises from all peers; each request and each reply may be lost.
  void gatherPromises(Vm &At) {
    TimePoint Asked = now(At);
    std::string Lease = At.Holder_->lease();
    auto Open = std::make_shared<std::set<std::string>>();
    for (const std::string &Name : At.Holder_->mates())
      Open->insert(Name);
    if (Open->empty())
      At.Holder_->promised(Lease, Asked, Asked);
    for (auto &Mate : Vms_) {
      if (!Open->contains(Mate->Name_) || At.CutFromPeers_ ||
          Mate->CutFromPeers_)
        continue;
      send(*Mate,
           [this, &At, &Mate = *Mate, Life = At.Life_, Asked, Lease, Open] {
             if (!Mate.Watch_->promise(At.Name_, now(Mate)) || At.Life_ != Life)
               return;
             send(At, [this, &At, &Mate, Asked, Lease, Open] {
               Open->erase(Mate.Name_);
               if (Open->empty())
                 At.Holder_->promised(Lease, Asked, now(At));
             });
           });
    }
  }

  void observe(Vm &At) {
    if (At.CutFromTable_)
      return;
    auto Known = readLeases(Leases_.Value_);
    auto Over =
        At.Watch_->see(Known, Leases_.Version_, At.Holder_->lease(), now(At));
    if (Over.empty())
      return;
    for (const std::string &Name : Over)
      Known[Name].Ended_ = true;
    std::uint64_t Version = Leases_.Version_;
    // The write reaches the table even if its VM has made a promise since.
    Duration Late(pick(chance(20) ? 5000000 : 100000));
    if (chance(95))
      Mail_.emplace(
          True_ + Late,
          std::pair<Vm *, std::function<void()>>(
              &Table_, [this, Version, Value = encodeQuotaLeases(Known)] {
                commit(Leases_, Version, Value);
              }));
  }

  void edit(Vm &At) {
    if (At.CutFromTable_ || At.EditRuns_)
      return;
    Row Seen = Shares_;
    auto Holdings = readHoldings(Seen.Value_);
    auto Alive = liveQuotaLeases(readLeases(Leases_.Value_));
    share(At);
    At.Holder_->observed(Customer, Holdings, Seen.Version_, now(At));
    auto Edit =
        At.Holder_->plan(Customer, Holdings, Seen.Version_, Alive,
                         static_cast<double>(pick(200)), Reserve, now(At));
    if (!Edit)
      return;
    At.EditRuns_ = true;
    std::uint64_t Fate = pick(10);
    std::string Value = encodeQuotaHoldings(Edit->Row_);
    auto End = [this, &At, Edit](QuotaEditEnd Result) {
      At.EditRuns_ = false;
      At.Holder_->settled(*Edit, Result, now(At));
    };
    if (Fate == 0)
      return End(QuotaEditEnd::NotSent);
    Duration Late(pick(chance(20) ? 5000000 : 100000));
    auto Arrive = [this, &At, Life = At.Life_, Edit, Value, End, Fate] {
      bool Done = commit(Shares_, Edit->Version_, Value);
      if (Fate > 2 && At.Holder_ && At.Life_ == Life)
        End(Done ? QuotaEditEnd::Done : QuotaEditEnd::Conflict);
    };
    // The write reaches the table even if its VM is paused or dead by then.
    if (Fate != 1)
      Mail_.emplace(True_ + Late, std::pair(&Table_, Arrive));
    if (Fate <= 2)
      End(QuotaEditEnd::Unknown);
  }

  void ask(Vm &Asker, Vm &Giver) {
    if (&Asker == &Giver || Asker.CutFromPeers_ || Giver.CutFromPeers_)
      return;
    TimePoint Asked = now(Asker);
    bool WithFloor = chance(50);
    auto Got = std::make_shared<bool>(false);
    send(Giver,
         [this, &Asker, &Giver, Life = Asker.Life_, Asked, WithFloor, Got] {
           if (Giver.CutFromPeers_)
             return;
           QuotaLoan Loan = share(Giver).lend(Burst_ / 20, Burst_ / 5,
                                              WithFloor, now(Giver));
           if (Loan.Tokens_ <= 0 || Asker.Life_ != Life || !Asker.Holder_)
             return;
           // A request has one reply; the peer network drops duplicates.
           send(Asker, [this, &Asker, Loan, Asked, Got] {
             if (!std::exchange(*Got, true))
               share(Asker).borrow(Loan, Asked, now(Asker));
           });
         });
  }

  std::mt19937_64 Random_;
  double Burst_;
  std::uint64_t LostRenewals_;
  std::uint64_t Healing_ = 0;
  Duration True_{0};
  std::vector<std::unique_ptr<Vm>> Vms_;
  Vm Table_{};
  Row Leases_;
  Row Shares_;
  std::multimap<Duration, std::pair<Vm *, std::function<void()>>> Mail_;
  Duration Counted_{0};
  double Excess_ = 0;
  double Worst_ = 0;
  double Admitted_ = 0;
  bool Busy_ = true;
};

} // namespace

TEST_CASE("VMs that share a quota", "[rate-limit]") {
  rc::prop("never admit more than rate and burst allow in any interval",
           [](std::uint64_t Seed) {
             // A small burst reveals a part held twice, a large one tokens that
             // were kept too long.
             double Burst = *rc::gen::element(20.0, 100.0, 1000.0);
             // If most renewals are lost, leases are extended by promises.
             auto Lost = *rc::gen::element<std::uint64_t>(0, 80, 97);
             Fleet Running(Seed, *rc::gen::inRange(2, 6), Burst, Lost);
             Running.healFaults(*rc::gen::element<std::uint64_t>(0, 5));
             for (int Step = 0; Step < 3000; ++Step)
               Running.step();
             RC_ASSERT(Running.excess() <= Burst + 1e-3);
             // The test would be meaningless if the fleet admitted nothing.
             RC_CLASSIFY(Running.excess() > Burst * 0.8, "near the burst");
           });
}
