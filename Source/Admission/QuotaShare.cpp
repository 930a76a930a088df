#include "Admission/QuotaShare.h"

#include "Kernel/Invariant.h"

#include <algorithm>

namespace anvil {

/// Tolerance for rounding errors of floating-point sums, in tokens.
static constexpr double RoundingTokens = 1e-6;

double QuotaShare::parts(TimePoint At) const {
  return Floor_ + (leased(At) ? Part_ : 0);
}

double QuotaShare::capacityAt(TimePoint At) const {
  double Own = Burst_ * parts(At);
  for (const Timed &Loan : Lent_)
    if (At < Loan.Until_)
      Own -= Loan.Tokens_;
  double Capacity = std::max(0.0, Own);
  for (const Timed &Loan : Borrowed_)
    if (At < Loan.Until_)
      Capacity += Loan.Tokens_;
  return Capacity;
}

void QuotaShare::cut(TimePoint At) {
  double Capacity = capacityAt(At);
  if (Balance_ <= Capacity)
    return;
  Lost_ += Balance_ - Capacity;
  Balance_ = Capacity;
}

TimePoint QuotaShare::nextChange(TimePoint Until) const {
  TimePoint Next = Until;
  auto Consider = [&](TimePoint At) {
    if (At > GrownAt_ && At < Next)
      Next = At;
  };
  Consider(From_);
  Consider(End_);
  for (const Timed &Loan : Lent_)
    Consider(Loan.Until_);
  for (const Timed &Loan : Borrowed_)
    Consider(Loan.Until_);
  return Next;
}

void QuotaShare::advance(TimePoint Now) {
  // Rate and capacity may change several times between the last update and
  // `Now`, so the balance is advanced step by step: it must not exceed the
  // capacity at any moment in between.
  while (GrownAt_ < Now) {
    TimePoint Next = nextChange(Now);
    // Reduces the rate so that a fast clock does not create extra tokens.
    double Rate = Rate_ * parts(GrownAt_) * (1 - Timing_.MaxDrift_);
    double Room = std::max(0.0, capacityAt(GrownAt_) - Balance_);
    Balance_ += std::min(Room, Rate * toSeconds(Next - GrownAt_));
    GrownAt_ = Next;
    cut(Next);
  }
  auto IsOver = [&](const Timed &Loan) { return Loan.Until_ <= Now; };
  std::erase_if(Lent_, IsOver);
  std::erase_if(Borrowed_, IsOver);
  checkInvariant(Balance_ >= -RoundingTokens &&
                     Balance_ <= capacityAt(GrownAt_) + RoundingTokens,
                 "a quota balance is outside its capacity");
}

void QuotaShare::setLimits(double RatePerSecond, double Burst, TimePoint Now) {
  advance(Now);
  Rate_ = RatePerSecond;
  Burst_ = Burst;
  cut(GrownAt_);
}

void QuotaShare::setFloor(double Part, TimePoint Now) {
  advance(Now);
  Floor_ = Part;
  cut(GrownAt_);
}

void QuotaShare::setPart(double Part, TimePoint Now) {
  advance(Now);
  Part_ = Part;
  cut(GrownAt_);
}

void QuotaShare::setLease(TimePoint From, TimePoint End, TimePoint Now) {
  advance(Now);
  From_ = From;
  End_ = End;
  cut(GrownAt_);
}

void QuotaShare::fill(double Part, TimePoint Now) {
  advance(Now);
  Balance_ += Part * Burst_;
  cut(GrownAt_);
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
  cut(GrownAt_);
}

QuotaLoan QuotaShare::lend(double Needed, double Wanted, bool WithFloor,
                           TimePoint Now) {
  advance(Now);
  QuotaLoan Loan;
  Loan.Term_ = Timing_.LoanTerm_;
  double Own = Burst_ * parts(GrownAt_);
  for (const Timed &Out : Lent_)
    Own -= Out.Tokens_;
  // Only own capacity is lent, so that every loan has exactly one lender.
  double Free = std::max(0.0, std::min(Balance_, Own));
  if (!WithFloor)
    Free = std::max(0.0, Free - Burst_ * Floor_);
  if (leased(GrownAt_)) {
    // The loan must end before the leased part can be assigned to another VM.
    Duration Left = End_ - GrownAt_;
    Loan.Term_ = std::min(Loan.Term_, Left);
  }
  Loan.Tokens_ = std::max(std::min(Needed, Free), std::min(Wanted, Free / 2));
  Loan.Tokens_ = std::max(0.0, Loan.Tokens_);
  if (Loan.Tokens_ <= 0)
    return {};
  Balance_ -= Loan.Tokens_;
  TimePoint Back = GrownAt_ + Loan.Term_ + Timing_.Margin_;
  Lent_.push_back({Loan.Tokens_, Back});
  return Loan;
}

void QuotaShare::borrow(const QuotaLoan &Loan, TimePoint Asked, TimePoint Now) {
  advance(Now);
  TimePoint Until = Asked + Loan.Term_;
  if (Until <= Now) {
    Lost_ += Loan.Tokens_;
    return;
  }
  Borrowed_.push_back({Loan.Tokens_, Until});
  Balance_ += Loan.Tokens_;
  cut(GrownAt_);
}

Duration QuotaShare::waitFor(double Tokens, TimePoint Now) {
  advance(Now);
  if (Tokens <= Balance_)
    return Duration::zero();
  double Rate = Rate_ * parts(GrownAt_);
  if (Tokens > capacityAt(GrownAt_) || Rate <= 0)
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
  return capacityAt(GrownAt_);
}

double QuotaShare::lentPart(TimePoint Now) {
  advance(Now);
  double Tokens = 0;
  for (const Timed &Loan : Lent_)
    Tokens += Loan.Tokens_;
  return Burst_ > 0 ? Tokens / Burst_ : 0;
}

} // namespace anvil
