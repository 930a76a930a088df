#ifndef ANVIL_ADMISSION_QUOTASHARE_H
#define ANVIL_ADMISSION_QUOTASHARE_H

#include "Kernel/Clock.h"

#include <vector>

namespace anvil {

/// What a VM may count on when it computes with another VM's clock.
struct QuotaTiming {
  /// How long lent tokens and their capacity may be used by the borrower.
  Duration LoanTerm_ = std::chrono::seconds(2);
  /// How much longer the giver waits than the borrower may use the loan.
  Duration Margin_ = std::chrono::milliseconds(500);
  /// The most by which a clock's speed differs from true time.
  double MaxDrift_ = 0.001;
};

/// Tokens and the capacity to hold them, passed on for a while.
struct QuotaLoan {
  double Tokens_ = 0;
  Duration Term_{0};
};

/// One customer's tokens on one VM. The VM holds a leased part of the rate and
/// burst, a floor that needs no lease, a balance, and loans from and to other
/// VMs. As long as the parts of all VMs sum up to at most one, the VMs together
/// spend in any interval at most the burst and what the rate gives in it. A
/// loan takes its capacity along, so that the giver's balance can't grow into
/// the room of tokens that still exist elsewhere.
class QuotaShare {
public:
  QuotaShare(QuotaTiming Timing, TimePoint Now)
      : Timing_(Timing), GrownAt_(Now) {}

  /// Takes over the customer's rate and burst over all VMs. What the balance
  /// exceeds the new capacity by is lost; a rise adds no tokens.
  void setLimits(double RatePerSecond, double Burst, TimePoint Now);

  /// The part of rate and burst that this VM has without a lease.
  void setFloor(double Part, TimePoint Now);

  /// The part of rate and burst that this VM holds by its lease.
  void setPart(double Part, TimePoint Now);

  /// The leased part counts from `From` until `End`, by this VM's own clock.
  void setLease(TimePoint From, TimePoint End, TimePoint Now);

  /// Adds the tokens of a part of the burst that nobody has had since the quota
  /// was created.
  void fill(double Part, TimePoint Now);

  /// Takes the tokens if they are there; the lease is checked on the way.
  bool spend(double Tokens, TimePoint Now);

  /// Puts back what a request was charged and didn't use. What exceeds the
  /// capacity is lost.
  void refund(double Tokens, TimePoint Now);

  /// Takes tokens out for another VM: what the asker needs, and up to half of
  /// the balance towards what it would like. The floor goes only to VMs of the
  /// same data centre. The tokens are debited when this returns.
  QuotaLoan lend(double Needed, double Wanted, bool WithFloor, TimePoint Now);

  /// Takes in a loan that was asked for at `Asked`.
  void borrow(const QuotaLoan &Loan, TimePoint Asked, TimePoint Now);

  /// How long until the tokens are there without help; the longest duration
  /// if the capacity on this VM is too small for them.
  Duration waitFor(double Tokens, TimePoint Now);

  double balance(TimePoint Now);
  double capacity(TimePoint Now);
  double part() const { return Part_; }
  double burst() const { return Burst_; }

  /// The smallest part that covers the loans that are still out.
  double lentPart(TimePoint Now);

  /// Tokens lost so far to refunds and cuts above the capacity and to loans
  /// that ended unused.
  double lost() const { return Lost_; }

private:
  /// Capacity that is here or away until a moment.
  struct Timed {
    double Tokens_;
    TimePoint Until_;
  };

  void advance(TimePoint Now);
  TimePoint nextChange(TimePoint Until) const;
  bool leased(TimePoint At) const { return At >= From_ && At < End_; }
  double parts(TimePoint At) const;
  double capacityAt(TimePoint At) const;
  void cut(TimePoint At);

  QuotaTiming Timing_;
  double Rate_ = 0;
  double Burst_ = 0;
  double Floor_ = 0;
  double Part_ = 0;
  double Balance_ = 0;
  double Lost_ = 0;
  TimePoint From_{};
  TimePoint End_{};
  TimePoint GrownAt_;
  std::vector<Timed> Lent_;
  std::vector<Timed> Borrowed_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTASHARE_H
