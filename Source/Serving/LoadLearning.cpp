#include "Serving/LoadLearning.h"

namespace anvil {

LateCause LoadLearning::recordOwn(LoadSource Source, Duration Age,
                                  bool WasMissing, double InTransit,
                                  TimePoint Now) {
  LateCause Cause = Times_.recordOutcome(
      {Source, Age, WasMissing, InTransit / limit(), Limit_.isMinimal()}, Now);
  LoadCounts Ended;
  bool IsStore = Source == LoadSource::Store;
  if (Cause == LateCause::Estimate)
    (IsStore ? Ended.Mistimed_ : Ended.EngineMistimed_) = 1;
  else if (IsStore)
    (Cause == LateCause::Store ? Ended.Late_ : Ended.OnTime_) = 1;
  if (IsStore && Cause == LateCause::Early)
    Ended.Early_ = 1;
  Own_.OnTime_ += Ended.OnTime_;
  Own_.Late_ += Ended.Late_;
  Own_.Mistimed_ += Ended.Mistimed_;
  Own_.Early_ += Ended.Early_;
  Own_.EngineMistimed_ += Ended.EngineMistimed_;
  recordEnded(Ended, InTransit, Now);
  return Cause;
}

void LoadLearning::recordPeer(const std::string &Vm,
                              const std::string &Incarnation,
                              const LoadingReport &Report, double InTransit,
                              TimePoint Now) {
  auto [Found, IsNew] = Peers_.try_emplace(Vm);
  auto &[KnownIncarnation, Before] = Found->second;
  const LoadCounts &Counts = Report.Counts_;
  LoadCounts Ended;
  // Counts from a VM without earlier updates are not recent.
  if (!IsNew && KnownIncarnation == Incarnation)
    Ended = {Counts.OnTime_ - Before.OnTime_, Counts.Late_ - Before.Late_,
             Counts.Mistimed_ - Before.Mistimed_, Counts.Early_ - Before.Early_,
             Counts.EngineMistimed_ - Before.EngineMistimed_};
  KnownIncarnation = Incarnation;
  Before = Counts;
  if (Ended.EngineMistimed_ > 0)
    Times_.recordPeerRise(LoadSource::Engine, Report.EngineLoad_, Now);
  if (Ended.Mistimed_ > 0 || Ended.Late_ > 0)
    Times_.recordPeerRise(LoadSource::Store, Report.StoreLoad_, Now);
  else if (Ended.Early_ > 0)
    Times_.recordPeerFall(Report.StoreLoad_);
  else if (Ended.OnTime_ > 0)
    Times_.recordPeerOnTime(Report.StoreLoad_, Now);
  recordEnded(Ended, InTransit, Now);
}

LoadingReport LoadLearning::report() const {
  return {Own_, Times_.expected(LoadSource::Store),
          Times_.expected(LoadSource::Engine)};
}

void LoadLearning::recordEnded(const LoadCounts &Ended, double InTransit,
                               TimePoint Now) {
  if (Ended.OnTime_ > 0 || Ended.Late_ > 0)
    Limit_.recordLoads(Ended, InTransit, Now);
}

} // namespace anvil
