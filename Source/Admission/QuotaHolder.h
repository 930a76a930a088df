#ifndef ANVIL_ADMISSION_QUOTAHOLDER_H
#define ANVIL_ADMISSION_QUOTAHOLDER_H

#include "Admission/QuotaRows.h"
#include "Admission/QuotaShare.h"

#include <map>
#include <optional>
#include <string>

namespace anvil {

/// A change of a customer's row that this VM is about to try.
struct QuotaEdit {
  std::string Customer_;
  /// The lease that it is made under.
  std::string Lease_;
  std::uint64_t Number_ = 0;
  /// The version that the row must still have.
  std::uint64_t Version_ = 0;
  QuotaHoldings Row_;
  double OldPart_ = 0;
  double NewPart_ = 0;
  /// The part of the gain whose burst comes with it.
  double Fresh_ = 0;
};

/// How an edit ended, as far as this VM can tell.
enum class QuotaEditEnd {
  Done,
  /// The row had another version.
  Conflict,
  /// The edit certainly takes no effect.
  NotSent,
  /// It has taken effect, or will, or never will.
  Unknown,
};

/// One VM's lease and its shares of all customers: decides what to write into
/// the rows and what may be spent meanwhile. At most one read or edit of a
/// customer's row may be under way at a time.
class QuotaHolder {
public:
  QuotaHolder(QuotaTiming Timing, Duration Term, Duration LongTerm,
              std::string Vm, std::string DataCentre, std::string Incarnation,
              TimePoint Now);

  /// The next lease message. It counts as sent at `Now`.
  QuotaRenewal renewal(TimePoint Now);

  /// The message that ends the lease; nothing leased is spent after this. The
  /// caller sends it after the loans have ended.
  QuotaRenewal release(TimePoint Now);

  /// Takes in the reply to a renewal that was sent at `Asked`.
  void renewed(const QuotaRenewal &Renewal, const QuotaRenewalReply &Reply,
               TimePoint Asked, TimePoint Now);

  /// Goes on with the lease because every VM in `mates()` promised, after this
  /// VM asked at `Asked`, not to end it for a term. Promises hold it up to the
  /// long term after the last renewal.
  void promised(const std::string &Lease, TimePoint Asked, TimePoint Now);

  /// The other VMs that may end this VM's lease after a term.
  const std::vector<std::string> &mates() const { return Mates_; }

  /// Drops a lease that has run out, so that it is never taken up again.
  void expire(TimePoint Now);

  /// The part that needs no lease. It counts as soon as loans of an earlier
  /// life of this VM have ended.
  void setFloor(double Part) { Floor_ = Part; }

  /// The share of a customer with the limits of the configuration in force.
  QuotaShare &share(const std::string &Customer, double RatePerSecond,
                    double Burst, TimePoint Now);

  /// The share if there is one.
  QuotaShare *find(const std::string &Customer);

  /// Takes in a row as read. Parts that this VM holds count from now on.
  void observed(const std::string &Customer, const QuotaHoldings &Row,
                std::uint64_t Version, TimePoint Now);

  /// The edit of a row as just observed: drops holdings whose lease is not
  /// alive, moves the own part towards its fair size, notes the demand; nothing
  /// when that is not worth a write. A part that shrinks shrinks here first.
  std::optional<QuotaEdit> plan(const std::string &Customer, QuotaHoldings Row,
                                std::uint64_t Version,
                                const std::set<std::string> &Alive,
                                double Demand, double Reserve, TimePoint Now);

  /// Takes in how an edit ended.
  void settled(const QuotaEdit &Edit, QuotaEditEnd End, TimePoint Now);

  /// The id of the lease; empty without one.
  const std::string &lease() const { return Lease_; }
  bool leased(TimePoint Now) const { return !Lease_.empty() && Now < End_; }
  TimePoint leaseEnd() const { return End_; }

private:
  /// One customer's share and an edit whose end is not known.
  struct Entry {
    QuotaShare Share_;
    std::optional<QuotaEdit> Pending_;
  };

  void drop(TimePoint Now);
  void spreadLease(TimePoint Now);
  bool oldLoansEnded(TimePoint Now) const;

  QuotaTiming Timing_;
  Duration Term_;
  Duration LongTerm_;
  std::string Vm_;
  std::string DataCentre_;
  std::string Incarnation_;
  TimePoint Born_;
  std::string Lease_;
  TimePoint From_{};
  TimePoint End_{};
  /// When the newest renewal that took effect was sent.
  TimePoint Confirmed_{};
  std::uint64_t SeenVersion_ = 0;
  std::vector<std::string> Mates_;
  /// The lease that the next join has to replace.
  std::string Replaces_;
  std::uint64_t Counter_ = 0;
  double Floor_ = 0;
  bool Releasing_ = false;
  std::uint64_t NextEdit_ = 1;
  std::map<std::string, Entry> Entries_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTAHOLDER_H
