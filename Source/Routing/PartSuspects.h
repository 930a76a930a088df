#ifndef ANVIL_ROUTING_PARTSUSPECTS_H
#define ANVIL_ROUTING_PARTSUSPECTS_H

#include "Routing/PartReport.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace anvil {

/// What it takes to convict a part, and how much is remembered.
struct PartSuspectOptions {
  /// The crashes of different target incarnations that convict a part.
  std::size_t MinCrashes_ = 3;
  /// Crashes within this time of each other count as one: something else, such
  /// as a cut link, has more likely caused them.
  Duration Spacing_ = std::chrono::milliseconds(100);
  /// The time since a part's first crash within which one of its requests could
  /// have proved it sound. The shortest is for a part that explains
  /// `ClearLead_` crashes more than any other, where the parts that work are
  /// mostly known; the longest is for a part that is known to work itself.
  Duration ClearSettleTime_ = std::chrono::seconds(1);
  Duration SettleTime_ = std::chrono::seconds(2);
  Duration KnownSettleTime_ = std::chrono::milliseconds(2500);
  std::size_t ClearLead_ = 2;
  /// How long a crash counts.
  Duration Retention_ = std::chrono::minutes(10);
  std::size_t MaxParts_ = 2000;
  std::size_t MaxCrashes_ = 500;
  std::size_t MaxPartsPerCrash_ = 200;
};

/// Finds the part of prompts that crashes targets. Every request that was
/// running at a crash is suspected with its parts; a sound part is cleared as
/// soon as a later request with it works. Of the suspects that are left, the
/// one that was at most crashes is convicted. If no other was at about as many,
/// the crashes that it explains no longer count against the others; else its
/// conviction is in doubt.
class PartSuspects {
public:
  explicit PartSuspects(PartSuspectOptions Options) : Options_(Options) {}

  /// Adds the parts that were at a crash, each with whether it is known to have
  /// worked before. Reports of the same crash are merged. `NoticedAt` is the
  /// time of the crash, `Now` the time of the report.
  void addCrash(const TargetInstance &Crashed,
                const std::map<PartId, bool> &Parts, TimePoint NoticedAt,
                TimePoint Now);

  /// Records that a quarantined part explains a crash.
  void addExplained(const TargetInstance &Crashed, PartId Part,
                    TimePoint NoticedAt);

  /// Suspects the other parts again that were at crashes which the part
  /// explained, except those that have worked since.
  using WorkedSinceHook = std::function<bool(PartId Part, TimePoint Since)>;
  void withdrawExplanations(PartId Part, const WorkedSinceHook &WorkedSince,
                            TimePoint Now);

  /// When the part's first crash was noticed; nothing if it is no suspect.
  std::optional<TimePoint> firstCrashAt(PartId Part) const;

  /// Removes a part that has proved sound. False if it was no suspect.
  bool clear(PartId Part) { return Suspects_.erase(Part) > 0; }

  /// Removes a part that is quarantined from now on. It explains its crashes,
  /// also in later reports of them; if it is in doubt, whoever else was there
  /// is in doubt as well.
  void removeQuarantined(PartId Part, bool IsInDoubt);

  struct Conviction {
    PartId Part_ = 0;
    TimePoint FirstCrashAt_{};
    std::size_t Crashes_ = 0;
    /// Whether other parts might explain the crashes as well.
    bool IsInDoubt_ = false;
  };

  /// Removes and returns the parts that can be convicted now.
  std::vector<Conviction> convict(TimePoint Now);

  void expire(TimePoint Now);

  std::size_t size() const { return Suspects_.size(); }

private:
  struct Suspect {
    /// When each crash was noticed.
    std::map<TargetInstance, TimePoint> Crashes_;
    TimePoint FirstAt_{};
    TimePoint LastAt_{};
    bool WasSound_ = false;
  };
  struct Crash {
    TimePoint NoticedAt_{};
    std::optional<PartId> ExplainedBy_;
    /// Whether a part that was quarantined in doubt was there.
    bool IsInDoubt_ = false;
    /// The parts that were suspected for it, and whether each had worked
    /// before. Each counts once, also if the report is repeated after the part
    /// was cleared.
    std::map<PartId, bool> Parts_;
  };

  /// Removes suspects without crashes.
  void removeUnburdened();
  bool isInDoubt(const Suspect &Of) const;
  std::size_t countCrashes(const Suspect &Of) const;
  /// The suspects at most crashes, if these are enough to convict them.
  std::vector<Conviction> convictable(TimePoint Now) const;
  void suspect(PartId Part, const TargetInstance &Crashed, TimePoint NoticedAt,
               bool WasSound, TimePoint Now);
  Crash &crashOf(const TargetInstance &Crashed, TimePoint NoticedAt);
  Suspect &suspectOf(PartId Part, TimePoint Now);

  PartSuspectOptions Options_;
  std::map<PartId, Suspect> Suspects_;
  std::map<TargetInstance, Crash> Crashes_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_PARTSUSPECTS_H
