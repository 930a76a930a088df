#ifndef ANVIL_ROUTING_PARTQUARANTINE_H
#define ANVIL_ROUTING_PARTQUARANTINE_H

#include "Routing/PartReport.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace anvil {

/// How long parts are quarantined, and how many.
struct PartQuarantineOptions {
  Duration QuarantineTime_ = std::chrono::minutes(5);
  /// For how long after its quarantine a single crash brings a part back.
  Duration ProbationTime_ = std::chrono::minutes(30);
  std::size_t MaxParts_ = 64;
  /// The time from a doubtful quarantine to the first trial, and from a trial
  /// that crashed its target to the next; it grows by a factor each time.
  Duration FirstTrialAfter_ = std::chrono::milliseconds(500);
  Duration NextTrialAfter_ = std::chrono::seconds(4);
  int TrialPauseFactor_ = 4;
  /// For how long it is one VM's turn to try a part.
  Duration TurnTime_ = std::chrono::seconds(2);
};

/// The parts of prompts that are refused because they crash targets. A part
/// whose quarantine has ended is on probation. A part that is quarantined in
/// doubt is tried with single requests, by one VM after the other. When full,
/// the entry that ends first makes room.
class PartQuarantine {
public:
  explicit PartQuarantine(PartQuarantineOptions Options) : Options_(Options) {}

  /// Quarantines a part whose first crash was noticed at `EvidenceFrom`.
  void add(PartId Part, TimePoint EvidenceFrom, bool IsInDoubt, TimePoint Now);

  /// Takes over another VM's quarantine. False if the part was quarantined
  /// already.
  bool adopt(PartId Part, const PartQuarantineReport &Report, TimePoint Now);

  bool contains(PartId Part, TimePoint Now) const;

  /// Whether it is quarantined and its conviction isn't in doubt.
  bool isCertain(PartId Part, TimePoint Now) const;
  bool isOnProbation(PartId Part, TimePoint Now) const;

  /// Sets this VM's rank among all VMs, counted from zero, by which they take
  /// turns in trying parts.
  void setRank(std::size_t Rank, std::size_t Vms) {
    Rank_ = Rank;
    Vms_ = Vms;
  }

  /// Whether this VM may try the part now.
  bool mayTry(PartId Part, TimePoint Now) const;
  void recordTrial(PartId Part, TimePoint Now);

  /// Postpones the next trial after a crash under a request with the part.
  void recordCrash(PartId Part, TimePoint NoticedAt);

  /// Ends the quarantine of a part that worked in a request which was sent
  /// after the first crash that speaks against it. False if nothing changed.
  bool liftIfSound(PartId Part, TimePoint SentAt);

  /// Ends the quarantine of a part. False if there was none.
  bool lift(PartId Part) { return Entries_.erase(Part) > 0; }

  /// The parts that are quarantined now.
  std::map<PartId, PartQuarantineReport> report(TimePoint Now) const;

  void expire(TimePoint Now);

  /// The number of parts that are quarantined now.
  std::size_t count(TimePoint Now) const;

private:
  struct Entry {
    TimePoint EvidenceFrom_{};
    TimePoint Until_{};
    bool IsInDoubt_ = false;
    TimePoint NextTrialAt_{};
    Duration TrialPause_{};
    /// When this VM last tried the part.
    TimePoint TriedAt_{};
  };

  bool isOwnTurn(std::int64_t Turn) const;
  void insert(PartId Part, TimePoint EvidenceFrom, TimePoint Until,
              bool IsInDoubt, TimePoint Now);

  PartQuarantineOptions Options_;
  std::size_t Rank_ = 0;
  std::size_t Vms_ = 1;
  std::map<PartId, Entry> Entries_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_PARTQUARANTINE_H
