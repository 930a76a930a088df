#include "Capacity/TargetSpeeds.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace anvil {

/// Measurements beyond this ratio count as this ratio, in both directions.
static constexpr double MaxRatio = 8;

/// The ratio from which a target is slow or, inverted, fast, and below which it
/// is usual again. Smaller differences don't matter to callers.
static constexpr double ClassRatio = 1.2;
static constexpr double UsualRatio = 1.12;

/// The additional distance, as a logarithm, that a target with a single sample
/// needs for another class; it shrinks with the square root of the number of
/// samples, which is counted up to a maximum. It is higher for services without
/// streams: a stream's pace is a mean over many events, a single answer may
/// have waited.
static constexpr double StreamUncertainty = 0.8;
static constexpr double AnswerUncertainty = 1.6;
static constexpr int MaxCertainSamples = 64;

/// How long a stated time is valid; it changes many times a second.
static constexpr Duration StatedValidity = std::chrono::milliseconds(300);

/// How often reports and estimates are sent, and how many targets they name at
/// most.
static constexpr Duration ReportPeriod = std::chrono::seconds(1);
static constexpr Duration EstimatePeriod = std::chrono::seconds(2);
static constexpr std::size_t MaxReports = 64;

/// How long the estimate of another data centre is valid: a few of its periods.
static constexpr Duration RemoteValidity = std::chrono::seconds(7);

/// The age from which the last measurement is too old to be preferred to
/// another data centre's estimate, and to be sent as an estimate.
static constexpr Duration RecentMeasurement = std::chrono::seconds(30);

/// How long a target is remembered without measurements, and the maximum number
/// of targets.
static constexpr Duration Retention = std::chrono::minutes(10);
static constexpr std::size_t MaxTargets = 20000;

/// Targets are compared at a like number of running requests; numbers from this
/// many bits on are taken together.
static constexpr unsigned MaxRunningBits = 6;

/// The maximum number of references; configurations have far fewer routes.
static constexpr std::size_t MaxReferences = 20000;

/// The least number of measured targets of a service that can be compared.
static constexpr std::size_t MinTargets = 2;

static std::int32_t toCents(double Log) {
  return static_cast<std::int32_t>(std::lround(Log * 100));
}

static double clampLog(double Log) {
  double MaxLog = std::log(MaxRatio);
  return std::clamp(Log, -MaxLog, MaxLog);
}

TargetSpeeds::Record *TargetSpeeds::recordOf(const MeasuredTarget &Target,
                                             TimePoint Now) {
  auto Found = Targets_.find(Target.Id_);
  if (Found == Targets_.end()) {
    if (Targets_.size() >= MaxTargets)
      return nullptr;
    Found = Targets_.try_emplace(Target.Id_).first;
    Found->second.Incarnation_ = std::numeric_limits<std::int64_t>::min();
  }
  Record &Known = Found->second;
  if (Known.Incarnation_ > Target.Incarnation_)
    return nullptr;
  if (Known.Incarnation_ < Target.Incarnation_ ||
      Known.Service_ != Target.Service_) {
    Known = Record();
    Known.Incarnation_ = Target.Incarnation_;
    Known.Service_ = Target.Service_;
    Known.MeasuredAt_ = Now;
  }
  return &Known;
}

double TargetSpeeds::momentaryLog(const Record &Known, double Usually,
                                  TimePoint Now) {
  if (Known.StatedAt_ == TimePoint{} || Known.StatedAt_ + StatedValidity < Now)
    return 0;
  double Log = clampLog(Known.StatedLog_ - Usually);
  return std::abs(Log) < std::log(ClassRatio) ? 0 : Log;
}

void TargetSpeeds::recordStatedTime(const MeasuredTarget &Target,
                                    double Percent, TimePoint Now) {
  Record *Known = Percent > 0 ? recordOf(Target, Now) : nullptr;
  if (!Known)
    return;
  Known->StatedLog_ = clampLog(std::log(Percent / 100));
  Known->StatedLevel_.add(Known->StatedLog_, Now);
  Known->StatedAt_ = Now;
}

void TargetSpeeds::recordMeasurement(const MeasuredTarget &Target,
                                     const SpeedMeasurement &Measurement,
                                     TimePoint Now) {
  bool IsValid = Measurement.Took_ > Duration::zero() &&
                 Measurement.Expected_ > Duration::zero();
  Record *Known = IsValid ? recordOf(Target, Now) : nullptr;
  if (!Known)
    return;
  auto Running = static_cast<unsigned>(std::max(0, Measurement.Running_));
  auto Bits = static_cast<unsigned>(std::bit_width(Running));
  ReferenceKey Key{Target.Service_, Measurement.Signal_, Measurement.Work_,
                   std::min(Bits, MaxRunningBits)};
  if (References_.size() >= MaxReferences && !References_.contains(Key))
    return;
  RobustLevel &Reference = References_[Key];
  double Log =
      std::log(toSeconds(Measurement.Took_) / toSeconds(Measurement.Expected_));
  // A target whose stated time always differs from 100 is lastingly slow or
  // fast, so only the deviation from what it usually states is momentary.
  if (Known->StatedLevel_.isKnown())
    Log -= momentaryLog(*Known, Known->StatedLevel_.value(), Now);
  // The reference is the time at the median target, whichever targets the
  // measurements come from.
  Reference.add(Log - Known->Log_, Now);
  if (!Reference.isKnown())
    return;
  double Relative = clampLog(Log - Reference.value());
  Known->Level_.add(Relative, Now);
  Known->MeasuredAt_ = Now;
  Known->PendingSum_ += Relative;
  ++Known->Pending_;
}

void TargetSpeeds::applyReport(const MeasuredTarget &Target,
                               std::int32_t LogTimeCents, TimePoint Now) {
  Record *Known = recordOf(Target, Now);
  if (!Known)
    return;
  Known->Level_.add(clampLog(LogTimeCents / 100.0), Now);
  Known->MeasuredAt_ = Now;
}

void TargetSpeeds::applyRemoteEstimate(const MeasuredTarget &Target,
                                       std::int32_t LogTimeCents,
                                       TimePoint Now) {
  Record *Known = recordOf(Target, Now);
  if (!Known)
    return;
  Known->RemoteLog_ = clampLog(LogTimeCents / 100.0);
  Known->RemoteUntil_ = Now + RemoteValidity;
}

SpeedReports TargetSpeeds::takeReports(TimePoint Now) {
  SpeedReports Reports;
  if (ReportedAt_ + ReportPeriod > Now)
    return Reports;
  ReportedAt_ = Now;
  auto Next = Targets_.upper_bound(LastReported_);
  for (std::size_t Seen = 0;
       Seen < Targets_.size() && Reports.size() < MaxReports; ++Seen, ++Next) {
    if (Next == Targets_.end())
      Next = Targets_.begin();
    Record &Known = Next->second;
    if (Known.Pending_ == 0)
      continue;
    Reports[Next->first] = {Known.Incarnation_,
                            toCents(Known.PendingSum_ / Known.Pending_)};
    Known.PendingSum_ = 0;
    Known.Pending_ = 0;
    LastReported_ = Next->first;
  }
  return Reports;
}

SpeedReports TargetSpeeds::takeEstimates(TimePoint Now) {
  SpeedReports Estimates;
  if (EstimatesSentAt_ + EstimatePeriod > Now)
    return Estimates;
  EstimatesSentAt_ = Now;
  for (const auto &[Target, Known] : Targets_) {
    if (Estimates.size() == MaxReports)
      break;
    if (Known.Class_ != SpeedClass::Usual && hasLocalEstimate(Known, Now))
      Estimates[Target] = {Known.Incarnation_, toCents(Known.Log_)};
  }
  return Estimates;
}

bool TargetSpeeds::hasLocalEstimate(const Record &Known, TimePoint Now) {
  return Known.Level_.isKnown() && Known.MeasuredAt_ + RecentMeasurement >= Now;
}

std::map<std::string, double> TargetSpeeds::mediansByService() const {
  std::map<std::string, std::vector<double>> Levels;
  for (const auto &[Target, Known] : Targets_)
    if (Known.Level_.isKnown())
      Levels[Known.Service_].push_back(Known.Level_.value());
  std::map<std::string, double> Medians;
  for (auto &[Service, Values] : Levels) {
    if (Values.size() < MinTargets)
      continue;
    std::ranges::sort(Values);
    std::size_t Size = Values.size();
    Medians[Service] = (Values[(Size - 1) / 2] + Values[Size / 2]) / 2;
  }
  return Medians;
}

bool TargetSpeeds::hasStreams(const std::string &Service) const {
  auto Found =
      References_.lower_bound({Service, SpeedSignal::EventInterval, "", 0});
  return Found != References_.end() && std::get<0>(Found->first) == Service &&
         std::get<1>(Found->first) == SpeedSignal::EventInterval;
}

SpeedClass TargetSpeeds::classify(const Record &Known) const {
  int Samples = std::clamp(Known.Level_.count(), 1, MaxCertainSamples);
  double Uncertainty =
      hasStreams(Known.Service_) ? StreamUncertainty : AnswerUncertainty;
  double Enter = std::log(ClassRatio) + Uncertainty / std::sqrt(Samples);
  double Leave = std::log(UsualRatio);
  if (Known.Log_ > (Known.Class_ == SpeedClass::Slow ? Leave : Enter))
    return SpeedClass::Slow;
  if (Known.Log_ < -(Known.Class_ == SpeedClass::Fast ? Leave : Enter))
    return SpeedClass::Fast;
  return SpeedClass::Usual;
}

std::vector<SpeedClassChange> TargetSpeeds::update(TimePoint Now) {
  std::erase_if(Targets_, [&](const auto &Entry) {
    return Entry.second.MeasuredAt_ + Retention < Now &&
           Entry.second.RemoteUntil_ < Now;
  });
  auto Medians = mediansByService();
  std::vector<SpeedClassChange> Changes;
  for (auto &[Key, Count] : Counts_)
    Count = 0;
  for (auto &[Target, Known] : Targets_) {
    auto Median = Medians.find(Known.Service_);
    bool IsRemote = Known.RemoteUntil_ >= Now && !hasLocalEstimate(Known, Now);
    bool IsLocal = Known.Level_.isKnown() && Median != Medians.end();
    Known.Log_ = 0;
    if (IsRemote)
      Known.Log_ = Known.RemoteLog_;
    else if (IsLocal)
      Known.Log_ = Known.Level_.value() - Median->second;
    SpeedClass Before = Known.Class_;
    if (IsRemote && Known.Log_ != 0)
      Known.Class_ = Known.Log_ > 0 ? SpeedClass::Slow : SpeedClass::Fast;
    else
      Known.Class_ = classify(Known);
    ++Counts_[{Known.Service_, Known.Class_}];
    if (Known.Class_ != Before)
      Changes.push_back({{Target, Known.Incarnation_, Known.Service_},
                         Before,
                         Known.Class_,
                         std::exp(Known.Log_),
                         Known.Level_.count(),
                         Now - Known.MeasuredAt_});
  }
  return Changes;
}

Duration TargetSpeeds::usualServiceTime(const std::string &Service,
                                        const std::string &Work) const {
  auto Found = References_.find({Service, SpeedSignal::ServiceTime, Work, 0});
  if (Found != References_.end() && Found->second.isKnown())
    return std::chrono::duration_cast<Duration>(
        SpeedMeasurement().Expected_ * std::exp(Found->second.value()));
  return Duration::zero();
}

double TargetSpeeds::factorOf(const std::string &Target,
                              std::int64_t Incarnation, TimePoint Now) const {
  auto Found = Targets_.find(Target);
  if (Found == Targets_.end() || Found->second.Incarnation_ != Incarnation)
    return 1;
  const Record &Known = Found->second;
  double Lasting = Known.Class_ == SpeedClass::Usual ? 0 : Known.Log_;
  double Usually =
      Known.StatedLevel_.isKnown() ? Known.StatedLevel_.value() : Lasting;
  double Log = clampLog(Lasting + momentaryLog(Known, Usually, Now));
  return Log == 0 ? 1 : std::exp(Log);
}

} // namespace anvil
