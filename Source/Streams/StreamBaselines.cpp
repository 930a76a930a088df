#include "Streams/StreamBaselines.h"

#include <algorithm>

namespace anvil {

/// Added to the time for which a baseline is closed, as clocks of two VMs may
/// differ in speed.
static constexpr Duration ClockMargin = std::chrono::seconds(5);

void StreamBaselines::applyRows(const std::vector<StreamBaseline> &Rows,
                                TimePoint SentAt, TimePoint Now) {
  if (ConfirmedAt_ && SentAt < *ConfirmedAt_)
    return;
  ConfirmedAt_ = SentAt;
  for (const StreamBaseline &Row : Rows) {
    Known &Service = Services_[Row.Service_];
    if (Service.Row_.RowVersion_ != Row.RowVersion_)
      Service = {Row, Now, std::nullopt};
  }
}

void StreamBaselines::beginEra(TimePoint Now) {
  // What an era that ends before it has a row doesn't show still holds.
  for (const auto &[Service, Known] : Services_) {
    Earlier_.erase(Service);
    if (Known.Row_.Stage_ == BaselineStage::Open && Known.Row_.Version_)
      Earlier_[Service] = {*Known.Row_.Version_, *ConfirmedAt_};
  }
  Services_.clear();
  ConfirmedAt_.reset();
  EraSeenAt_ = Now;
}

std::optional<std::string>
StreamBaselines::versionOf(const std::string &Service) const {
  auto Found = Services_.find(Service);
  return Found == Services_.end() ? std::nullopt : Found->second.Row_.Version_;
}

bool StreamBaselines::mayBeginUnrecorded(const StreamOrigin &Origin,
                                         Duration CallerWait,
                                         TimePoint Now) const {
  auto Found = Services_.find(Origin.Service_);
  return Found != Services_.end() &&
         Found->second.Row_.Stage_ == BaselineStage::Open &&
         Found->second.Row_.Version_ == Origin.Version_ &&
         CallerWait <= Options_.MaxUnrecordedTime_ &&
         Now < *ConfirmedAt_ + Options_.Lease_;
}

/// The version with the most usable targets.
static std::optional<std::string>
mostUsable(const std::map<std::string, std::size_t> &Usable) {
  auto Most = std::ranges::max_element(
      Usable, {}, [](const auto &Item) -> std::size_t { return Item.second; });
  if (Most == Usable.end())
    return std::nullopt;
  return Most->first;
}

std::optional<StreamBaseline>
StreamBaselines::dueFirst(const std::string &Service,
                          const std::string &MostUsable,
                          bool IsFirstSystemStart, TimePoint Now) const {
  StreamBaseline Open{Service, MostUsable, BaselineStage::Open, 0};
  StreamBaseline Unknown{Service, std::nullopt, BaselineStage::Closing, 0};
  if (IsFirstSystemStart)
    return Open;
  if (!EraSeenAt_)
    return Unknown;
  auto Found = Earlier_.find(Service);
  bool IsConfirmed = Found != Earlier_.end() &&
                     *EraSeenAt_ < Found->second.ConfirmedAt_ + Options_.Lease_;
  ListedEvidence Shown =
      Listed_.evidenceSince(*EraSeenAt_ - Options_.MaxCopyAge_, Service,
                            IsConfirmed ? Found->second.Version_ : MostUsable);
  // Its records may be lost, so no VM may take streams for those of the
  // baseline.
  if (Shown == ListedEvidence::Others)
    return Unknown;
  bool IsRelisted = Listed_.readAt() &&
                    *Listed_.readAt() >= *EraSeenAt_ + Options_.RelistTime_;
  bool IsSame = IsConfirmed && Found->second.Version_ == MostUsable;
  if (Shown == ListedEvidence::Only && IsSame && IsRelisted)
    return Open;
  if (Now >= *EraSeenAt_ + Options_.FirstRowWait_)
    return Unknown;
  return std::nullopt;
}

std::optional<StreamBaseline>
StreamBaselines::dueChange(const std::string &Service,
                           const std::map<std::string, std::size_t> &Usable,
                           bool IsFirstSystemStart, TimePoint Now) {
  auto Next = mostUsable(Usable);
  if (!ConfirmedAt_ || !Next)
    return std::nullopt;
  auto Found = Services_.find(Service);
  if (Found == Services_.end())
    return dueFirst(Service, *Next, IsFirstSystemStart, Now);
  Known &Current = Found->second;
  StreamBaseline Changed = Current.Row_;
  bool IsUsable = Changed.Version_ && Usable.contains(*Changed.Version_);
  if (Changed.Stage_ == BaselineStage::Open) {
    if (IsUsable)
      Current.UnusedSince_.reset();
    else if (!Current.UnusedSince_)
      Current.UnusedSince_ = Now;
    bool MustClose = Current.UnusedSince_ &&
                     Now >= *Current.UnusedSince_ + Options_.UnusedTime_;
    if (!MustClose)
      return std::nullopt;
    Changed.Stage_ = BaselineStage::Closing;
    return Changed;
  }
  bool IsClosed = Now >= Current.SeenAt_ + Options_.Lease_ +
                             Options_.MaxUnrecordedTime_ + ClockMargin;
  if (!IsUsable && !IsClosed)
    return std::nullopt;
  if (!IsUsable)
    Changed.Version_ = Next;
  Changed.Stage_ = BaselineStage::Open;
  return Changed;
}

} // namespace anvil
