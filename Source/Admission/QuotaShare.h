#ifndef ANVIL_ADMISSION_QUOTASHARE_H
#define ANVIL_ADMISSION_QUOTASHARE_H

#include "Kernel/Clock.h"

#include <vector>

namespace anvil {

/// Assumptions about the clocks and delays of other VMs.
struct QuotaTiming {
  /// How long the borrower may use lent tokens and their capacity.
  Duration LoanTerm_ = std::chrono::seconds(2);
  /// How much longer than the loan term the lender waits before it uses the
  /// capacity again.
  Duration Margin_ = std::chrono::milliseconds(500);
  /// The largest relative deviation of a clock from true time.
  double MaxDrift_ = 0.001;
};

/// Tokens and the capacity to hold them, lent for a limited time.
struct QuotaLoan {
  double Tokens_ = 0;
  Duration Term_{0};
};

/// One customer's tokens on one VM. The VM holds a leased part of the rate and
/// burst, a floor that needs no lease, a balance, and loans from and to other
/// VMs. As long as the parts of all VMs sum up to at most one, the VMs together
/// spend in any interval at most the burst plus the rate times the interval. A
/// loan transfers its capacity too, so that the lender's balance cannot refill
/// while the lent tokens still exist elsewhere.
class QuotaShare {
public:
  QuotaShare(QuotaTiming Timing, TimePoint Now)
      : Timing_(Timing), UpdatedAt_(Now) {}

  /// Sets the customer's rate and burst over all VMs. Tokens above the new
  /// capacity are lost; an increase adds no tokens.
  void setLimits(double RatePerSecond, double Burst, TimePoint Now);

  /// Sets the part of rate and burst that this VM has without a lease.
  void setFloor(double Part, TimePoint Now);

  /// Sets the part of rate and burst that this VM holds by its lease.
  void setPart(double Part, TimePoint Now);

  /// Makes the leased part usable from `Start` until `End`, by this VM's own
  /// clock.
  void setLease(TimePoint Start, TimePoint End, TimePoint Now);

  /// Adds the tokens of a part of the burst that no VM has been issued since
  /// the quota was created.
  void creditBurst(double Part, TimePoint Now);

  /// Takes the tokens if the balance covers them, after checking the lease.
  bool spend(double Tokens, TimePoint Now);

  /// Returns tokens that a request was charged for and did not use. Tokens
  /// above the capacity are lost.
  void refund(double Tokens, TimePoint Now);

  /// Lends tokens to another VM: the amount it needs, and up to half of the
  /// balance towards the amount it would like to have. The floor is lent only
  /// to VMs of the same data centre. The tokens are debited when this returns.
  QuotaLoan lend(double Needed, double Desired, bool WithFloor, TimePoint Now);

  /// Adds a loan that was requested at `RequestedAt`.
  void borrow(const QuotaLoan &Loan, TimePoint RequestedAt, TimePoint Now);

  /// The time until the tokens are available without a loan; Duration::max() if
  /// the capacity on this VM is too small for them.
  Duration waitFor(double Tokens, TimePoint Now);

  double balance(TimePoint Now);
  double capacity(TimePoint Now);
  double part() const { return Part_; }
  double burst() const { return Burst_; }

  /// The smallest part that covers the outstanding loans.
  double lentPart(TimePoint Now);

  /// Tokens lost so far: refunds and reductions above the capacity, and loans
  /// that expired unused.
  double lostTokens() const { return Lost_; }

private:
  /// Capacity that is lent or borrowed until a time.
  struct LoanedCapacity {
    double Tokens_;
    TimePoint Until_;
  };

  void advance(TimePoint Now);
  TimePoint nextChange(TimePoint Until) const;
  bool leased(TimePoint At) const {
    return At >= LeaseStart_ && At < LeaseEnd_;
  }
  double activePart(TimePoint At) const;
  double capacityAt(TimePoint At) const;
  void trimToCapacity(TimePoint At);

  QuotaTiming Timing_;
  double Rate_ = 0;
  double Burst_ = 0;
  double Floor_ = 0;
  double Part_ = 0;
  double Balance_ = 0;
  double Lost_ = 0;
  TimePoint LeaseStart_{};
  TimePoint LeaseEnd_{};
  TimePoint UpdatedAt_;
  std::vector<LoanedCapacity> Lent_;
  std::vector<LoanedCapacity> Borrowed_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTASHARE_H
