#include "Evacuation/ColdStarts.h"

#include <algorithm>

namespace anvil {

/// For how long the last statement of a warm target is kept, so that its
/// repetition isn't taken for a new one.
static constexpr Duration StatementRetention = std::chrono::seconds(60);

void ColdStarts::setPlan(const ServingPlan &Plan) {
  Plans_.clear();
  for (const auto &[Name, Service] : Plan.services())
    if (Service.ColdStart_)
      Plans_[Name] = *Service.ColdStart_;
}

const ColdStartPlan *ColdStarts::planOf(const std::string &Service) const {
  auto Found = Plans_.find(Service);
  return Found == Plans_.end() ? nullptr : &Found->second;
}

ColdStarts::Known *ColdStarts::knownOf(const RegisteredTarget &Target) {
  auto [Position, IsNew] = Targets_.try_emplace(Target.Id_);
  Known &Of = Position->second;
  if (!IsNew && Of.Incarnation_ > Target.Incarnation_)
    return nullptr;
  if (IsNew || Of.Incarnation_ < Target.Incarnation_) {
    Of = {};
    Of.Incarnation_ = Target.Incarnation_;
  }
  Of.Service_ = Target.Service_;
  return &Of;
}

void ColdStarts::applyStatement(Known &Of, Duration Remaining,
                                const ColdStartPlan &Plan, TimePoint Now) {
  if (Of.Stated_ != Remaining)
    Of.StatedSince_ = Now;
  Of.Stated_ = Remaining;
  Of.StatedAt_ = Now;
  Of.StatedUntil_ = std::min(Now + Remaining,
                             Of.StatedSince_ + Plan.Time_ * MaxStatedColdTimes);
}

std::optional<ColdChange> ColdStarts::report(const std::string &Target,
                                             Known &Of, ColdSign Sign,
                                             TimePoint Now) {
  bool IsCold = Of.until() > Now;
  if (std::exchange(Of.IsReported_, IsCold) == IsCold)
    return std::nullopt;
  ColdChange Change{Target, Of.Incarnation_, IsCold, Sign, {}, 0};
  if (IsCold) {
    Change.Remaining_ = Of.until() - Now;
    Change.RequestsPerSecond_ =
        rateOf(Target, Of.Incarnation_, Now).value_or(0);
  }
  return Change;
}

std::optional<ColdChange> ColdStarts::recordEntry(const RegisteredTarget &Entry,
                                                  bool IsNew, TimePoint Now) {
  const ColdStartPlan *Plan = planOf(Entry.Service_);
  bool IsCold = isCold(Entry);
  bool IsKnown = Targets_.contains(Entry.Id_);
  if (!Plan || (!IsNew && !IsCold && !IsKnown))
    return std::nullopt;
  Known *Of = knownOf(Entry);
  if (!Of)
    return std::nullopt;
  if (IsCold) {
    applyStatement(*Of, *Entry.ColdRemaining_, *Plan, Now);
    Of->setSign(ColdSign::Entry, Now);
  } else if (Entry.ColdRemaining_) {
    // An entry may be older than what the other signs showed, unless an entry
    // has said since then that the target is cold.
    bool EndsSign = Of->EntrySaidCold_ || Of->Sign_ == ColdSign::NewIncarnation;
    if (EndsSign)
      Of->endTimes();
    Of->EntrySaidCold_ = false;
  } else if (IsNew) {
    Of->AssumedUntil_ = Now + Plan->Time_;
    Of->setSign(ColdSign::NewIncarnation, Now);
  }
  return report(Entry.Id_, *Of, Of->Sign_, Now);
}

std::optional<ColdChange>
ColdStarts::recordReturn(const RegisteredTarget &Target, ColdSign Sign,
                         TimePoint Now) {
  const ColdStartPlan *Plan = planOf(Target.Service_);
  Known *Of = Plan ? knownOf(Target) : nullptr;
  if (!Of)
    return std::nullopt;
  Of->AssumedUntil_ = Now + Plan->Time_;
  Of->Stated_.reset();
  Of->setSign(Sign, Now);
  return report(Target.Id_, *Of, Sign, Now);
}

std::vector<ColdChange> ColdStarts::recordDataCentreReturned(
    const TargetRoster &Roster, const std::string &DataCentre, TimePoint Now) {
  std::vector<ColdChange> Changes;
  for (const auto &[Id, Listed] : Roster.all())
    if (Listed.Entry_.DataCentre_ == DataCentre)
      if (auto Change =
              recordReturn(Listed.Entry_, ColdSign::EvacuationEnd, Now))
        Changes.push_back(std::move(*Change));
  return Changes;
}

std::optional<ColdChange>
ColdStarts::recordResponse(const RegisteredTarget &Target, Duration Remaining,
                           TimePoint SentAt, TimePoint Now) {
  const ColdStartPlan *Plan = planOf(Target.Service_);
  bool IsCold = Remaining > Duration::zero();
  if (!Plan || (!IsCold && !Targets_.contains(Target.Id_)))
    return std::nullopt;
  Known *Of = knownOf(Target);
  if (!Of)
    return std::nullopt;
  if (IsCold) {
    applyStatement(*Of, Remaining, *Plan, Now);
    Of->setSign(ColdSign::Response, Now);
  } else if (SentAt > Of->SignAt_) {
    Of->endTimes();
  }
  return report(Target.Id_, *Of, ColdSign::Response, Now);
}

std::optional<double> ColdStarts::rateOf(const std::string &Target,
                                         std::int64_t Incarnation,
                                         TimePoint Now) const {
  if (remaining(Target, Incarnation, Now) <= Duration::zero())
    return std::nullopt;
  const ColdStartPlan *Plan = planOf(Targets_.at(Target).Service_);
  return Plan ? std::optional(Plan->RequestsPerSecond_) : std::nullopt;
}

Duration ColdStarts::remaining(const std::string &Target,
                               std::int64_t Incarnation, TimePoint Now) const {
  auto Found = Targets_.find(Target);
  bool IsKnown = Found != Targets_.end() &&
                 Found->second.Incarnation_ == Incarnation &&
                 planOf(Found->second.Service_);
  return IsKnown
             ? std::max<Duration>(Duration::zero(), Found->second.until() - Now)
             : Duration::zero();
}

bool ColdStarts::isKnown(const std::string &Target,
                         std::int64_t Incarnation) const {
  auto Found = Targets_.find(Target);
  return Found != Targets_.end() && Found->second.Incarnation_ >= Incarnation;
}

std::vector<ColdChange> ColdStarts::expire(TimePoint Now) {
  std::vector<ColdChange> Changes;
  for (auto &[Target, Of] : Targets_)
    if (Of.IsReported_)
      if (auto Change = report(Target, Of, ColdSign::Elapsed, Now))
        Changes.push_back(std::move(*Change));
  std::erase_if(Targets_, [&](const auto &Entry) {
    const Known &Of = Entry.second;
    bool IsNeeded = Of.Stated_ && Of.StatedAt_ + StatementRetention > Now;
    return Of.until() <= Now && !IsNeeded;
  });
  return Changes;
}

} // namespace anvil
