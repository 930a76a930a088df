#ifndef ANVIL_ROUTING_RANDOMSELECTOR_H
#define ANVIL_ROUTING_RANDOMSELECTOR_H

#include "Requests/TargetSelector.h"

#include <random>

namespace anvil {

/// Whether the configuration allows the target to serve the request.
bool isEligible(const Target &Candidate, const RequestContext &Request);

/// Ranks the eligible targets in random order, those of the own data centre
/// first. It is the baseline for comparisons with `InformedSelector`.
class RandomSelector : public TargetSelector {
public:
  RandomSelector(std::string DataCentre, std::uint64_t Seed);

  std::vector<std::string> rank(const RequestContext &Request,
                                const std::set<std::string> &Excluded,
                                TimePoint Now) override;
  void recordAttempt(const RequestContext &, const Permit &, AttemptResult,
                     Duration, TimePoint) override {}
  bool allowRetry(const RequestContext &, TimePoint) override { return true; }

private:
  std::string DataCentre_;
  std::mt19937_64 Random_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_RANDOMSELECTOR_H
