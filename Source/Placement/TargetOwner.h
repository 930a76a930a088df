#ifndef ANVIL_PLACEMENT_TARGETOWNER_H
#define ANVIL_PLACEMENT_TARGETOWNER_H

#include "Placement/FairQueue.h"
#include "Placement/ResidencyTable.h"
#include "Placement/WaitEstimate.h"

#include <set>

namespace anvil {

/// An owner's parameters from the configuration and the settings.
struct TargetOwnerOptions {
  std::int64_t Slots_ = 8;
  std::int64_t AdapterSlots_ = 4;
  QueueLimits Limits_;
  QueueOrder Order_ = QueueOrder::Fair;
  PlacementTerms Terms_;
};

/// An adapter version that requests wait for and that is not resident.
struct LoadCandidate {
  AdapterRef Adapter_;
  std::string Weights_;
  /// Whether a request for it has waited too long for the normal order.
  bool Urgent_ = false;
  std::int64_t Priority_ = 0;
  double WaitingTokens_ = 0;
  TimePoint Oldest_{};

  /// Whether this one is loaded first when the weight store limits loads.
  bool precedes(const LoadCandidate &Other) const;
};

/// Decides for one engine which requests get permits and which adapters are
/// resident. Call `advance` after each event and execute the actions that it
/// returns.
class TargetOwner {
public:
  /// The least time between two status polls for finding an eviction candidate;
  /// the regular polls come on top.
  static constexpr Duration MinPollInterval = std::chrono::milliseconds(50);

  /// Evicts nothing until every VM of `MissingInventories` has sent its
  /// inventory or has been removed by `vmTerminated`.
  TargetOwner(TargetOwnerOptions Options,
              std::set<std::string> MissingInventories, TimePoint Now);

  /// Applies a change of the configuration.
  void configure(std::int64_t Slots, std::int64_t AdapterSlots, bool Leaving);

  /// Handles a permit request. A repeated request has no second effect.
  void request(QueuedRequest Request, TimePoint Now);

  /// Releases a permit or withdraws a waiting request.
  void release(const PermitKey &Key, PermitOutcome End, TimePoint Now);

  /// Applies a VM's inventory of permits and pending requests.
  void inventory(const TargetInventory &Inventory, TimePoint Now);

  /// Handles a VM that no longer runs. Its permits last until the engine
  /// reports their adapter idle.
  void vmTerminated(const std::string &Vm, TimePoint Now);

  /// Applies an engine status; `SentAt` is when it was requested.
  void engineStatus(const EngineStatus &Status, TimePoint SentAt,
                    TimePoint Now);

  void loadEnded(const AdapterRef &Adapter, const Status &OrderStatus,
                 TimePoint Now);
  void unloadEnded(const AdapterRef &Adapter, const Status &OrderStatus,
                   TimePoint Now);

  /// The load to order next, or nothing without a candidate or a free adapter
  /// slot.
  std::optional<LoadCandidate> nextLoad(TimePoint Now) const;

  /// Orders a load; `Candidate` must be what `nextLoad` has just returned.
  LoadAction startLoad(const LoadCandidate &Candidate, TimePoint Now);

  /// Returns the actions that are due, such as refusals, grants and evictions.
  std::vector<OwnerAction> advance(TimePoint Now);

  /// Refuses all waiting requests.
  std::vector<OwnerAction> refuseAll(const Refusal &Reason);

  /// The estimated wait, for queue and load together, of a request that arrives
  /// now with that priority.
  Duration estimateWait(const AdapterRef &Adapter, std::int64_t Priority,
                        TimePoint Now) const;

  /// The estimated wait for a request slot at that priority.
  Duration queueWait(std::int64_t Priority, TimePoint Now) const;

  /// Adapters in such demand that a second engine should hold them as well.
  std::set<AdapterRef> highDemandAdapters(TimePoint Now) const;

  /// The VMs that hold a permit or whose inventory is missing.
  std::set<std::string> vmsInvolved() const;

  std::size_t waiting() const { return Queue_.size(); }
  std::size_t outstandingPermits() const { return Permits_.size(); }
  bool holds(const PermitKey &Key) const { return Permits_.count(Key) > 0; }
  bool hasAllInventories() const { return MissingInventories_.empty(); }
  const std::string &incarnation() const { return Incarnation_; }
  const ResidencyTable &adapters() const { return Adapters_; }
  bool hasOrderInFlight() const;

private:
  struct OutstandingPermit {
    AdapterRef Adapter_;
    TimePoint GrantedAt_{};
    /// When its VM was found to have ended; absent while the VM runs.
    std::optional<TimePoint> OrphanedAt_;
  };

  void addPermit(const PermitKey &Key, const AdapterRef &Adapter,
                 TimePoint Now);
  void dropPermit(std::map<PermitKey, OutstandingPermit>::iterator Entry,
                  TimePoint Now);
  void orphan(const std::string &Vm, const std::string &KeptIncarnation,
              TimePoint Now);
  void dropOrphans(TimePoint SentAt, TimePoint Now);
  void refuse(QueuedRequest Request, Refusal Reason);
  void refuseExpired(TimePoint Now);
  void refuseUnreachable(TimePoint Now);
  Duration loadDelay(const AdapterRef &Adapter, TimePoint Now) const;
  void grantAll(TimePoint Now);
  void makeRoom(TimePoint Now);
  void evict(const AdapterRef &Adapter, TimePoint Now);
  bool isGrantable(const QueuedRequest &Request) const;
  std::vector<LoadCandidate> loadCandidates(TimePoint Now) const;
  bool isUrgent(const QueuedRequest &Request, TimePoint Now) const;

  TargetOwnerOptions Options_;
  bool Leaving_ = false;
  std::set<std::string> MissingInventories_;
  std::string Incarnation_;
  FairQueue Queue_;
  ResidencyTable Adapters_;
  std::map<PermitKey, OutstandingPermit> Permits_;
  std::vector<OwnerAction> Actions_;
  WaitEstimate Estimate_;
  /// When the waiting requests were last checked against the expected loads.
  TimePoint LoadForecastAt_{};
  /// When the status was last polled to find an eviction candidate.
  std::optional<TimePoint> PollRequestedAt_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_TARGETOWNER_H
