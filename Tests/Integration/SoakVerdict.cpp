#include "Integration/SoakVerdict.h"

#include <algorithm>

namespace anvil {

/// Bounds of the users' sites (ContactMs, LossSlackMs, ConfigApplyMs, DrainMs)
/// and the key withdrawal bound of the test fleet's VMs.
static constexpr Duration ContactTime = Millis(3000);
static constexpr Duration LossSlack = Millis(200);
static constexpr Duration ConfigBound = Millis(2000);
static constexpr Duration DrainBound = Millis(2000);
static constexpr Duration WithdrawalBound = Millis(3000);

/// What a caller's clock may be late by when an answer has ended.
static constexpr Duration ReadSlack = Millis(200);

static const std::set<SoakAction> Freezes{SoakAction::Freeze};
static const std::set<SoakAction> Kills{SoakAction::Kill};
static const std::set<SoakAction> Crashes{SoakAction::CrashTarget};
static const std::set<SoakAction> Drains{SoakAction::DrainTarget,
                                         SoakAction::RemoveTarget};

static bool isRefusal(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

SoakVerdict::SoakVerdict(const SoakTimeline &Timeline,
                         const std::vector<nlohmann::json> &Runs,
                         Duration RouteTimeout)
    : Timeline_(Timeline), RouteTimeout_(RouteTimeout) {
  for (const nlohmann::json &Item : Runs)
    Runs_[Item["headers"].value("x-request-id", "")].push_back(
        {Item["target"].get<std::string>(),
         TimePoint(Duration(Item["at_us"].get<std::int64_t>()))});
}

std::vector<std::string>
SoakVerdict::violationsOf(const SoakRequest &Item) const {
  std::vector<std::string> Found;
  if (!Item.Fault_.empty())
    Found.push_back(Item.Fault_);
  judgeEnding(Item, Found);
  judgeRuns(Item, Found);
  judgeConfig(Item, Found);
  return Found;
}

bool SoakVerdict::mayBeCut(const SoakRequest &Item) const {
  TimePoint End = Item.EndedAt_ + ReadSlack;
  if (Timeline_.has(Item.Vm_, Kills, Item.SentAt_, End) ||
      Timeline_.has(Item.Vm_, Freezes, Item.SentAt_ - ContactTime, End))
    return true;
  if (Item.EndedAt_ - Item.SentAt_ >= RouteTimeout_ - ReadSlack)
    return true;
  // The engine broke off. A stream's answer names its last engine.
  bool IsForeign =
      !Item.Target_.empty() &&
      std::ranges::find(EntryTargets, Item.Target_) == EntryTargets.end();
  auto Runs = Runs_.find(Item.Id_);
  return IsForeign ||
         (Runs != Runs_.end() &&
          std::ranges::any_of(Runs->second, [&](const Run &Each) {
            return Timeline_.has(Each.Target_, Crashes, Item.SentAt_, End);
          }));
}

bool SoakVerdict::isExcused(const SoakRequest &Item) const {
  return mayBeCut(Item) || !isInTouch(Item);
}

void SoakVerdict::judgeEnding(const SoakRequest &Item,
                              std::vector<std::string> &Found) const {
  if (Item.IsComplete_)
    return;
  bool IsFrozen = Timeline_.has(Item.Vm_, Freezes, Item.SentAt_ - ContactTime,
                                Item.EndedAt_);
  if (!Item.IsClosed_ && !IsFrozen)
    Found.push_back("LOST: no answer, and the connection stays open");
  if (!Item.IsClosed_ || mayBeCut(Item))
    return;
  bool HasRun = Runs_.contains(Item.Id_);
  // A request that crosses the close of its connection isn't run.
  if (Item.Status_ == 0 && !HasRun && Item.EndedAt_ - Item.SentAt_ <= LossSlack)
    return;
  // What a configuration no longer allows may be ended.
  if (!isAllowed(Item))
    return;
  Found.push_back(
      std::string("LOST: ") + (HasRun ? "run" : "not run") + ", status " +
      std::to_string(Item.Status_) + ", closed after " +
      std::to_string(toMillis(Item.EndedAt_ - Item.SentAt_)) + " ms");
}

void SoakVerdict::judgeRuns(const SoakRequest &Item,
                            std::vector<std::string> &Found) const {
  auto Runs = Runs_.find(Item.Id_);
  if (Runs == Runs_.end())
    return;
  bool RunsOnce = Item.Kind_ == SoakKind::Unsafe ||
                  Item.Kind_ == SoakKind::Stream ||
                  Item.Kind_ == SoakKind::AdapterStream;
  if (RunsOnce && Runs->second.size() > 1)
    Found.push_back("TWICE: ran " + std::to_string(Runs->second.size()) +
                    " times");
  if (RunsOnce && Item.IsComplete_ && isRefusal(Item.Status_))
    Found.push_back("REFUSED: has run, and was answered " +
                    std::to_string(Item.Status_));
  for (const Run &Each : Runs->second)
    for (const SoakSpan &Span : Timeline_.spans(Each.Target_))
      if (Drains.contains(Span.Action_) && isInTouch(Item) &&
          Each.At_ > Span.From_ + DrainBound && Each.At_ < Span.To_)
        Found.push_back("DRAIN: reached " + Each.Target_ + " " +
                        std::to_string(toMillis(Each.At_ - Span.From_)) +
                        " ms after it had left");
}

bool SoakVerdict::isInTouch(const SoakRequest &Item) const {
  return Timeline_.isCalm(Item.Vm_, Item.SentAt_ - ContactTime, Item.EndedAt_);
}

std::vector<SoakConfig> SoakVerdict::configsFor(const SoakRequest &Item) const {
  bool IsSpare = Item.Kind_ == SoakKind::SpareKey;
  return Timeline_.configsBetween(Item.SentAt_, Item.EndedAt_,
                                  IsSpare ? WithdrawalBound : ConfigBound);
}

/// Whether a configuration allows a request.
static bool allows(const SoakConfig &Config, const SoakRequest &Item) {
  return (Item.Kind_ != SoakKind::SpareKey ||
          Config.Keys_.contains("spare-key")) &&
         (Item.Kind_ != SoakKind::AddedRoute ||
          Config.Routes_.contains("/added/"));
}

bool SoakVerdict::isAllowed(const SoakRequest &Item) const {
  return std::ranges::all_of(configsFor(Item), [&](const SoakConfig &Config) {
    return allows(Config, Item);
  });
}

void SoakVerdict::judgeConfig(const SoakRequest &Item,
                              std::vector<std::string> &Found) const {
  bool IsSpare = Item.Kind_ == SoakKind::SpareKey;
  bool IsAdded = Item.Kind_ == SoakKind::AddedRoute;
  bool IsForbidden =
      std::ranges::none_of(configsFor(Item), [&](const SoakConfig &Config) {
        return allows(Config, Item);
      });
  // The bound of withdrawals holds for VMs that are out of touch, too.
  if (Runs_.contains(Item.Id_) && IsForbidden && (IsSpare || isInTouch(Item)))
    Found.push_back(IsSpare ? "CONFIG: ran with a withdrawn key"
                            : "CONFIG: ran on a dropped route");
  bool IsDenied = Item.IsComplete_ && Item.Target_.empty() &&
                  Item.Status_ >= 400 && Item.Status_ < 500 &&
                  !isRefusal(Item.Status_);
  bool IsAlwaysAllowed = !IsSpare && !IsAdded;
  if (IsDenied && isAllowed(Item) && (IsAlwaysAllowed || isInTouch(Item)))
    Found.push_back("DENIED: answered " + std::to_string(Item.Status_));
}

} // namespace anvil
