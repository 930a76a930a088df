#ifndef ANVIL_ROUTING_PROMPTPARTGUARD_H
#define ANVIL_ROUTING_PROMPTPARTGUARD_H

#include "Routing/PartQuarantine.h"
#include "Routing/PartReport.h"
#include "Routing/PartSuspects.h"
#include "Routing/SoundParts.h"

#include <deque>
#include <functional>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace anvil {

/// The limits of a `PromptPartGuard`.
struct PromptPartOptions {
  PartSuspectOptions Suspects_;
  PartQuarantineOptions Quarantine_;
  /// A target that is still up this long after a request has worked there was
  /// not crashed by it.
  Duration ConfirmationTime_ = std::chrono::milliseconds(300);
  /// For how long own crashes and sound parts are repeated in reports, in case
  /// datagrams are lost.
  Duration RepeatTime_ = std::chrono::seconds(2);
  std::size_t MaxSoundParts_ = 4000;
  std::size_t MaxUnconfirmed_ = 2000;
  /// The largest numbers of crashes, of parts at each and of sound parts in one
  /// report.
  std::size_t MaxReportedCrashes_ = 32;
  std::size_t MaxReportedParts_ = 64;
};

/// What shows that a request has worked at a target.
enum class SuccessProof {
  /// Its stream went on for some time.
  LongRun,
  /// Its response is complete, as the target marked.
  Complete,
  /// Its response ended with the connection, which may also be a crash.
  EndOfConnection,
};

/// What to do with a prompt.
enum class PartDecision {
  Serve,
  /// Serve it although it has a quarantined part, to find out whether that part
  /// still crashes targets.
  Try,
  Refuse,
};

/// Why a part's quarantine began or ended.
enum class PartEvent { Convicted, Relapsed, Adopted, Tried, Lifted };

inline constexpr std::pair<PartEvent, std::string_view> PartEventNames[] = {
    {PartEvent::Convicted, "convicted"}, {PartEvent::Relapsed, "relapsed"},
    {PartEvent::Adopted, "adopted"},     {PartEvent::Tried, "tried"},
    {PartEvent::Lifted, "lifted"},
};

/// Keeps prompts that share a part which crashes targets from reaching more of
/// them. Each VM records the crashes under its own requests, and which parts
/// worked, and exchanges both with the other VMs; the reports repeat what is
/// quarantined, so that a VM that starts or was cut off learns it from any
/// other.
class PromptPartGuard {
public:
  explicit PromptPartGuard(PromptPartOptions Options);

  /// Called with each part whose quarantine begins or ends, and the crashes
  /// that convicted it.
  using EventHook = std::function<void(PartId Part, PartEvent Event,
                                       std::size_t Crashes, Duration Evidence)>;
  void onEvent(EventHook Hook) { OnEvent_ = std::move(Hook); }

  /// Records that a target crashed while it ran a request of this VM with these
  /// parts.
  void recordCrash(const TargetInstance &Crashed,
                   const std::vector<PartId> &Parts, TimePoint Now);

  /// Records that a request with these parts, sent to a target at `SentAt`, has
  /// worked there. If the target crashes within the confirmation time, a
  /// response that had just ended is suspected as well.
  void recordSuccess(const TargetInstance &Target,
                     const std::vector<PartId> &Parts, TimePoint SentAt,
                     SuccessProof Proof, TimePoint Now);

  /// Sets this VM's rank among all VMs, counted from zero.
  void setRank(std::size_t Rank, std::size_t Vms) {
    Quarantine_.setRank(Rank, Vms);
  }

  /// Decides on a prompt that waits to be sent to a target.
  PartDecision decide(const std::vector<PartId> &Parts, TimePoint Now) const;

  /// Whether a prompt may be sent to a target at this moment. If it is to be
  /// tried, this is the trial.
  bool beginSend(const std::vector<PartId> &Parts, TimePoint Now);

  /// Whether a prompt has a quarantined part.
  bool isQuarantined(const std::vector<PartId> &Parts, TimePoint Now) const;

  /// What this VM tells the others; to be sent every few hundred milliseconds.
  PartReport report(TimePoint Now);

  /// Takes in what another VM tells.
  void apply(const PartReport &Report, TimePoint Now);

  /// Decides on suspects; to be called as often as `report`.
  void update(TimePoint Now);

  std::size_t suspects() const { return Suspects_.size(); }
  std::size_t quarantined(TimePoint Now) const {
    return Quarantine_.count(Now);
  }

private:
  struct Success {
    TargetInstance Target_;
    std::vector<PartId> Parts_;
    TimePoint SentAt_{};
    SuccessProof Proof_ = SuccessProof::Complete;
    TimePoint ConfirmedAt_{};
  };
  struct OwnCrash {
    TimePoint NoticedAt_{};
    std::map<PartId, bool> Parts_;
  };

  void addCrash(const TargetInstance &Crashed, std::map<PartId, bool> Parts,
                TimePoint NoticedAt, TimePoint Now);
  std::vector<PartId> quarantinedOf(const std::vector<PartId> &Parts,
                                    TimePoint Now) const;
  void addOwnCrash(const TargetInstance &Crashed,
                   const std::vector<PartId> &Parts, TimePoint NoticedAt,
                   TimePoint Now);
  /// Suspects the requests whose success the crash leaves in doubt.
  void withdrawSuccesses(const TargetInstance &Crashed, TimePoint NoticedAt,
                         TimePoint Now);
  void confirmSuccesses(TimePoint Now);
  void lift(PartId Part, TimePoint Now);
  void recordSound(PartId Part, TimePoint SentAt, TimePoint Now);
  void announceSound(PartId Part, TimePoint Now);
  void fire(PartId Part, PartEvent Event, std::size_t Crashes,
            Duration Evidence);

  PromptPartOptions Options_;
  SoundParts Sound_;
  PartSuspects Suspects_;
  PartQuarantine Quarantine_;
  EventHook OnEvent_;
  std::deque<Success> Unconfirmed_;
  std::map<TargetInstance, OwnCrash> OwnCrashes_;
  /// Parts that this VM has cleared, and when.
  std::map<PartId, TimePoint> Announced_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_PROMPTPARTGUARD_H
