#include "Routing/TargetLimits.h"

#include <algorithm>

namespace anvil {

/// By how much a report of an unchanged limit must be newer to replace the
/// known one. It must exceed the transit time of a datagram, or two VMs would
/// keep an old limit fresh by reporting it to each other.
static constexpr Duration RefreshMargin = std::chrono::milliseconds(200);

/// The age at which a limit is stale, so that a request should check whether
/// the target still states it.
static constexpr Duration ConfirmationMaxAge = std::chrono::seconds(1);

bool TargetLimits::changes(const Report &Before, const Report &After) {
  bool IsSameIncarnation = Before.Incarnation_ == After.Incarnation_;
  bool HasLimit = Before.RatePerSecond_ || After.RatePerSecond_;
  return IsSameIncarnation ? Before.RatePerSecond_ != After.RatePerSecond_
                           : HasLimit;
}

bool TargetLimits::updateFromResponse(const std::string &Target,
                                      std::int64_t Incarnation,
                                      std::optional<double> RatePerSecond,
                                      TimePoint SentAt, TimePoint Now) {
  auto Found = Targets_.find(Target);
  if (Found == Targets_.end()) {
    if (RatePerSecond)
      Targets_[Target] = {Incarnation, RatePerSecond, Now};
    return RatePerSecond.has_value();
  }
  Report &Known = Found->second;
  if (Known.Incarnation_ > Incarnation)
    return false;
  bool IsNewIncarnation = Known.Incarnation_ < Incarnation;
  // A response without a limit may have been in transit when another response
  // stated the limit.
  if (!IsNewIncarnation && !RatePerSecond &&
      SentAt < Known.ReportedAt_ + EndGrace_)
    return false;
  bool IsChange = changes(Known, {Incarnation, RatePerSecond, Now});
  // The withdrawal of a limit keeps its time, so that it stops being reported
  // once all other VMs have received it.
  if (!IsNewIncarnation && !IsChange && !RatePerSecond)
    return false;
  Known = {Incarnation, RatePerSecond, Now};
  return IsChange;
}

bool TargetLimits::updateFromPeer(const std::string &Target,
                                  const AdvertisedLimit &Reported,
                                  TimePoint Now) {
  TimePoint ReportedAt = Now - std::max(Duration::zero(), Reported.Age_);
  auto Found = Targets_.find(Target);
  if (Found == Targets_.end()) {
    Targets_[Target] = {Reported.Incarnation_, Reported.RatePerSecond_,
                        ReportedAt};
    return Reported.RatePerSecond_.has_value();
  }
  Report &Known = Found->second;
  if (Known.Incarnation_ > Reported.Incarnation_)
    return false;
  bool IsNewIncarnation = Known.Incarnation_ < Reported.Incarnation_;
  bool IsSame =
      !IsNewIncarnation && Known.RatePerSecond_ == Reported.RatePerSecond_;
  bool IsNewer =
      IsNewIncarnation ||
      ReportedAt > Known.ReportedAt_ + (IsSame ? RefreshMargin : Duration());
  if (!IsNewer)
    return false;
  bool IsChange = changes(
      Known, {Reported.Incarnation_, Reported.RatePerSecond_, ReportedAt});
  Known = {Reported.Incarnation_, Reported.RatePerSecond_, ReportedAt};
  return IsChange;
}

std::optional<double> TargetLimits::rateOf(const std::string &Target,
                                           std::int64_t Incarnation) const {
  auto Found = Targets_.find(Target);
  if (Found == Targets_.end() || Found->second.Incarnation_ != Incarnation)
    return std::nullopt;
  return Found->second.RatePerSecond_;
}

bool TargetLimits::isStale(const std::string &Target, TimePoint Now) const {
  auto Found = Targets_.find(Target);
  return Found != Targets_.end() &&
         Found->second.ReportedAt_ + ConfirmationMaxAge < Now;
}

AdvertisedLimits TargetLimits::statedWithin(Duration Span,
                                            TimePoint Now) const {
  AdvertisedLimits Recent;
  for (const auto &[Target, Known] : Targets_)
    if (Known.ReportedAt_ + Span >= Now)
      Recent[Target] = {Known.Incarnation_, Known.RatePerSecond_,
                        Now - Known.ReportedAt_};
  return Recent;
}

void TargetLimits::prune(Duration Span, TimePoint Now) {
  std::erase_if(Targets_, [&](const auto &Entry) {
    return !Entry.second.RatePerSecond_ &&
           Entry.second.ReportedAt_ + Span < Now;
  });
}

} // namespace anvil
