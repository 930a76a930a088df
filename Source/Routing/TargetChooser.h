#ifndef ANVIL_ROUTING_TARGETCHOOSER_H
#define ANVIL_ROUTING_TARGETCHOOSER_H

#include "Routing/OutlierEjector.h"
#include "Routing/PrefixMemory.h"
#include "Routing/TargetDirectory.h"
#include "Routing/TargetIndex.h"
#include "Routing/TargetLoad.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace anvil {

/// How much each point weighs, in requests a slot.
struct ChooserOptions {
  /// An adapter that has to be loaded first.
  double ColdCost_ = 2;
  /// A target of another data centre. Below the cost of a load, an adapter that
  /// is resident there is used there.
  double FarCost_ = 1;
  /// A prompt whose beginning ran there last.
  double WarmGain_ = 0.5;
  /// The first of a prompt beginning's rendezvous order.
  double PrefixOrderGain_ = 0.25;
  /// A target whose ejection is over and that needs a request to try it.
  double ProbeGain_ = 0.5;
  /// Each place down the rendezvous order of a cold adapter.
  double OrderCost_ = 0.25;
  /// A target without room for one more adapter.
  double FullCost_ = 0.5;
  /// The most targets that `rank` gives.
  std::size_t MostCandidates_ = 6;
};

/// What a choice goes by.
struct ChoiceInputs {
  const TargetGroup &Group_;
  const std::set<std::string> &Excluded_;
  const TargetDirectory &Directory_;
  const TargetLoad &Load_;
  const OutlierEjector &Ejector_;
  const PrefixMemory &Prefixes_;
  /// Whether a target has crashed under the request.
  bool Suspect_ = false;
  std::uint64_t Random_ = 0;
  TimePoint Now_{};
};

/// Orders the targets of a group for one request. Where the adapter is resident
/// it takes the better of two drawn at random, so that many VMs that see the
/// same old report don't all go to one target. A cold adapter goes to the first
/// of its rendezvous order that has room, so that its loads coalesce.
class TargetChooser {
public:
  TargetChooser(std::string DataCentre, ChooserOptions Options)
      : DataCentre_(std::move(DataCentre)), Options_(Options) {}

  /// The best targets, best first.
  std::vector<std::string> rank(const RequestContext &Request,
                                const ChoiceInputs &Inputs) const;

  /// Under which number a prompt's beginning is remembered.
  static std::uint64_t prefixKey(const RequestContext &Request);

private:
  struct Candidate {
    const TargetEntry *Entry_ = nullptr;
    double Cost_ = 0;
    bool Resident_ = false;
    bool Healthy_ = true;
    std::uint64_t Order_ = 0;
  };

  Candidate score(const TargetEntry &Entry, const RequestContext &Request,
                  const ChoiceInputs &Inputs) const;
  void addPart(std::vector<Candidate> &Scored,
               const std::vector<TargetEntry> &Entries,
               const RequestContext &Request, const ChoiceInputs &Inputs) const;
  void preferWarm(std::vector<Candidate> &Part, const RequestContext &Request,
                  const ChoiceInputs &Inputs) const;
  void spread(std::vector<Candidate> &Scored, std::uint64_t Random) const;

  std::string DataCentre_;
  ChooserOptions Options_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_TARGETCHOOSER_H
