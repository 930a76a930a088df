#include "Routing/RandomSelector.h"

#include <algorithm>

namespace anvil {

bool isEligible(const Target &Candidate, const RequestContext &Request) {
  if (Candidate.Leaving_)
    return false;
  if (!Request.Service_.empty())
    return Candidate.TargetKind_ == TargetKind::Service &&
           Candidate.Service_ == Request.Service_;
  return Candidate.TargetKind_ == TargetKind::Engine &&
         Candidate.Pool_ == Request.Pool_ &&
         Candidate.BaseModel_ == Request.BaseModel_;
}

RandomSelector::RandomSelector(std::string DataCentre, std::uint64_t Seed)
    : DataCentre_(std::move(DataCentre)), Random_(Seed) {}

std::vector<std::string>
RandomSelector::rank(const RequestContext &Request,
                     const std::set<std::string> &Excluded, TimePoint) {
  std::vector<std::string> Local;
  std::vector<std::string> Remote;
  for (const auto &[Name, Candidate] :
       Request.Snapshot_->Objects_.all<Target>()) {
    if (Excluded.count(Name) || !isEligible(Candidate, Request))
      continue;
    (Candidate.DataCentre_ == DataCentre_ ? Local : Remote).push_back(Name);
  }
  std::ranges::shuffle(Local, Random_);
  std::ranges::shuffle(Remote, Random_);
  Local.insert(Local.end(), Remote.begin(), Remote.end());
  return Local;
}

} // namespace anvil
