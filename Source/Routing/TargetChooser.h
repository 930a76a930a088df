#ifndef ANVIL_ROUTING_TARGETCHOOSER_H
#define ANVIL_ROUTING_TARGETCHOOSER_H

#include "Routing/OutlierEjector.h"
#include "Routing/PrefixCache.h"
#include "Routing/TargetDirectory.h"
#include "Routing/TargetIndex.h"
#include "Routing/TargetLoad.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace anvil {

/// Costs and bonuses of a candidate, in requests per slot.
struct ChooserOptions {
  /// The adapter has to be loaded first.
  double ColdCost_ = 2;
  /// The target is in a remote data centre. Less than the cost of a load, so
  /// that an adapter which is resident there is used there.
  double RemoteCost_ = 1;
  /// The target ran the prompt's prefix last.
  double WarmPrefixBonus_ = 0.5;
  /// The target is first in the rendezvous order of the prompt's prefix.
  double PrefixRankBonus_ = 0.25;
  /// The target's ejection time is over and it needs a request as a probe.
  double ProbeBonus_ = 0.5;
  /// Each rank down the rendezvous order of an adapter that is not resident.
  double RankCost_ = 0.25;
  /// The target has no free adapter slot.
  double FullCost_ = 0.5;
  /// The most targets that `rank` returns.
  std::size_t MaxCandidates_ = 6;
};

/// The state that a ranking is based on.
struct ChoiceInputs {
  const TargetGroup &Group_;
  const std::set<std::string> &Excluded_;
  const TargetDirectory &Directory_;
  const TargetLoad &Load_;
  const OutlierEjector &Ejector_;
  const PrefixCache &Prefixes_;
  /// Whether a target crashed while it ran the request.
  bool Suspect_ = false;
  std::uint64_t Random_ = 0;
  TimePoint Now_{};
};

/// Ranks the targets of a group for one request. Where the adapter is resident
/// it takes the better of two random choices, so that many VMs with the same
/// stale report don't all choose one target. A cold adapter goes to the first
/// target of its rendezvous order that has room, so that its loads coalesce.
class TargetChooser {
public:
  TargetChooser(std::string DataCentre, ChooserOptions Options)
      : DataCentre_(std::move(DataCentre)), Options_(Options) {}

  /// The best targets, best first.
  std::vector<std::string> rank(const RequestContext &Request,
                                const ChoiceInputs &Inputs) const;

  /// The key of a prompt's prefix, together with its adapter, in
  /// `PrefixCache`.
  static std::uint64_t prefixKey(const RequestContext &Request);

private:
  struct Candidate {
    const TargetEntry *Entry_ = nullptr;
    double Cost_ = 0;
    bool Resident_ = false;
    bool Healthy_ = true;
    std::uint64_t RendezvousScore_ = 0;
  };

  Candidate score(const TargetEntry &Entry, const RequestContext &Request,
                  const ChoiceInputs &Inputs) const;
  void addCandidates(std::vector<Candidate> &Scored,
                     const std::vector<TargetEntry> &Entries,
                     const RequestContext &Request,
                     const ChoiceInputs &Inputs) const;
  void preferWarmPrefix(std::vector<Candidate> &Added,
                        const RequestContext &Request,
                        const ChoiceInputs &Inputs) const;
  void spread(std::vector<Candidate> &Scored, std::uint64_t Random) const;

  std::string DataCentre_;
  ChooserOptions Options_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_TARGETCHOOSER_H
