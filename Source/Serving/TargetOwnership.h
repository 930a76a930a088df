#ifndef ANVIL_SERVING_TARGETOWNERSHIP_H
#define ANVIL_SERVING_TARGETOWNERSHIP_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// A VM's own row in the store; shows that the VM is alive and where it is.
struct VmRow {
  std::string Vm_;
  std::string Incarnation_;
  std::string DataCentre_;
  /// `address:port` for messages between VMs.
  std::string PeerAddress_;
  /// The number of times that this incarnation wrote the row.
  std::uint64_t Renewals_ = 0;
  /// The row's version in the store.
  std::uint64_t RowVersion_ = 0;
  /// Whether the VM is on standby: it owns and claims no targets until its row
  /// changes. Such a row is renewed less often.
  bool Standby_ = false;
  /// The TCP port on which the VM relays connections of other VMs, zero if it
  /// doesn't, and the key that they must send.
  std::uint16_t RelayPort_ = 0;
  std::string RelayKey_{};
};

/// The row that names the owner of a target, the VM that sends it orders.
struct OwnerRow {
  std::string Target_;
  /// Empty once the owner has released it.
  std::string Vm_;
  /// The fencing token; increases with each change of the owner.
  std::uint64_t Fence_ = 0;
  std::uint64_t RowVersion_ = 0;
};

/// Time limits of ownership.
struct TargetOwnershipOptions {
  /// How long a VM may send orders after it sent its last renewal.
  Duration LeaseTerm_ = std::chrono::seconds(8);
  /// How long a standby row is valid.
  Duration StandbyTerm_ = std::chrono::seconds(30);
  /// Allowance for clock drift between two VMs over a term and for the latency
  /// of a call.
  Duration ClockMargin_ = std::chrono::milliseconds(500);
  /// The pause between the last order of one owner and the first of the next;
  /// from the platform's bounds.
  Duration HandoverPause_ = std::chrono::milliseconds(3300);
  /// How long the row of an expired VM is kept, in which time the VM still
  /// counts as one that may return. A standby row is kept longer, by the
  /// difference of the terms.
  Duration RowRetention_ = std::chrono::seconds(14);
  /// The additional time that unowned targets wait for a VM of their own data
  /// centre that claims targets, if VMs live there.
  Duration LocalClaimGrace_ = std::chrono::seconds(5);
  /// The maximum age of the rows by which a VM is considered expired: otherwise
  /// a VM that could not read for a while would consider all others expired.
  Duration MaxRowAge_ = std::chrono::milliseconds(1000);
  /// How long VMs wait for each other's rows before the first claims.
  Duration SettleTime_ = std::chrono::milliseconds(1500);
};

/// A claim to write, conditional on the rows being unchanged since they were
/// read.
struct OwnerClaim {
  OwnerRow Row_;
  /// The version that the target's owner row must have; zero if there is no
  /// row.
  std::uint64_t ExpectedRow_ = 0;
  /// The expired VM whose row must be unchanged, and is removed; may be empty.
  std::string ExpiredVm_;
  std::uint64_t ExpiredVmRow_ = 0;
};

/// Decides which targets this VM sends orders to. A VM owns a target while its
/// owner row in the store names the VM and the VM's lease, renewed by writing
/// its VM row, has not expired. A target whose owner stopped renewing goes to
/// the live VM with the highest score for it, after a pause in which no VM
/// sends orders.
class TargetOwnership {
public:
  TargetOwnership(std::string Self, TargetOwnershipOptions Options,
                  TimePoint Now)
      : Self_(std::move(Self)), Options_(Options), StartedAt_(Now) {}

  /// Applies the rows as read; `ReadAt` is when the reply arrived.
  void applyVms(const std::vector<VmRow> &Rows, TimePoint ReadAt);
  void applyOwners(const std::vector<OwnerRow> &Rows, TimePoint ReadAt);

  /// Records that a renewal sent at `SentAt` was confirmed; the lease starts
  /// then.
  void recordRenewal(TimePoint SentAt) { RenewedAt_ = SentAt; }

  /// Records that this VM's row was missing and was created again. While it was
  /// missing, others may have claimed what this VM owned, so the owner rows
  /// read before no longer show what it owns.
  void recordRowCreated() { Owners_.clear(); }

  /// Starts an era of the store, in which the rows of earlier ones are void.
  /// Targets that this VM may send orders now are held on: it may until the end
  /// of the lease that it has, and writes their rows again before others may.
  /// Until `NewOwnersFrom` no other target gets its first owner of this era.
  void startEra(std::uint64_t Era, TimePoint NewOwnersFrom, TimePoint Now);

  /// How long a right to send orders may last after the last answer of the era
  /// that confirmed it, and a pause until the next owner's first order.
  Duration rightsValidity() const {
    return Options_.LeaseTerm_ + Options_.ClockMargin_ +
           Options_.HandoverPause_;
  }

  /// Whether rows of earlier eras no longer matter.
  bool areEarlierRowsVoid(TimePoint Now) const {
    return Era_ > 0 && NewOwnersFrom_ <= Now;
  }

  /// Records that a standby row was confirmed, which grants no lease.
  void recordStandby() { RenewedAt_.reset(); }

  /// Records that this VM's row was removed: it owns nothing until the rows are
  /// read again.
  void recordRenewalRefused();

  /// Records that a claim is being written; the reply may be lost.
  void recordClaimSent(const std::string &Target, TimePoint Now) {
    ClaimSentAt_[Target] = Now;
  }

  /// Records that a claim was confirmed.
  void recordClaimed(const OwnerRow &Row, TimePoint Now);

  /// The claims to write for the given targets, which are mapped to their data
  /// centres. A target goes to a VM of its own data centre if one is alive
  /// there, so that a partition between data centres leaves no target without
  /// its owner.
  std::vector<OwnerClaim>
  claims(const std::map<std::string, std::string> &Targets,
         TimePoint Now) const;

  /// Whether a VM looks expired, but by rows older than `MaxRowAge_`, which
  /// should then be read again.
  bool needsRead(TimePoint Now) const;

  /// The fencing token with which this VM may send a target orders now, if it
  /// may.
  std::optional<std::uint64_t> orderingFence(const std::string &Target,
                                             TimePoint Now) const;

  /// Whether another process may have sent orders to a target that this VM
  /// owns: not if this process claimed it when it had no owner yet.
  bool mayHavePredecessor(const OwnerRow &Row) const;

  /// The known owner of a target; empty if there is none.
  std::string ownerOf(const std::string &Target, TimePoint Now) const;

  /// The rows that name this VM.
  std::vector<OwnerRow> owned() const;

  /// The VMs that renew their rows, this one included.
  std::vector<VmRow> liveVms(TimePoint Now) const;

  /// The rows of VMs expired for so long that this VM should remove them.
  std::vector<VmRow> rowsToPurge(TimePoint Now) const;

  /// The number of VMs with a row, expired ones included.
  std::size_t knownVms() const { return Vms_.size(); }

  /// The VMs of one data centre that should claim its `Targets` targets and be
  /// ready to take over: the first ones in a stable order of `Vms`.
  static std::vector<std::string> leaseCandidates(std::vector<std::string> Vms,
                                                  std::size_t Targets);

private:
  struct KnownVm {
    VmRow Row_;
    /// When this row version was first seen.
    TimePoint Since_{};
  };
  struct KnownOwner {
    OwnerRow Row_;
    /// The time before which no order may be sent.
    TimePoint OrdersFrom_{};
  };

  /// A target that this VM owned when an era began and whose row it has not
  /// found or written in this era yet.
  struct HeldTarget {
    KnownOwner Owner_;
    /// The end of the lease of the earlier era.
    TimePoint Until_{};
  };

  Duration termOf(const VmRow &Row) const;
  bool isLeased(TimePoint Now) const;
  bool isHeld(const std::string &Target, TimePoint Now) const;
  /// The claims that write the rows of held targets again.
  std::vector<OwnerClaim> heldClaims(TimePoint Now) const;
  bool looksExpired(const KnownVm &Known, TimePoint Now) const;
  bool mayClaimAcrossDataCentres(const OwnerClaim &Claim, TimePoint Now) const;
  bool isExpired(const KnownVm &Known, TimePoint Now) const;
  bool areRowsFresh(TimePoint Now) const;
  std::optional<OwnerClaim> claimOf(const std::string &Target,
                                    TimePoint Now) const;

  std::string Self_;
  TargetOwnershipOptions Options_;
  TimePoint StartedAt_;
  std::optional<TimePoint> RenewedAt_;
  std::optional<TimePoint> RowsReadAt_;
  std::map<std::string, KnownVm> Vms_;
  std::map<std::string, KnownOwner> Owners_;
  std::map<std::string, TimePoint> ClaimSentAt_;
  /// The store's era; zero if it names none.
  std::uint64_t Era_ = 0;
  TimePoint NewOwnersFrom_ = TimePoint::min();
  std::map<std::string, HeldTarget> Held_;
};

} // namespace anvil

#endif // ANVIL_SERVING_TARGETOWNERSHIP_H
