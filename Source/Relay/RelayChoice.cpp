#include "Relay/RelayChoice.h"

#include <algorithm>
#include <tuple>

namespace anvil {

/// VMs whose numbers of connections differ by less than this are equals.
static constexpr std::size_t OpenStep = 4;

std::vector<std::string>
RelayChoice::order(const std::vector<RelayCandidate> &Candidates,
                   const std::vector<double> &Random, TimePoint Now) const {
  using Place = std::tuple<bool, bool, std::size_t, double, std::size_t>;
  std::vector<Place> Places;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    auto Known = Vms_.find(Candidates[Index].Vm_);
    bool IsLastResort =
        Known != Vms_.end() && Known->second.LastResortUntil_ > Now;
    std::size_t Open = Known == Vms_.end() ? 0 : Known->second.Open_;
    double Number = Index < Random.size() ? Random[Index] : 0;
    Places.emplace_back(IsLastResort, !Candidates[Index].SameDataCentre_,
                        Open / OpenStep, Number, Index);
  }
  std::ranges::sort(Places);
  if (Places.size() > Options_.MaxAsked_)
    Places.resize(Options_.MaxAsked_);
  std::vector<std::string> Ordered;
  for (const Place &Chosen : Places)
    Ordered.push_back(Candidates[std::get<4>(Chosen)].Vm_);
  return Ordered;
}

void RelayChoice::recordOpened(const std::string &Vm) {
  KnownVm &Known = Vms_[Vm];
  ++Known.Open_;
  Known.LastResortUntil_ = {};
}

void RelayChoice::recordRefused(const std::string &Vm, RelayRefusal Why,
                                TimePoint Now) {
  std::erase_if(Vms_, [&](const auto &Entry) {
    return Entry.second.Open_ == 0 && Entry.second.LastResortUntil_ <= Now;
  });
  bool IsUnreached = Why == RelayRefusal::Unreached;
  Vms_[Vm].LastResortUntil_ =
      Now + (IsUnreached ? Options_.UnreachedTime_ : Options_.RefusalTime_);
}

void RelayChoice::recordClosed(const std::string &Vm) {
  auto Found = Vms_.find(Vm);
  if (Found != Vms_.end() && Found->second.Open_ > 0)
    --Found->second.Open_;
}

} // namespace anvil
