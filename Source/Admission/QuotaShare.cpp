#include "Admission/QuotaShare.h"

#include "Kernel/Invariant.h"

#include <algorithm>

namespace anvil {

/// Tolerance for rounding errors of floating-point sums, in tokens.
static constexpr double TokenTolerance = 1e-6;

double QuotaShare::activePart(TimePoint At) const {
  return Floor_ + (leased(At) ? Part_ : 0);
}

double QuotaShare::capacityAt(TimePoint At) const {
  double Own = Burst_ * activePart(At);
  for (const LoanedCapacity &Loan : Lent_)
    if (At < Loan.Until_)
      Own -= Loan.Tokens_;
  double Capacity = std::max(0.0, Own);
  for (const LoanedCapacity &Loan : Borrowed_)
    if (At < Loan.Until_)
      Capacity += Loan.Tokens_;
  return Capacity;
}

void QuotaShare::trimToCapacity(TimePoint At) {
  double Capacity = capacityAt(At);
  if (Balance_ <= Capacity)
    return;
  Lost_ += Balance_ - Capacity;
  Balance_ = Capacity;
}

TimePoint QuotaShare::nextChange(TimePoint Until) const {
  TimePoint Next = Until;
  auto Consider = [&](TimePoint At) {
    if (At > UpdatedAt_ && At < Next)
      Next = At;
  };
  Consider(LeaseStart_);
  Consider(LeaseEnd_);
  for (const LoanedCapacity &Loan : Lent_)
    Consider(Loan.Until_);
  for (const LoanedCapacity &Loan : Borrowed_)
    Consider(Loan.Until_);
  return Next;
}

void QuotaShare::advance(TimePoint Now) {
  // Rate and capacity may change several times between the last update and
  // `Now`, so the balance is advanced step by step: it must not exceed the
  // capacity at any moment in between.
  while (UpdatedAt_ < Now) {
    TimePoint Next = nextChange(Now);
    // Reduces the rate so that a fast clock does not create extra tokens.
    double Rate = Rate_ * activePart(UpdatedAt_) * (1 - Timing_.MaxDrift_);
    double Headroom = std::max(0.0, capacityAt(UpdatedAt_) - Balance_);
    Balance_ += std::min(Headroom, Rate * toSeconds(Next - UpdatedAt_));
    UpdatedAt_ = Next;
    trimToCapacity(Next);
  }
  auto HasEnded = [&](const LoanedCapacity &Loan) {
    return Loan.Until_ <= Now;
  };
  std::erase_if(Lent_, HasEnded);
  std::erase_if(Borrowed_, HasEnded);
  checkInvariant(Balance_ >= -TokenTolerance &&
                     Balance_ <= capacityAt(UpdatedAt_) + TokenTolerance,
                 "a quota balance is outside its capacity");
}

void QuotaShare::setLimits(double RatePerSecond, double Burst, TimePoint Now) {
  advance(Now);
  Rate_ = RatePerSecond;
  Burst_ = Burst;
  trimToCapacity(UpdatedAt_);
}

void QuotaShare::setFloor(double Part, TimePoint Now) {
  advance(Now);
  Floor_ = Part;
  trimToCapacity(UpdatedAt_);
}

void QuotaShare::setPart(double Part, TimePoint Now) {
  advance(Now);
  Part_ = Part;
  trimToCapacity(UpdatedAt_);
}

void QuotaShare::setLease(TimePoint Start, TimePoint End, TimePoint Now) {
  advance(Now);
  LeaseStart_ = Start;
  LeaseEnd_ = End;
  trimToCapacity(UpdatedAt_);
}

void QuotaShare::creditBurst(double Part, TimePoint Now) {
  advance(Now);
  Balance_ += Part * Burst_;
  trimToCapacity(UpdatedAt_);
}

bool QuotaShare::spend(double Tokens, TimePoint Now) {
  advance(Now);
  if (Tokens > Balance_)
    return false;
  Balance_ -= Tokens;
  return true;
}

void QuotaShare::refund(double Tokens, TimePoint Now) {
  advance(Now);
  Balance_ += std::max(0.0, Tokens);
  trimToCapacity(UpdatedAt_);
}

QuotaLoan QuotaShare::lend(double Needed, double Desired, bool WithFloor,
                           TimePoint Now) {
  advance(Now);
  QuotaLoan Loan;
  Loan.Term_ = Timing_.LoanTerm_;
  double Own = Burst_ * activePart(UpdatedAt_);
  for (const LoanedCapacity &Outstanding : Lent_)
    Own -= Outstanding.Tokens_;
  // Only own capacity is lent, so that every loan has exactly one lender.
  double Free = std::max(0.0, std::min(Balance_, Own));
  if (!WithFloor)
    Free = std::max(0.0, Free - Burst_ * Floor_);
  if (leased(UpdatedAt_)) {
    // The loan must end before the leased part can be assigned to another VM.
    Duration Remaining = LeaseEnd_ - UpdatedAt_;
    Loan.Term_ = std::min(Loan.Term_, Remaining);
  }
  Loan.Tokens_ = std::max(std::min(Needed, Free), std::min(Desired, Free / 2));
  Loan.Tokens_ = std::max(0.0, Loan.Tokens_);
  if (Loan.Tokens_ <= 0)
    return {};
  Balance_ -= Loan.Tokens_;
  TimePoint ReturnedAt = UpdatedAt_ + Loan.Term_ + Timing_.Margin_;
  Lent_.push_back({Loan.Tokens_, ReturnedAt});
  return Loan;
}

void QuotaShare::borrow(const QuotaLoan &Loan, TimePoint RequestedAt,
                        TimePoint Now) {
  advance(Now);
  TimePoint Until = RequestedAt + Loan.Term_;
  if (Until <= Now) {
    Lost_ += Loan.Tokens_;
    return;
  }
  Borrowed_.push_back({Loan.Tokens_, Until});
  Balance_ += Loan.Tokens_;
  trimToCapacity(UpdatedAt_);
}

Duration QuotaShare::waitFor(double Tokens, TimePoint Now) {
  advance(Now);
  if (Tokens <= Balance_)
    return Duration::zero();
  double Rate = Rate_ * activePart(UpdatedAt_);
  if (Tokens > capacityAt(UpdatedAt_) || Rate <= 0)
    return Duration::max();
  double Seconds = (Tokens - Balance_) / Rate;
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(Seconds));
}

double QuotaShare::balance(TimePoint Now) {
  advance(Now);
  return Balance_;
}

double QuotaShare::capacity(TimePoint Now) {
  advance(Now);
  return capacityAt(UpdatedAt_);
}

double QuotaShare::lentPart(TimePoint Now) {
  advance(Now);
  double Tokens = 0;
  for (const LoanedCapacity &Loan : Lent_)
    Tokens += Loan.Tokens_;
  return Burst_ > 0 ? Tokens / Burst_ : 0;
}

} // namespace anvil
