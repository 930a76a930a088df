#include "Admission/QuotaHolder.h"
#include "Admission/QuotaLeaseWatch.h"
#include "Admission/QuotaRound.h"
#include "Admission/TokenBucket.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace anvil;
using namespace std::chrono_literals;

static const std::string Customer = "serenas";
static constexpr Duration Term = 60s;
static constexpr Duration LongTerm = 600s;
static const QuotaTiming Timing{1s, 250ms, 0.001};

static const TimePoint Start{1000s};

static QuotaShare leasedShare(double Part) {
  QuotaShare Share(Timing, Start);
  Share.setLimits(100, 1000, Start);
  Share.setLease(Start, Start + Term, Start);
  Share.setPart(Part, Start);
  return Share;
}

TEST_CASE("a share of a quota", "[rate-limit]") {
  QuotaShare Share = leasedShare(0.5);
  REQUIRE(Share.balance(Start) == 0);
  SECTION("grows by its part, less what a fast clock could add") {
    CHECK(Share.balance(Start + 10s) == Approx(500 * 0.999));
    CHECK(Share.balance(Start + 10s) < 500);
    CHECK(Share.balance(Start + 30s) == Approx(500));
  }
  SECTION("is worth its floor when the lease has ended") {
    Share.setFloor(0.1, Start);
    REQUIRE(Share.spend(590, Start + 59s));
    CHECK_FALSE(Share.spend(200, Start + Term + 10s));
    CHECK(Share.capacity(Start + Term + 10s) == Approx(100));
  }
  SECTION("lends tokens with their capacity") {
    TimePoint Full = Start + 30s;
    QuotaLoan Loan = Share.lend(200, 0, true, Full);
    REQUIRE(Loan.Tokens_ == Approx(200));
    CHECK(Share.capacity(Full) == Approx(300));
    CHECK(Share.balance(Full + 1s) == Approx(300));
    SECTION("which come back only after the borrower's term and a margin") {
      CHECK(Share.capacity(Full + 1200ms) == Approx(300));
      CHECK(Share.capacity(Full + 1250ms) == Approx(500));
    }
    SECTION("so that a request larger than the part of a VM can be served") {
      QuotaShare Borrower = leasedShare(0.5);
      Borrower.borrow(Loan, Full, Full + 10ms);
      CHECK(Borrower.spend(700, Full + 10ms));
    }
    SECTION("a loan that comes late is lost") {
      QuotaShare Borrower(Timing, Start);
      Borrower.borrow(Loan, Full, Full + 1s);
      CHECK(Borrower.balance(Full + 1s) == 0);
      CHECK(Borrower.lost() == Approx(200));
    }
    SECTION("and its part can't be given up meanwhile") {
      CHECK(Share.lentPart(Full) == Approx(0.2));
      CHECK(Share.lentPart(Full + 2s) == 0);
    }
  }
  SECTION("keeps its floor from other data centres") {
    Share.setFloor(0.1, Start);
    CHECK(Share.lend(1000, 0, false, Start + 30s).Tokens_ == Approx(500));
  }
  SECTION("never lends beyond its lease") {
    CHECK(Share.lend(10, 0, true, Start + Term - 100ms).Term_ == 100ms);
  }
  SECTION("takes refunds up to its capacity") {
    REQUIRE(Share.spend(400, Start + 30s));
    Share.refund(450, Start + 30s);
    CHECK(Share.balance(Start + 30s) == Approx(500));
    CHECK(Share.lost() == Approx(50));
  }
  SECTION("says how long tokens take, or that they can't be here") {
    CHECK(Share.waitFor(100, Start) >= 2s);
    CHECK(Share.waitFor(100, Start) < 2100ms);
    CHECK(Share.waitFor(501, Start) == Duration::max());
  }
  SECTION("loses what a lower burst has no room for") {
    Share.balance(Start + 30s);
    Share.setLimits(100, 100, Start + 30s);
    CHECK(Share.balance(Start + 30s) == Approx(50));
  }
}

static void join(QuotaHolder &Holder, QuotaLeases &Row, TimePoint Now) {
  QuotaRenewal Asked = Holder.renewal(Now);
  Holder.renewed(Asked, applyQuotaRenewal(Row, Asked, 0), Now, Now);
}

TEST_CASE("leases of shares", "[rate-limit]") {
  QuotaLeases Row;
  QuotaHolder First(Timing, Term, LongTerm, "vm-1", "bilbao", "a", Start);
  join(First, Row, Start);
  REQUIRE(First.leased(Start));
  std::string Lease = First.lease();
  SECTION("a VM that starts again waits until its old loans have ended") {
    QuotaHolder Second(Timing, Term, LongTerm, "vm-1", "bilbao", "b",
                       Start + 5s);
    join(Second, Row, Start + 5s);
    join(Second, Row, Start + 6s);
    CHECK_FALSE(Second.leased(Start + 6s));
    join(Second, Row, Start + 6250ms);
    CHECK(Second.leased(Start + 6250ms));
    CHECK_FALSE(liveQuotaLeases(Row).contains(Lease));
  }
  SECTION("an observer waits a whole term by its own clock") {
    QuotaLeaseWatch Watch(Term, LongTerm, 2s);
    TimePoint Other{5s};
    Row["vm-2"] = {"own", 1, false, 3, 0};
    Row["vm-1"].Seen_ = 4;
    TimePoint Over = Other + Term + Term / 250 + 2s;
    CHECK(Watch.see(Row, 4, "own", Other).empty());
    CHECK(Watch.see(Row, 4, "own", Other + Term).empty());
    SECTION("and ends a lease that stood still") {
      REQUIRE(Watch.see(Row, 4, "own", Over).size() == 1);
      SECTION("after which it promises nothing until the row has changed") {
        CHECK_FALSE(Watch.promise("vm-1", Over));
        Watch.see(Row, 5, "own", Over);
        CHECK_FALSE(Watch.promise("vm-1", Over));
      }
    }
    SECTION("and begins anew when it was renewed") {
      join(First, Row, Start + 30s);
      CHECK(Watch.see(Row, 5, "own", Over).empty());
    }
    SECTION("and begins anew when it has promised") {
      REQUIRE(Watch.promise("vm-1", Other + 30s));
      CHECK(Watch.see(Row, 4, "own", Over).empty());
    }
    SECTION("and the long term when the holder may not know it") {
      Row["vm-1"].Seen_ = 3;
      CHECK(Watch.see(Row, 4, "own", Over).empty());
      TimePoint LongOver = Other + LongTerm + LongTerm / 250 + 2s;
      CHECK(Watch.see(Row, 4, "own", LongOver).size() == 1);
    }
  }
  SECTION("promises keep a lease up to the long term") {
    First.promised(Lease, Start + 50s, Start + 51s);
    CHECK(First.leaseEnd() == Start + 50s + Term);
    for (Duration At = 100s; At < 700s; At += 50s)
      First.promised(Lease, Start + At, Start + At);
    CHECK(First.leaseEnd() == Start + LongTerm);
  }
  SECTION("the term counts from when the renewal was sent") {
    QuotaRenewal Asked = First.renewal(Start + 10s);
    auto Reply = applyQuotaRenewal(Row, Asked, 0);
    First.renewed(Asked, Reply, Start + 10s, Start + 40s);
    CHECK(First.leaseEnd() == Start + 10s + Term);
  }
  SECTION("a message that comes twice or late changes nothing") {
    QuotaRenewal Asked = First.renewal(Start + 10s);
    CHECK(applyQuotaRenewal(Row, Asked, 0).Accepted_);
    CHECK_FALSE(applyQuotaRenewal(Row, Asked, 0).Accepted_);
    Row["vm-1"].Ended_ = true;
    CHECK_FALSE(
        applyQuotaRenewal(Row, First.renewal(Start + 20s), 0).Accepted_);
  }
}

TEST_CASE("parts in a customer's row", "[rate-limit]") {
  QuotaLeases Leases;
  QuotaHolder First(Timing, Term, LongTerm, "vm-1", "bilbao", "a", Start);
  QuotaHolder Second(Timing, Term, LongTerm, "vm-2", "bilbao", "b", Start);
  join(First, Leases, Start);
  join(Second, Leases, Start);
  auto Alive = liveQuotaLeases(Leases);
  QuotaShare &Mine = First.share(Customer, 100, 1000, Start);
  QuotaShare &Theirs = Second.share(Customer, 100, 1000, Start);
  auto Made = First.plan(Customer, {}, 0, Alive, 10, 0.1, Start);
  REQUIRE(Made);
  SECTION("the first VM takes half of a new quota, with its tokens") {
    First.settled(*Made, QuotaEditEnd::Done, Start);
    CHECK(Mine.balance(Start) == Approx(450));
    SECTION("and the next one the rest") {
      auto Next = Second.plan(Customer, Made->Row_, 1, Alive, 10, 0.1, Start);
      REQUIRE(Next);
      Second.settled(*Next, QuotaEditEnd::Done, Start);
      CHECK(Theirs.balance(Start) == Approx(450));
      CHECK(Next->Row_.Fresh_ == Approx(0));
    }
    SECTION("what an ended lease held is free, without tokens") {
      Alive.erase(First.lease());
      auto Rest = Made->Row_;
      Rest.Fresh_ = 0;
      auto Next = Second.plan(Customer, Rest, 1, Alive, 10, 0.1, Start);
      REQUIRE(Next);
      Second.settled(*Next, QuotaEditEnd::Done, Start);
      CHECK(Theirs.part() == Approx(0.9));
      CHECK(Theirs.balance(Start) == 0);
    }
    SECTION("what is lent out is not given up") {
      auto Less = Made->Row_;
      Less.ByLease_[Second.lease()] = {0.1, 90, 1, "vm-2", "bilbao"};
      REQUIRE(Mine.lend(300, 0, true, Start).Tokens_ == Approx(300));
      auto Next = First.plan(Customer, Less, 2, Alive, 10, 0.1, Start);
      REQUIRE(Next);
      CHECK(Mine.part() == Approx(0.3));
    }
    SECTION("a part that shrinks does so before it is written") {
      auto Less = Made->Row_;
      Less.ByLease_[Second.lease()] = {0.1, 90, 1, "vm-2", "bilbao"};
      auto Next = First.plan(Customer, Less, 2, Alive, 10, 0.1, Start);
      REQUIRE(Next);
      // The base demand of a thousandth of a token per second is added for
      // every VM.
      double Fair = 0.9 * 10.001 / 100.002;
      CHECK(Mine.part() == Approx(Fair));
      SECTION("and stays small while it isn't known whether it was") {
        First.settled(*Next, QuotaEditEnd::Unknown, Start);
        First.observed(Customer, Less, 2, Start);
        CHECK(Mine.part() == Approx(Fair));
        First.observed(Customer, Less, 3, Start);
        CHECK(Mine.part() == Approx(0.45));
      }
    }
  }
  SECTION("a lost answer hands the burst out once") {
    First.settled(*Made, QuotaEditEnd::Unknown, Start);
    CHECK(Mine.balance(Start) == 0);
    First.observed(Customer, Made->Row_, 1, Start);
    CHECK(Mine.balance(Start) == Approx(450));
    REQUIRE(Mine.spend(450, Start));
    First.observed(Customer, Made->Row_, 1, Start);
    CHECK(Mine.balance(Start) == 0);
  }
}

/// VMs that share one customer's quota without faults, compared with the same
/// VMs under fixed parts. All load goes through one VM at a time, so that the
/// parts of the other VMs are idle.
struct SkewedFleet {
  static constexpr int Vms = 5;
  static constexpr double Rate = 1000;
  static constexpr double Burst = 2000;
  static constexpr double Cost = 20;

  SkewedFleet() {
    for (int Index = 0; Index < Vms; ++Index) {
      std::string Name = "vm-" + std::to_string(Index);
      Holders_.emplace_back(Timing, Term, LongTerm, Name, "bilbao", "a", Start);
      Fixed_.emplace_back(Rate / Vms, Burst / Vms, Burst / Vms, Start);
      join(Holders_.back(), Leases_, Start);
    }
  }

  QuotaShare &share(int Vm, TimePoint Now) {
    return Holders_[Vm].share(Customer, Rate, Burst, Now);
  }

  /// Sends one request to a VM; if the VM has too few tokens, it borrows from
  /// the VM with the largest balance.
  void request(int Vm, TimePoint Now) {
    ++Requests_;
    if (!Fixed_[Vm].take(Cost, Now))
      ++RefusedByFixed_;
    Demand_[Vm] += Cost / 10;
    double Missing = Cost - share(Vm, Now).balance(Now);
    if (Missing > 0) {
      int Richest = (Vm + 1) % Vms;
      for (int Other = 0; Other < Vms; ++Other)
        if (Other != Vm &&
            share(Other, Now).balance(Now) > share(Richest, Now).balance(Now))
          Richest = Other;
      auto Loan = share(Richest, Now).lend(Missing, 200, true, Now);
      share(Vm, Now).borrow(Loan, Now, Now);
    }
    if (!share(Vm, Now).spend(Cost, Now))
      ++RefusedByShares_;
  }

  /// Refreshes the customer's row from one VM.
  void refresh(int Vm, TimePoint Now) {
    share(Vm, Now);
    Holders_[Vm].observed(Customer, Row_, Version_, Now);
    auto Edit =
        Holders_[Vm].plan(Customer, Row_, Version_, liveQuotaLeases(Leases_),
                          Demand_[Vm], 0.05, Now);
    Demand_[Vm] *= 0.9;
    if (!Edit)
      return;
    Row_ = Edit->Row_;
    ++Version_;
    Holders_[Vm].settled(*Edit, QuotaEditEnd::Done, Now);
  }

  QuotaLeases Leases_;
  QuotaHoldings Row_;
  std::uint64_t Version_ = 0;
  std::vector<QuotaHolder> Holders_;
  std::vector<TokenBucket> Fixed_;
  double Demand_[Vms] = {};
  int Requests_ = 0;
  int RefusedByFixed_ = 0;
  int RefusedByShares_ = 0;
};

TEST_CASE("refusals of a customer within its rate", "[rate-limit]") {
  SkewedFleet Fleet;
  // 80% of the rate, through another VM every ten seconds.
  constexpr Duration Gap = 25ms;
  for (int Step = 0; Step < 2000; ++Step) {
    TimePoint Now = Start + Step * Gap;
    if (Step % 8 == 0)
      Fleet.refresh(Step / 8 % SkewedFleet::Vms, Now);
    Fleet.request(Step / 400 % SkewedFleet::Vms, Now);
  }
  std::cout << "refused though within the rate, of " << Fleet.Requests_
            << ": fixed split " << Fleet.RefusedByFixed_ << ", shares "
            << Fleet.RefusedByShares_ << "\n";
  CHECK(Fleet.RefusedByFixed_ > Fleet.Requests_ / 4);
  CHECK(Fleet.RefusedByShares_ <= Fleet.Requests_ / 50);
}

TEST_CASE("a round that asks other VMs for tokens", "[rate-limit]") {
  QuotaRound Round({"vm-1", "vm-2", "vm-3", "vm-4"}, 90ms, Start);
  REQUIRE(Round.next(Start) == "vm-1");
  CHECK_FALSE(Round.next(Start + 1ms));
  CHECK_FALSE(Round.isOver(Start + 1ms));

  SECTION("asks the next when one gave too little") {
    Round.answered(true);
    CHECK(Round.next(Start + 1ms) == "vm-2");
  }
  SECTION("asks another in time although the first stays silent") {
    REQUIRE(Round.wakeAt() < Round.deadline());
    REQUIRE(Round.next(Round.wakeAt()) == "vm-2");
    CHECK_FALSE(Round.next(Start + 31ms));
    SECTION("and a third when the second has nothing") {
      Round.answered(false);
      CHECK(Round.next(Start + 31ms) == "vm-3");
    }
    SECTION("or when that is silent too, and no more then") {
      REQUIRE(Round.next(Round.wakeAt()) == "vm-3");
      CHECK(Round.wakeAt() == Round.deadline());
      CHECK_FALSE(Round.next(Start + 89ms));
      CHECK_FALSE(Round.isOver(Start + 89ms));
    }
  }
  SECTION("is over when three had nothing") {
    Round.answered(false);
    for (const char *Vm : {"vm-2", "vm-3"}) {
      REQUIRE(Round.next(Start + 1ms) == Vm);
      Round.answered(false);
    }
    CHECK(Round.isOver(Start + 1ms));
    CHECK_FALSE(Round.next(Start + 1ms));
  }
  SECTION("is over at the end of the wait") {
    CHECK_FALSE(Round.next(Round.deadline()));
    CHECK(Round.isOver(Round.deadline()));
  }
}
