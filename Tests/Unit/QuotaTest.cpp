#include "Admission/QuotaBorrowRound.h"
#include "Admission/QuotaLeaseHolder.h"
#include "Admission/QuotaLeaseWatch.h"
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

TEST_CASE("quota share on one VM", "[rate-limit]") {
  QuotaShare Share = leasedShare(0.5);
  REQUIRE(Share.balance(Start) == 0);
  SECTION("refills at its part of the rate, reduced by the clock drift") {
    CHECK(Share.balance(Start + 10s) == Approx(500 * 0.999));
    CHECK(Share.balance(Start + 10s) < 500);
    CHECK(Share.balance(Start + 30s) == Approx(500));
  }
  SECTION("falls back to its floor after the lease has ended") {
    Share.setFloor(0.1, Start);
    REQUIRE(Share.spend(590, Start + 59s));
    CHECK_FALSE(Share.spend(200, Start + Term + 10s));
    CHECK(Share.capacity(Start + Term + 10s) == Approx(100));
  }
  SECTION("lends tokens with their capacity") {
    TimePoint FullAt = Start + 30s;
    QuotaLoan Loan = Share.lend(200, 0, true, FullAt);
    REQUIRE(Loan.Tokens_ == Approx(200));
    CHECK(Share.capacity(FullAt) == Approx(300));
    CHECK(Share.balance(FullAt + 1s) == Approx(300));
    SECTION(
        "and gets the capacity back only after the loan term and a margin") {
      CHECK(Share.capacity(FullAt + 1200ms) == Approx(300));
      CHECK(Share.capacity(FullAt + 1250ms) == Approx(500));
    }
    SECTION("so that a request larger than the part of one VM can be served") {
      QuotaShare Borrower = leasedShare(0.5);
      Borrower.borrow(Loan, FullAt, FullAt + 10ms);
      CHECK(Borrower.spend(700, FullAt + 10ms));
    }
    SECTION("and a loan that arrives after its term is lost") {
      QuotaShare Borrower(Timing, Start);
      Borrower.borrow(Loan, FullAt, FullAt + 1s);
      CHECK(Borrower.balance(FullAt + 1s) == 0);
      CHECK(Borrower.lostTokens() == Approx(200));
    }
    SECTION("and the lent part cannot be given up in the meantime") {
      CHECK(Share.lentPart(FullAt) == Approx(0.2));
      CHECK(Share.lentPart(FullAt + 2s) == 0);
    }
  }
  SECTION("does not lend its floor to other data centres") {
    Share.setFloor(0.1, Start);
    CHECK(Share.lend(1000, 0, false, Start + 30s).Tokens_ == Approx(500));
  }
  SECTION("limits loans to the end of its lease") {
    CHECK(Share.lend(10, 0, true, Start + Term - 100ms).Term_ == 100ms);
  }
  SECTION("accepts refunds up to its capacity") {
    REQUIRE(Share.spend(400, Start + 30s));
    Share.refund(450, Start + 30s);
    CHECK(Share.balance(Start + 30s) == Approx(500));
    CHECK(Share.lostTokens() == Approx(50));
  }
  SECTION("reports the time until tokens are available, if they ever are") {
    CHECK(Share.waitFor(100, Start) >= 2s);
    CHECK(Share.waitFor(100, Start) < 2100ms);
    CHECK(Share.waitFor(501, Start) == Duration::max());
  }
  SECTION("loses tokens above a lowered burst") {
    Share.balance(Start + 30s);
    Share.setLimits(100, 100, Start + 30s);
    CHECK(Share.balance(Start + 30s) == Approx(50));
  }
}

static void renewLease(QuotaLeaseHolder &Holder, QuotaLeases &Row,
                       TimePoint Now) {
  QuotaLeaseRequest Request = Holder.nextRequest(Now);
  Holder.applyReply(Request, applyQuotaLeaseRequest(Row, Request, 0), Now, Now);
}

TEST_CASE("quota leases", "[rate-limit]") {
  QuotaLeases Row;
  QuotaLeaseHolder First(Timing, Term, LongTerm, "vm-1", "bilbao", "a", Start);
  renewLease(First, Row, Start);
  REQUIRE(First.leased(Start));
  std::string Lease = First.lease();
  SECTION("a restarted VM waits until its earlier loans have ended") {
    QuotaLeaseHolder Second(Timing, Term, LongTerm, "vm-1", "bilbao", "b",
                            Start + 5s);
    renewLease(Second, Row, Start + 5s);
    renewLease(Second, Row, Start + 6s);
    CHECK_FALSE(Second.leased(Start + 6s));
    renewLease(Second, Row, Start + 6250ms);
    CHECK(Second.leased(Start + 6250ms));
    CHECK_FALSE(liveQuotaLeases(Row).contains(Lease));
  }
  SECTION("an observer waits for a whole term by its own clock") {
    QuotaLeaseWatch Watch(Term, LongTerm, 2s);
    TimePoint ObserverStart{5s};
    Row["vm-2"] = {"own", 1, false, 3, 0};
    Row["vm-1"].SeenVersion_ = 4;
    TimePoint ExpiredAt = ObserverStart + Term + Term / 250 + 2s;
    CHECK(Watch.observe(Row, 4, "own", ObserverStart).empty());
    CHECK(Watch.observe(Row, 4, "own", ObserverStart + Term).empty());
    SECTION("and ends a lease that was not renewed") {
      REQUIRE(Watch.observe(Row, 4, "own", ExpiredAt).size() == 1);
      SECTION("and then makes no promise until the row has changed") {
        CHECK_FALSE(Watch.promise("vm-1", ExpiredAt));
        Watch.observe(Row, 5, "own", ExpiredAt);
        CHECK_FALSE(Watch.promise("vm-1", ExpiredAt));
      }
    }
    SECTION("and restarts the wait after a renewal") {
      renewLease(First, Row, Start + 30s);
      CHECK(Watch.observe(Row, 5, "own", ExpiredAt).empty());
    }
    SECTION("and restarts the wait after a promise") {
      REQUIRE(Watch.promise("vm-1", ObserverStart + 30s));
      CHECK(Watch.observe(Row, 4, "own", ExpiredAt).empty());
    }
    SECTION("and for the long term if the lease holder may not have seen it") {
      Row["vm-1"].SeenVersion_ = 3;
      CHECK(Watch.observe(Row, 4, "own", ExpiredAt).empty());
      TimePoint LongExpiredAt = ObserverStart + LongTerm + LongTerm / 250 + 2s;
      CHECK(Watch.observe(Row, 4, "own", LongExpiredAt).size() == 1);
    }
  }
  SECTION("promises extend a lease up to the long term") {
    First.extendByPromises(Lease, Start + 50s, Start + 51s);
    CHECK(First.leaseEnd() == Start + 50s + Term);
    for (Duration At = 100s; At < 700s; At += 50s)
      First.extendByPromises(Lease, Start + At, Start + At);
    CHECK(First.leaseEnd() == Start + LongTerm);
  }
  SECTION("the term starts when the renewal was sent") {
    QuotaLeaseRequest Request = First.nextRequest(Start + 10s);
    auto Reply = applyQuotaLeaseRequest(Row, Request, 0);
    First.applyReply(Request, Reply, Start + 10s, Start + 40s);
    CHECK(First.leaseEnd() == Start + 10s + Term);
  }
  SECTION("duplicate and late requests have no effect") {
    QuotaLeaseRequest Request = First.nextRequest(Start + 10s);
    CHECK(applyQuotaLeaseRequest(Row, Request, 0).Accepted_);
    CHECK_FALSE(applyQuotaLeaseRequest(Row, Request, 0).Accepted_);
    Row["vm-1"].Ended_ = true;
    CHECK_FALSE(applyQuotaLeaseRequest(Row, First.nextRequest(Start + 20s), 0)
                    .Accepted_);
  }
}

TEST_CASE("allocated parts in a customer's row", "[rate-limit]") {
  QuotaLeases Leases;
  QuotaLeaseHolder First(Timing, Term, LongTerm, "vm-1", "bilbao", "a", Start);
  QuotaLeaseHolder Second(Timing, Term, LongTerm, "vm-2", "bilbao", "b", Start);
  renewLease(First, Leases, Start);
  renewLease(Second, Leases, Start);
  auto LiveLeases = liveQuotaLeases(Leases);
  QuotaShare &FirstShare = First.share(Customer, 100, 1000, Start);
  QuotaShare &SecondShare = Second.share(Customer, 100, 1000, Start);
  auto Creation = First.planEdit(Customer, {}, 0, LiveLeases, 10, 0.1, Start);
  REQUIRE(Creation);
  SECTION("the first VM gets half of a new quota, with its tokens") {
    First.finishEdit(*Creation, QuotaEditResult::Committed, Start);
    CHECK(FirstShare.balance(Start) == Approx(450));
    SECTION("and the next VM gets the rest") {
      auto Next = Second.planEdit(Customer, Creation->Row_, 1, LiveLeases, 10,
                                  0.1, Start);
      REQUIRE(Next);
      Second.finishEdit(*Next, QuotaEditResult::Committed, Start);
      CHECK(SecondShare.balance(Start) == Approx(450));
      CHECK(Next->Row_.UnissuedPart_ == Approx(0));
    }
    SECTION("the part of an ended lease is reassigned without tokens") {
      LiveLeases.erase(First.lease());
      auto Released = Creation->Row_;
      Released.UnissuedPart_ = 0;
      auto Next =
          Second.planEdit(Customer, Released, 1, LiveLeases, 10, 0.1, Start);
      REQUIRE(Next);
      Second.finishEdit(*Next, QuotaEditResult::Committed, Start);
      CHECK(SecondShare.part() == Approx(0.9));
      CHECK(SecondShare.balance(Start) == 0);
    }
    SECTION("a part that covers loans is not given up") {
      auto Changed = Creation->Row_;
      Changed.ByLease_[Second.lease()] = {0.1, 90, 1, "vm-2", "bilbao"};
      REQUIRE(FirstShare.lend(300, 0, true, Start).Tokens_ == Approx(300));
      auto Next =
          First.planEdit(Customer, Changed, 2, LiveLeases, 10, 0.1, Start);
      REQUIRE(Next);
      CHECK(FirstShare.part() == Approx(0.3));
    }
    SECTION("a part is reduced locally before the write") {
      auto Changed = Creation->Row_;
      Changed.ByLease_[Second.lease()] = {0.1, 90, 1, "vm-2", "bilbao"};
      auto Next =
          First.planEdit(Customer, Changed, 2, LiveLeases, 10, 0.1, Start);
      REQUIRE(Next);
      // The base demand of a thousandth of a token per second is added for
      // every VM.
      double Fair = 0.9 * 10.001 / 100.002;
      CHECK(FirstShare.part() == Approx(Fair));
      SECTION("and stays reduced while the result of the write is unknown") {
        First.finishEdit(*Next, QuotaEditResult::Unknown, Start);
        First.observeRow(Customer, Changed, 2, Start);
        CHECK(FirstShare.part() == Approx(Fair));
        First.observeRow(Customer, Changed, 3, Start);
        CHECK(FirstShare.part() == Approx(0.45));
      }
    }
  }
  SECTION("burst tokens are issued once if the reply is lost") {
    First.finishEdit(*Creation, QuotaEditResult::Unknown, Start);
    CHECK(FirstShare.balance(Start) == 0);
    First.observeRow(Customer, Creation->Row_, 1, Start);
    CHECK(FirstShare.balance(Start) == Approx(450));
    REQUIRE(FirstShare.spend(450, Start));
    First.observeRow(Customer, Creation->Row_, 1, Start);
    CHECK(FirstShare.balance(Start) == 0);
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
      renewLease(Holders_.back(), Leases_, Start);
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
      int BestLender = (Vm + 1) % Vms;
      for (int Other = 0; Other < Vms; ++Other)
        if (Other != Vm && share(Other, Now).balance(Now) >
                               share(BestLender, Now).balance(Now))
          BestLender = Other;
      auto Loan = share(BestLender, Now).lend(Missing, 200, true, Now);
      share(Vm, Now).borrow(Loan, Now, Now);
    }
    if (!share(Vm, Now).spend(Cost, Now))
      ++RefusedByShares_;
  }

  /// Refreshes the customer's row from one VM.
  void refresh(int Vm, TimePoint Now) {
    share(Vm, Now);
    Holders_[Vm].observeRow(Customer, Row_, Version_, Now);
    auto Edit =
        Holders_[Vm].planEdit(Customer, Row_, Version_,
                              liveQuotaLeases(Leases_), Demand_[Vm], 0.05, Now);
    Demand_[Vm] *= 0.9;
    if (!Edit)
      return;
    Row_ = Edit->Row_;
    ++Version_;
    Holders_[Vm].finishEdit(*Edit, QuotaEditResult::Committed, Now);
  }

  QuotaLeases Leases_;
  QuotaAllocations Row_;
  std::uint64_t Version_ = 0;
  std::vector<QuotaLeaseHolder> Holders_;
  std::vector<TokenBucket> Fixed_;
  double Demand_[Vms] = {};
  int Requests_ = 0;
  int RefusedByFixed_ = 0;
  int RefusedByShares_ = 0;
};

TEST_CASE("refusals of a customer within its rate", "[rate-limit]") {
  SkewedFleet Fleet;
  // 80% of the rate, through another VM every ten seconds.
  constexpr Duration RequestInterval = 25ms;
  for (int Step = 0; Step < 2000; ++Step) {
    TimePoint Now = Start + Step * RequestInterval;
    if (Step % 8 == 0)
      Fleet.refresh(Step / 8 % SkewedFleet::Vms, Now);
    Fleet.request(Step / 400 % SkewedFleet::Vms, Now);
  }
  std::cout << "requests refused although within the rate, of "
            << Fleet.Requests_ << ": fixed split " << Fleet.RefusedByFixed_
            << ", shares " << Fleet.RefusedByShares_ << "\n";
  CHECK(Fleet.RefusedByFixed_ > Fleet.Requests_ / 4);
  CHECK(Fleet.RefusedByShares_ <= Fleet.Requests_ / 50);
}

TEST_CASE("borrowing round through other VMs", "[rate-limit]") {
  QuotaBorrowRound Round({"vm-1", "vm-2", "vm-3", "vm-4"}, 90ms, Start);
  REQUIRE(Round.next(Start) == "vm-1");
  CHECK_FALSE(Round.next(Start + 1ms));
  CHECK_FALSE(Round.isOver(Start + 1ms));

  SECTION("tries the next VM if one lent too little") {
    Round.recordReply(true);
    CHECK(Round.next(Start + 1ms) == "vm-2");
  }
  SECTION("tries another VM in time if the first does not reply") {
    REQUIRE(Round.wakeAt() < Round.deadline());
    REQUIRE(Round.next(Round.wakeAt()) == "vm-2");
    CHECK_FALSE(Round.next(Start + 31ms));
    SECTION("and a third if the second has no tokens") {
      Round.recordReply(false);
      CHECK(Round.next(Start + 31ms) == "vm-3");
    }
    SECTION("or if that does not reply either, and no more VMs after it") {
      REQUIRE(Round.next(Round.wakeAt()) == "vm-3");
      CHECK(Round.wakeAt() == Round.deadline());
      CHECK_FALSE(Round.next(Start + 89ms));
      CHECK_FALSE(Round.isOver(Start + 89ms));
    }
  }
  SECTION("is over when three VMs had no tokens") {
    Round.recordReply(false);
    for (const char *Vm : {"vm-2", "vm-3"}) {
      REQUIRE(Round.next(Start + 1ms) == Vm);
      Round.recordReply(false);
    }
    CHECK(Round.isOver(Start + 1ms));
    CHECK_FALSE(Round.next(Start + 1ms));
  }
  SECTION("is over when the wait limit has passed") {
    CHECK_FALSE(Round.next(Round.deadline()));
    CHECK(Round.isOver(Round.deadline()));
  }
}
