#include "Integration/SoakTimeline.h"

#include <algorithm>
#include <cstdio>

namespace anvil {

void SoakTimeline::note(const std::string &Subject, std::string_view What) {
  char Time[32];
  std::lock_guard Lock(Mutex_);
  std::snprintf(Time, sizeof(Time), "%9.3f ", secondsOf(BootClock::now()));
  Text_ += Time + Subject + " " + std::string(What) + "\n";
}

void SoakTimeline::begin(const std::string &Subject, SoakAction Action) {
  note(Subject, nameOf(Action));
  std::lock_guard Lock(Mutex_);
  Spans_.push_back({Subject, Action, BootClock::now()});
}

void SoakTimeline::end(const std::string &Subject,
                       const std::set<SoakAction> &Actions) {
  std::lock_guard Lock(Mutex_);
  for (SoakSpan &Span : Spans_)
    if (Span.Subject_ == Subject && Span.To_ == TimePoint::max() &&
        Actions.contains(Span.Action_))
      Span.To_ = BootClock::now();
}

void SoakTimeline::addConfig(SoakConfig Config) {
  std::lock_guard Lock(Mutex_);
  Configs_.push_back(std::move(Config));
}

void SoakTimeline::fail(const std::string &Subject, const std::string &What) {
  note(Subject, What);
  std::lock_guard Lock(Mutex_);
  Failures_.push_back(Subject + ": " + What);
}

bool SoakTimeline::has(const std::string &Subject,
                       const std::set<SoakAction> &Actions, TimePoint From,
                       TimePoint To) const {
  return std::ranges::any_of(Spans_, [&](const SoakSpan &Span) {
    return Span.Subject_ == Subject && Actions.contains(Span.Action_) &&
           Span.From_ <= To && Span.To_ >= From;
  });
}

bool SoakTimeline::isCalm(const std::string &Subject, TimePoint From,
                          TimePoint To) const {
  return std::ranges::none_of(Spans_, [&](const SoakSpan &Span) {
    return Span.Subject_ == Subject && Span.From_ <= To && Span.To_ >= From;
  });
}

std::vector<SoakConfig> SoakTimeline::configsBetween(TimePoint From,
                                                     TimePoint To,
                                                     Duration Bound) const {
  std::vector<SoakConfig> Found;
  for (std::size_t Index = 0; Index < Configs_.size(); ++Index) {
    bool IsReplaced = Index + 1 < Configs_.size() &&
                      Configs_[Index + 1].ConfirmedAt_ + Bound < From;
    if (!IsReplaced && Configs_[Index].SentAt_ <= To)
      Found.push_back(Configs_[Index]);
  }
  return Found;
}

std::size_t SoakTimeline::count(const std::string &Subject,
                                SoakAction Action) const {
  return std::ranges::count_if(Spans_, [&](const SoakSpan &Span) {
    return Span.Subject_ == Subject && Span.Action_ == Action;
  });
}

std::vector<SoakSpan> SoakTimeline::spans(const std::string &Subject) const {
  std::vector<SoakSpan> Found;
  std::ranges::copy_if(
      Spans_, std::back_inserter(Found),
      [&](const SoakSpan &Span) { return Span.Subject_ == Subject; });
  return Found;
}

std::string SoakTimeline::text() const { return Text_; }

} // namespace anvil
