#ifndef ANVIL_SERVING_TARGETOWNERSHIP_H
#define ANVIL_SERVING_TARGETOWNERSHIP_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// A VM's own row in the store: it says that the VM lives and where.
struct VmRow {
  std::string Vm_;
  std::string Incarnation_;
  std::string DataCentre_;
  /// `address:port` for messages between VMs.
  std::string PeerAddress_;
  /// How often the row was written by this incarnation.
  std::uint64_t Renewals_ = 0;
  /// The row's version in the store.
  std::uint64_t RowVersion_ = 0;
  /// Whether the VM owns no targets and claims none until its row says
  /// otherwise. Such a row is renewed seldom.
  bool Standby_ = false;
};

/// The row that says which VM gives a target its orders.
struct OwnerRow {
  std::string Target_;
  /// Empty once the owner has given it up.
  std::string Vm_;
  /// Grows with each change of the owner.
  std::uint64_t Fence_ = 0;
  std::uint64_t RowVersion_ = 0;
};

/// The times of ownership.
struct TargetOwnershipOptions {
  /// How long a VM may give orders after it sent its last renewal.
  Duration LeaseTerm_ = std::chrono::seconds(8);
  /// For how long a row on standby counts.
  Duration StandbyTerm_ = std::chrono::seconds(30);
  /// What clocks of two VMs may differ by over a term, and a call's way.
  Duration Margin_ = std::chrono::milliseconds(500);
  /// The pause between the last order of one owner and the first of the next;
  /// from the platform's bounds.
  Duration HandoverPause_ = std::chrono::milliseconds(3300);
  /// How long a silent VM's row stays, so that it still counts as one that may
  /// come back; one on standby as much longer as its term is.
  Duration RowMemory_ = std::chrono::seconds(14);
  /// How much longer targets without an owner wait for a VM of their own data
  /// centre that claims targets, if VMs live there.
  Duration NeighbourTime_ = std::chrono::seconds(5);
  /// How old the rows may be for calling a VM silent by them: a VM that could
  /// not read for a while would take all others for silent.
  Duration RowsTime_ = std::chrono::milliseconds(1000);
  /// How long VMs wait for each other's rows before the first claims.
  Duration SettleTime_ = std::chrono::milliseconds(1500);
};

/// A claim to write: it holds only if the rows are still as they were read.
struct OwnerClaim {
  OwnerRow Row_;
  /// The version that the target's owner row must have; zero for none.
  std::uint64_t ExpectedRow_ = 0;
  /// The silent VM whose row must be unchanged, and is removed; may be empty.
  std::string SilentVm_;
  std::uint64_t SilentVmRow_ = 0;
};

/// Decides which targets this VM gives orders to. A VM owns a target while its
/// row in the store says so and its lease, renewed by writing its VM row, has
/// not ended. A target of a VM that stopped renewing goes to the live VM that
/// scores highest for it, after a pause in which nobody gives orders.
class TargetOwnership {
public:
  TargetOwnership(std::string Self, TargetOwnershipOptions Options,
                  TimePoint Now)
      : Self_(std::move(Self)), Options_(Options), StartedAt_(Now) {}

  /// Takes over the rows as read; `ReadAt` is when the answer came.
  void applyVms(const std::vector<VmRow> &Rows, TimePoint ReadAt);
  void applyOwners(const std::vector<OwnerRow> &Rows, TimePoint ReadAt);

  /// A renewal sent at `SentAt` was confirmed; the lease runs from then.
  void noteRenewed(TimePoint SentAt) { RenewedAt_ = SentAt; }

  /// The row of this VM was not there and was written anew. Until then others
  /// may have claimed what it owned by the rows it had read, so that these no
  /// longer say what it owns.
  void noteRowCreated() { Owners_.clear(); }

  /// A row on standby was confirmed, which is no lease.
  void noteStandby() { RenewedAt_.reset(); }

  /// The row of this VM was taken away: it owns nothing until it reads anew.
  void noteRenewalRefused();

  /// A claim is being written; its answer may be lost.
  void noteClaimSent(const std::string &Target, TimePoint Now) {
    ClaimSentAt_[Target] = Now;
  }

  /// A claim was confirmed.
  void noteClaimed(const OwnerRow &Row, TimePoint Now);

  /// The claims that should be written for the given targets, which come with
  /// their data centres. A target goes to a VM of its own data centre if one
  /// lives, so that a cut between data centres takes no owner away.
  std::vector<OwnerClaim>
  claims(const std::map<std::string, std::string> &Targets,
         TimePoint Now) const;

  /// Whether a VM looks silent by rows that are too old to say so; they should
  /// be read again then.
  bool needsRead(TimePoint Now) const;

  /// The fence under which this VM may give a target orders now.
  std::optional<std::uint64_t> mayOrder(const std::string &Target,
                                        TimePoint Now) const;

  /// Who owns a target as far as known; empty when nobody does.
  std::string ownerOf(const std::string &Target) const;

  /// The rows that name this VM.
  std::vector<OwnerRow> owned() const;

  /// The VMs that renew, this one included.
  std::vector<VmRow> liveVms(TimePoint Now) const;

  /// The rows of VMs that have been silent for so long that this VM should
  /// remove them.
  std::vector<VmRow> rowsToPurge(TimePoint Now) const;

  /// The VMs with a row, silent ones included.
  std::size_t knownVms() const { return Vms_.size(); }

  /// The VMs of one data centre that should claim its so many targets, and
  /// stand ready to take over: the first in a stable order of those given.
  static std::vector<std::string> claimants(std::vector<std::string> Vms,
                                            std::size_t Targets);

private:
  struct SeenVm {
    VmRow Row_;
    /// When this row version was first seen.
    TimePoint Since_{};
  };
  struct SeenOwner {
    OwnerRow Row_;
    /// Before this moment no order may be given.
    TimePoint OrdersFrom_{};
  };

  Duration termOf(const VmRow &Row) const;
  bool looksSilent(const SeenVm &Known, TimePoint Now) const;
  bool mayCross(const OwnerClaim &Claim, TimePoint Now) const;
  bool isSilent(const SeenVm &Known, TimePoint Now) const;
  bool areRowsFresh(TimePoint Now) const;
  std::optional<OwnerClaim> claimOf(const std::string &Target,
                                    TimePoint Now) const;

  std::string Self_;
  TargetOwnershipOptions Options_;
  TimePoint StartedAt_;
  std::optional<TimePoint> RenewedAt_;
  std::optional<TimePoint> RowsReadAt_;
  std::map<std::string, SeenVm> Vms_;
  std::map<std::string, SeenOwner> Owners_;
  std::map<std::string, TimePoint> ClaimSentAt_;
};

} // namespace anvil

#endif // ANVIL_SERVING_TARGETOWNERSHIP_H
