#ifndef ANVIL_PLACEMENT_OWNERLEASE_H
#define ANVIL_PLACEMENT_OWNERLEASE_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Lease term and safety margins.
struct LeaseTerms {
  Duration Term_ = std::chrono::seconds(6);
  /// The holder stops this much early and observers wait this much longer; it
  /// covers the drift between two clocks over a term.
  Duration Margin_ = std::chrono::milliseconds(500);
  /// The longest time that an order to an engine may be in flight.
  Duration MaxOrderTime_ = std::chrono::seconds(20);
};

/// One VM's entry in the lease row.
struct LeaseHolder {
  std::string Vm_;
  std::string Incarnation_;
  /// The number of the claim that renewed it last.
  std::uint64_t Claim_ = 0;
  /// The generation that the VM had adopted when it renewed.
  std::uint64_t Adopted_ = 0;

  auto operator<=>(const LeaseHolder &) const = default;
};

/// The lease row of a data centre. A target is owned by the holder with the
/// highest rendezvous score for the target's name.
struct LeaseRow {
  /// Incremented whenever a holder is added or removed; serves as the fencing
  /// token.
  std::uint64_t Generation_ = 0;
  std::vector<LeaseHolder> Holders_;

  auto operator<=>(const LeaseRow &) const = default;

  const LeaseHolder *find(const std::string &Vm) const;
  /// The holder that owns the target, or null without holders.
  const LeaseHolder *ownerOf(const std::string &Target) const;
};

std::string encodeLeaseRow(const LeaseRow &Row);
/// Returns nothing when the text is not a lease row.
std::optional<LeaseRow> decodeLeaseRow(const std::string &Text);

/// A VM's request to add or renew its entry in the lease row.
struct LeaseClaim {
  std::string Vm_;
  std::string Incarnation_;
  /// Numbers the claims of one incarnation of a VM.
  std::uint64_t Number_ = 0;
  std::uint64_t Adopted_ = 0;
};

/// This VM's view of who owns the targets of its data centre: tracks the lease
/// row, this VM's own lease, and when a newly gained target may be used. All
/// times are of this VM's own clock.
class OwnerLease {
public:
  OwnerLease(LeaseTerms Terms, std::string Vm, std::string Incarnation);

  /// Whether this VM may claim a lease. A newly started VM first observes the
  /// row for a term, so that it knows which holders may have orders in flight
  /// for the targets that it gains.
  bool mayClaim(TimePoint Now) const;

  /// Makes a new claim to be sent now. The lease that it brings counts from
  /// now.
  LeaseClaim claim(TimePoint Now);

  /// Returns the row with these VMs added or renewed and expired holders
  /// removed. `Current` must be the row version that the write checks.
  LeaseRow renewed(const LeaseRow &Current,
                   const std::vector<LeaseClaim> &Claims, TimePoint Now);

  /// Returns the row without this VM.
  LeaseRow withoutSelf(const LeaseRow &Current) const;

  /// Applies a row that was read or committed, with its version in the table. A
  /// row older than the current one is ignored.
  void adopt(const LeaseRow &Row, std::uint64_t Version, TimePoint Now);

  /// Records that the previous owner gives no more orders for these targets as
  /// of that generation, and has none in flight.
  void recordHandover(const std::string &From, const std::string &Incarnation,
                      const std::vector<std::string> &Targets,
                      std::uint64_t Generation);

  /// Whether this VM may give orders and grant permits for the target now.
  bool mayOrder(const std::string &Target, bool ChecksFencing,
                TimePoint Now) const;

  /// Whether the row names this VM as the target's owner, even if it may not
  /// give orders yet.
  bool owns(const std::string &Target) const;

  /// The target's owner in the row; empty when there is none.
  std::string ownerOf(const std::string &Target) const;

  /// The target's owner when this VM is left out; empty when there is none.
  std::string successorOf(const std::string &Target) const;

  /// Ends this VM's lease at once.
  void stop();

  const LeaseRow &row() const { return Row_; }
  std::uint64_t fencingToken() const { return Row_.Generation_; }
  /// When this VM's lease ends; absent without one.
  std::optional<TimePoint> leaseEnd() const { return LeaseEnd_; }

private:
  /// A change of the holders, kept to find the targets that changed owner with
  /// it.
  struct HolderChange {
    LeaseRow Before_;
    LeaseRow After_;
    TimePoint ObservedAt_{};
    /// Whether the generation is the direct successor of the one before.
    bool IsConsecutive_ = false;
  };
  struct Observed {
    LeaseHolder Holder_;
    TimePoint Since_{};
  };

  bool isSelf(const LeaseHolder *Holder) const;
  bool isExpired(const LeaseHolder &Holder, TimePoint Now) const;
  void observe(const LeaseRow &Row, TimePoint Now);
  void updateLeaseEnd(const LeaseRow &Row);
  TimePoint readyAt(const std::string &Target, bool ChecksFencing) const;
  TimePoint readyAfter(const HolderChange &Transition,
                       const std::string &Target, bool ChecksFencing) const;

  LeaseTerms Terms_;
  std::string Vm_;
  std::string Incarnation_;
  LeaseRow Row_;
  std::uint64_t RowVersion_ = 0;
  TimePoint FirstSeenAt_{};
  std::uint64_t LastClaim_ = 0;
  std::map<std::uint64_t, TimePoint> ClaimsSent_;
  std::optional<TimePoint> LeaseEnd_;
  std::map<std::string, Observed> Observed_;
  std::vector<HolderChange> HolderChanges_;
  /// The generation as of which a previous owner handed the target over, by VM,
  /// incarnation and target.
  std::map<std::string, std::uint64_t> HandedOver_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_OWNERLEASE_H
