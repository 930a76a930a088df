#ifndef ANVIL_ADMISSION_QUOTALEASEHOLDER_H
#define ANVIL_ADMISSION_QUOTALEASEHOLDER_H

#include "Admission/QuotaRows.h"
#include "Admission/QuotaShare.h"

#include <map>
#include <optional>
#include <string>

namespace anvil {

/// A change of a customer's row that this VM is about to commit.
struct QuotaEdit {
  std::string Customer_;
  /// The lease under which it is made.
  std::string Lease_;
  std::uint64_t Number_ = 0;
  /// The row version that the commit checks.
  std::uint64_t Version_ = 0;
  QuotaAllocations Row_;
  double OldPart_ = 0;
  double NewPart_ = 0;
  /// The portion of the increase whose burst tokens are issued with it.
  double IssuedPart_ = 0;
};

/// The result of an edit, as far as this VM knows.
enum class QuotaEditResult {
  Committed,
  /// The row had another version.
  Conflict,
  /// The edit will not take effect.
  NotSent,
  /// The edit may have taken effect, or may still do so later.
  Unknown,
};

/// Manages one VM's lease and its shares of all customers: decides what to
/// write into the customers' rows and how many tokens may be spent in the
/// meantime. At most one read or edit of a customer's row may be in progress at
/// a time.
class QuotaLeaseHolder {
public:
  QuotaLeaseHolder(QuotaTiming Timing, Duration Term, Duration LongTerm,
                   std::string Vm, std::string DataCentre,
                   std::string Incarnation, TimePoint Now);

  /// Builds the next lease request. It counts as sent at `Now`.
  QuotaLeaseRequest nextRequest(TimePoint Now);

  /// Builds the request that ends the lease; no leased tokens are spent after
  /// this call. The caller sends the request only after all loans have ended.
  QuotaLeaseRequest release(TimePoint Now);

  /// Applies the reply to a request that was sent at `SentAt`.
  void applyReply(const QuotaLeaseRequest &Request,
                  const QuotaLeaseReply &Reply, TimePoint SentAt,
                  TimePoint Now);

  /// Extends the lease because every VM in `peers()` has promised, in reply to
  /// a request sent at `SentAt`, not to end it for a term. Promises extend it
  /// at most to the long term after the last renewal.
  void extendByPromises(const std::string &Lease, TimePoint SentAt,
                        TimePoint Now);

  /// The other VMs that may end this VM's lease after a term.
  const std::vector<std::string> &peers() const { return Peers_; }

  /// Drops an expired lease, so that it is never used again.
  void expire(TimePoint Now);

  /// Sets the part that needs no lease. It becomes effective once loans of an
  /// earlier incarnation of this VM have ended.
  void setFloor(double Part) { Floor_ = Part; }

  /// Returns the customer's share, updated to the given limits; creates it if
  /// there is none.
  QuotaShare &share(const std::string &Customer, double RatePerSecond,
                    double Burst, TimePoint Now);

  /// The share, or null if there is none.
  QuotaShare *find(const std::string &Customer);

  /// Applies a row as read from the store. Parts that this VM holds become
  /// usable.
  void observeRow(const std::string &Customer, const QuotaAllocations &Row,
                  std::uint64_t Version, TimePoint Now);

  /// Plans the edit of a row that was just passed to observeRow(): removes
  /// allocations whose lease is not in `LiveLeases`, moves the own part towards
  /// its fair size and records the demand. Returns nothing if the change is too
  /// small to write. A part that shrinks is reduced locally before the write.
  std::optional<QuotaEdit> planEdit(const std::string &Customer,
                                    QuotaAllocations Row, std::uint64_t Version,
                                    const std::set<std::string> &LiveLeases,
                                    double Demand, double Reserve,
                                    TimePoint Now);

  /// Applies the result of an edit.
  void finishEdit(const QuotaEdit &Edit, QuotaEditResult Result, TimePoint Now);

  /// The id of the lease; empty if there is none.
  const std::string &lease() const { return Lease_; }
  bool leased(TimePoint Now) const {
    return !Lease_.empty() && Now < LeaseEnd_;
  }
  TimePoint leaseEnd() const { return LeaseEnd_; }

private:
  /// One customer's share and an edit whose result is not known yet.
  struct Entry {
    QuotaShare Share_;
    std::optional<QuotaEdit> Pending_;
  };

  void dropLease(TimePoint Now);
  void updateShareLeases(TimePoint Now);
  bool oldLoansEnded(TimePoint Now) const;

  QuotaTiming Timing_;
  Duration Term_;
  Duration LongTerm_;
  std::string Vm_;
  std::string DataCentre_;
  std::string Incarnation_;
  TimePoint StartedAt_;
  std::string Lease_;
  TimePoint LeaseStart_{};
  TimePoint LeaseEnd_{};
  /// When the newest renewal that took effect was sent.
  TimePoint LastRenewalSentAt_{};
  std::uint64_t SeenVersion_ = 0;
  std::vector<std::string> Peers_;
  /// The lease that the next acquire request has to replace.
  std::string Replaces_;
  std::uint64_t Counter_ = 0;
  double Floor_ = 0;
  bool Releasing_ = false;
  std::uint64_t NextEdit_ = 1;
  std::map<std::string, Entry> Entries_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTALEASEHOLDER_H
