#ifndef ANVIL_ADMISSION_QUOTAROWS_H
#define ANVIL_ADMISSION_QUOTAROWS_H

#include "Kernel/Error.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvil {

/// A VM's lease in its data centre's row. One lease covers the VM's parts of
/// all customers, so that renewals cost the same with any number of customers.
/// A lease that has ended stays in the row until the VM takes its next one, so
/// that a message that comes late can't bring it back.
struct QuotaLease {
  /// Never used again after the lease has ended.
  std::string Id_;
  /// Grows with each renewal; observers wait until it has stood still.
  std::uint64_t Counter_ = 0;
  bool Ended_ = false;
  /// The version of the row before the VM joined.
  std::uint64_t Joined_ = 0;
  /// The newest version of the row that the VM is known to have seen.
  std::uint64_t Seen_ = 0;
};

/// The leases of a data centre, by VM.
using QuotaLeases = std::map<std::string, QuotaLease>;

/// What a VM asks of its lease.
enum class QuotaLeaseWish { Join, Renew, Release };

/// Asks for a lease, its renewal or its end. Each one is sent only once; the
/// VM sends the next with a higher counter.
struct QuotaRenewal {
  QuotaLeaseWish Wish_ = QuotaLeaseWish::Join;
  std::string Vm_;
  std::string DataCentre_;
  /// The lease to be renewed or ended, or the id of the one that is asked for.
  std::string Id_;
  /// Join: the VM's lease in the row, ended or of its earlier life; empty when
  /// it has none there.
  std::string Replaces_;
  std::uint64_t Counter_ = 0;
  /// Join: what an earlier life of the VM lent has been used up by now.
  bool OldLoansEnded_ = false;
  /// The newest version of the row that the VM has seen.
  std::uint64_t Seen_ = 0;
};

/// Whether a renewal took effect, and the VM's lease as the row has it.
struct QuotaRenewalReply {
  bool Accepted_ = false;
  std::string CurrentId_;
  /// The row after the renewal: its version and the VMs whose lease hasn't
  /// ended.
  std::uint64_t Version_ = 0;
  std::vector<std::string> Mates_;
};

/// Changes the row, read at that version, as the renewal asks, or says why not.
QuotaRenewalReply applyQuotaRenewal(QuotaLeases &Row, const QuotaRenewal &Asked,
                                    std::uint64_t Version);

/// The VMs whose lease hasn't ended.
std::vector<std::string> liveQuotaVms(const QuotaLeases &Row);

/// The ids of the leases that haven't ended.
std::set<std::string> liveQuotaLeases(const QuotaLeases &Row);

/// What a VM holds of a customer's rate and burst, and how much it needs.
struct QuotaHolding {
  double Part_ = 0;
  /// Tokens a second that callers asked for, decayed.
  double Demand_ = 0;
  /// The holder's edit that wrote this, so that it knows after a lost answer
  /// whether the edit took effect.
  std::uint64_t Edit_ = 0;
  std::string Vm_;
  std::string DataCentre_;
};

/// A customer's row: the parts by lease.
struct QuotaHoldings {
  std::map<std::string, QuotaHolding> ByLease_;
  /// The part, held by nobody, whose burst nobody has been given yet. It only
  /// shrinks once the quota has been created.
  double Fresh_ = 0;

  /// The sum of all parts.
  double total() const;

  /// Removes the holdings whose lease is not in `Alive`; whether there were
  /// any.
  bool dropOthers(const std::set<std::string> &Alive);
};

/// The floors of all VMs, by VM name, and the part reserved for them.
struct QuotaFloors {
  double Reserve_ = 0;
  std::map<std::string, double> ByVm_;

  double total() const;
};

/// The part that a VM should write into the customer's row for itself, given
/// everyone's demand: its fair part, limited by what nobody holds.
double nextQuotaPart(const QuotaHoldings &Row, const std::string &Lease,
                     double Demand, double Reserve);

std::string encodeQuotaLeases(const QuotaLeases &Given);
std::string encodeQuotaHoldings(const QuotaHoldings &Given);
std::string encodeQuotaFloors(const QuotaFloors &Given);

/// Read a row's value; an empty one has no entries. The error says that it
/// can't be read.
Result<QuotaLeases> decodeQuotaLeases(const std::string &Text);
Result<QuotaHoldings> decodeQuotaHoldings(const std::string &Text);
Result<QuotaFloors> decodeQuotaFloors(const std::string &Text);

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTAROWS_H
