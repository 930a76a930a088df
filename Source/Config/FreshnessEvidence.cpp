#include "Config/FreshnessEvidence.h"

#include "Kernel/Invariant.h"

#include <algorithm>

namespace anvil {

void FreshnessEvidence::add(std::uint64_t Revision, TimePoint At) {
  if (Revision <= HeldRevision_) {
    At_ = At_ ? std::max(*At_, At) : At;
    return;
  }
  if (!Pending_ || At > Pending_->At_)
    Pending_ = Statement{Revision, At};
}

void FreshnessEvidence::advanceTo(std::uint64_t Revision) {
  checkInvariant(Revision >= HeldRevision_,
                 "a VM returned to a lower revision");
  HeldRevision_ = Revision;
  if (!Pending_ || Pending_->Revision_ > HeldRevision_)
    return;
  Statement Usable = *Pending_;
  Pending_.reset();
  add(Usable.Revision_, Usable.At_);
}

} // namespace anvil
