#ifndef ANVIL_PLACEMENT_TARGETOWNER_H
#define ANVIL_PLACEMENT_TARGETOWNER_H

#include "Placement/FairQueue.h"
#include "Placement/ResidencyTable.h"
#include "Placement/WaitEstimate.h"

#include <set>

namespace anvil {

/// What an owner knows of its engine from the configuration and settings.
struct TargetOwnerOptions {
  std::int64_t Slots_ = 8;
  std::int64_t AdapterSlots_ = 4;
  QueueLimits Limits_;
  QueueOrder Order_ = QueueOrder::Fair;
  PlacementTerms Terms_;
};

/// An adapter version that requests wait for and that is not resident.
struct LoadWish {
  AdapterRef Adapter_;
  std::string Weights_;
  /// Whether a request for it has waited too long for any other order.
  bool Urgent_ = false;
  std::int64_t Priority_ = 0;
  double WaitingTokens_ = 0;
  TimePoint Oldest_{};

  /// Whether this one is loaded first when the weight store is short.
  bool goesBefore(const LoadWish &Other) const;
};

/// Decides for one engine who gets permits and which adapters are resident.
/// Call `advance` after each event and carry out what it returns.
class TargetOwner {
public:
  /// The least time between two requests for the status that serve the search
  /// for a place; the regular polls come besides.
  static constexpr Duration LeastPollGap = std::chrono::milliseconds(50);

  /// Evicts nothing until every VM of `Unheard` has sent its inventory or is
  /// gone.
  TargetOwner(TargetOwnerOptions Options, std::set<std::string> Unheard,
              TimePoint Now);

  /// Follows a change of the configuration.
  void configure(std::int64_t Slots, std::int64_t AdapterSlots, bool Leaving);

  /// A VM asks for a permit. Asking twice changes nothing.
  void request(QueuedRequest Asked, TimePoint Now);

  /// A VM gives a permit back, or no longer waits for one.
  void release(const PermitKey &Key, PermitEnd End, TimePoint Now);

  /// A VM reports all it holds and waits for.
  void inventory(const TargetInventory &Given, TimePoint Now);

  /// A VM is known to be gone. Its permits last until the engine reports their
  /// adapter idle.
  void vmGone(const std::string &Vm, TimePoint Now);

  /// The engine's status; `SentAt` is when it was asked for.
  void engineStatus(const EngineStatus &Status, TimePoint SentAt,
                    TimePoint Now);

  void loadEnded(const AdapterRef &Adapter, const Status &Ended, TimePoint Now);
  void unloadEnded(const AdapterRef &Adapter, const Status &Ended,
                   TimePoint Now);

  /// The load that `nextLoad` would order now: its adapter has a place.
  std::optional<LoadWish> loadWish(TimePoint Now) const;

  /// Orders a load; only for what `loadWish` has just returned.
  LoadAction startLoad(const LoadWish &Wish, TimePoint Now);

  /// Refusals, grants, evictions that are due.
  std::vector<OwnerAction> advance(TimePoint Now);

  /// Refuses all that waits.
  std::vector<OwnerAction> refuseAll(const Refusal &Reason);

  /// How long a request of that priority would wait that came now.
  Duration estimateWait(const AdapterRef &Adapter, std::int64_t Priority,
                        TimePoint Now) const;

  /// How long a request of that priority would wait for a slot.
  Duration queueWait(std::int64_t Priority, TimePoint Now) const;

  /// Adapters so wanted that a second engine should hold them as well.
  std::set<AdapterRef> crowded(TimePoint Now) const;

  /// The VMs that have a permit out or whose inventory is missing.
  std::set<std::string> vmsInvolved() const;

  std::size_t waiting() const { return Queue_.size(); }
  std::size_t permitsOut() const { return Permits_.size(); }
  bool holds(const PermitKey &Key) const { return Permits_.count(Key) > 0; }
  bool isSettled() const { return Unheard_.empty(); }
  const std::string &incarnation() const { return Incarnation_; }
  const ResidencyTable &adapters() const { return Adapters_; }
  bool hasOrderInFlight() const;

private:
  struct PermitOut {
    AdapterRef Adapter_;
    TimePoint GrantedAt_{};
    /// When its VM was found gone; absent while the VM is there.
    std::optional<TimePoint> OrphanedAt_;
  };

  void addPermit(const PermitKey &Key, const AdapterRef &Adapter,
                 TimePoint Now);
  void dropPermit(std::map<PermitKey, PermitOut>::iterator Entry,
                  TimePoint Now);
  void orphan(const std::string &Vm, const std::string &KeptIncarnation,
              TimePoint Now);
  void dropOrphans(TimePoint SentAt, TimePoint Now);
  void refuse(QueuedRequest Given, Refusal Reason);
  void refuseExpired(TimePoint Now);
  void refuseHopeless(TimePoint Now);
  Duration loadDelay(const AdapterRef &Adapter, TimePoint Now) const;
  void grantAll(TimePoint Now);
  void makeRoom(TimePoint Now);
  void evict(const AdapterRef &Victim, TimePoint Now);
  bool isGrantable(const QueuedRequest &Given) const;
  std::vector<LoadWish> wishes(TimePoint Now) const;
  bool isUrgent(const QueuedRequest &Given, TimePoint Now) const;

  TargetOwnerOptions Options_;
  bool Leaving_ = false;
  std::set<std::string> Unheard_;
  std::string Incarnation_;
  FairQueue Queue_;
  ResidencyTable Adapters_;
  std::map<PermitKey, PermitOut> Permits_;
  std::vector<OwnerAction> Actions_;
  WaitEstimate Estimate_;
  /// When the waiting requests were last compared with the loads to come.
  TimePoint ForeseenAt_{};
  /// When the status was last asked for to find a place.
  std::optional<TimePoint> PollAskedAt_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_TARGETOWNER_H
