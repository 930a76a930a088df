#include "Config/FreshnessEvidence.h"

#include "Kernel/Invariant.h"

#include <algorithm>

namespace anvil {

void FreshnessEvidence::note(std::uint64_t Revision, TimePoint At) {
  if (Revision <= Held_) {
    At_ = At_ ? std::max(*At_, At) : At;
    return;
  }
  if (!Pending_ || At > Pending_->At_)
    Pending_ = Statement{Revision, At};
}

void FreshnessEvidence::hold(std::uint64_t Revision) {
  checkInvariant(Revision >= Held_, "a VM went back to a lower revision");
  Held_ = Revision;
  if (!Pending_ || Pending_->Revision_ > Held_)
    return;
  Statement Usable = *Pending_;
  Pending_.reset();
  note(Usable.Revision_, Usable.At_);
}

} // namespace anvil
