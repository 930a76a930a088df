#ifndef ANVIL_PLACEMENT_OWNERLEASE_H
#define ANVIL_PLACEMENT_OWNERLEASE_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// How long ownership lasts and how far clocks are allowed for.
struct LeaseTerms {
  Duration Term_ = std::chrono::seconds(6);
  /// What the holder stops early and observers wait longer; it covers the
  /// drift of two clocks over a term.
  Duration Margin_ = std::chrono::milliseconds(500);
  /// The longest that an order to an engine may be in flight.
  Duration LongestOrder_ = std::chrono::seconds(20);
};

/// A VM that owns targets, as the lease row has it.
struct LeaseHolder {
  std::string Vm_;
  std::string Incarnation_;
  /// The number of the claim that renewed it last.
  std::uint64_t Claim_ = 0;
  /// The generation that the VM had adopted when it renewed.
  std::uint64_t Adopted_ = 0;

  auto operator<=>(const LeaseHolder &) const = default;
};

/// The one lease row of a data centre. The owner of a target is the first of
/// the holders in the rendezvous order of the target's name.
struct LeaseRow {
  /// Grows whenever holders come or go; it is the fencing number.
  std::uint64_t Generation_ = 0;
  std::vector<LeaseHolder> Holders_;

  auto operator<=>(const LeaseRow &) const = default;

  const LeaseHolder *find(const std::string &Vm) const;
  /// The holder that owns the target, or null when there are none.
  const LeaseHolder *ownerOf(const std::string &Target) const;
};

std::string encodeLeaseRow(const LeaseRow &Row);
/// Nothing when the text is no lease row.
std::optional<LeaseRow> decodeLeaseRow(const std::string &Text);

/// A request to be written into the lease row.
struct LeaseClaim {
  std::string Vm_;
  std::string Incarnation_;
  /// Numbers the claims of one life of a VM.
  std::uint64_t Number_ = 0;
  std::uint64_t Adopted_ = 0;
};

/// What this VM believes of the ownership of its data centre's targets. All
/// times are of this VM's own clock.
class OwnerLease {
public:
  OwnerLease(LeaseTerms Terms, std::string Vm, std::string Incarnation);

  /// Whether it is time to claim. A VM that comes new watches the row for a
  /// term first, so that it knows who ordered what it gets.
  bool mayJoin(TimePoint Now) const;

  /// A new claim, which leaves now. The lease it brings counts from now.
  LeaseClaim claim(TimePoint Now);

  /// The row with these VMs added or renewed and lapsed holders removed.
  /// `Current` must be the row that the write checks.
  LeaseRow renewed(const LeaseRow &Current,
                   const std::vector<LeaseClaim> &Claims, TimePoint Now);

  /// The row without this VM.
  LeaseRow withoutSelf(const LeaseRow &Current) const;

  /// Takes in a row that was read or committed, with its version in the table.
  /// A row older than the one known is ignored.
  void adopt(const LeaseRow &Row, std::uint64_t Version, TimePoint Now);

  /// The previous owner says that it gives no more orders for these targets as
  /// of that generation, and that none is in flight.
  void yielded(const std::string &From, const std::string &Incarnation,
               const std::vector<std::string> &Targets,
               std::uint64_t Generation);

  /// Whether the holder may order and grant for the target now.
  bool mayOrder(const std::string &Target, bool ChecksFencing,
                TimePoint Now) const;

  /// Whether this VM is the target's owner by the row, ready or not.
  bool owns(const std::string &Target) const;

  /// The owner of the target by the row; empty when there is none.
  std::string ownerOf(const std::string &Target) const;

  /// The owner of the target when this VM is left out; empty when there is
  /// none.
  std::string successorOf(const std::string &Target) const;

  /// Gives up everything at once.
  void stop();

  const LeaseRow &row() const { return Row_; }
  std::uint64_t fencing() const { return Row_.Generation_; }
  /// When the lease ends; absent without one.
  std::optional<TimePoint> leaseEnd() const { return LeaseEnd_; }

private:
  /// A change of holders that this VM saw, for the targets it gained by it.
  struct Change {
    LeaseRow Before_;
    LeaseRow After_;
    TimePoint SeenAt_{};
    /// Whether no generation between was missed.
    bool IsNext_ = false;
  };
  struct Observed {
    LeaseHolder Seen_;
    TimePoint Since_{};
  };

  bool isSelf(const LeaseHolder *Known) const;
  bool isLapsed(const LeaseHolder &Known, TimePoint Now) const;
  void observe(const LeaseRow &Row, TimePoint Now);
  void learnLease(const LeaseRow &Row);
  TimePoint readyAt(const std::string &Target, bool ChecksFencing) const;
  TimePoint waitAfter(const Change &Seen, const std::string &Target,
                      bool ChecksFencing) const;

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
  std::vector<Change> Changes_;
  /// The generation as of which the last owner yielded the target.
  std::map<std::string, std::uint64_t> Yielded_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_OWNERLEASE_H
