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
/// all customers, so that the cost of renewals does not depend on the number of
/// customers. An ended lease stays in the row until the VM acquires its next
/// one, so that a delayed message cannot revive it.
struct QuotaLease {
  /// Not reused after the lease has ended.
  std::string Id_;
  /// Increases with each renewal. Observers end the lease when it has not
  /// changed for the term.
  std::uint64_t Counter_ = 0;
  bool Ended_ = false;
  /// The version of the row before the VM acquired the lease.
  std::uint64_t AcquiredVersion_ = 0;
  /// The newest version of the row that the VM is known to have seen.
  std::uint64_t SeenVersion_ = 0;
};

/// The leases of a data centre, by VM name.
using QuotaLeases = std::map<std::string, QuotaLease>;

/// The action that a VM requests for its lease.
enum class QuotaLeaseAction { Acquire, Renew, Release };

/// Requests a new lease, its renewal or its end. Each request is sent only
/// once; the next one has a higher counter.
struct QuotaLeaseRequest {
  QuotaLeaseAction Action_ = QuotaLeaseAction::Acquire;
  std::string Vm_;
  std::string DataCentre_;
  /// The lease to renew or end, or the id of the lease to acquire.
  std::string Id_;
  /// Acquire: the VM's lease in the row, either ended or of an earlier
  /// incarnation; empty if there is none.
  std::string Replaces_;
  std::uint64_t Counter_ = 0;
  /// Acquire: loans made by an earlier incarnation of the VM have ended by now.
  bool OldLoansEnded_ = false;
  /// The newest version of the row that the VM has seen.
  std::uint64_t SeenVersion_ = 0;
};

/// Whether a request took effect, and the VM's lease as stored in the row.
struct QuotaLeaseReply {
  bool Accepted_ = false;
  std::string CurrentId_;
  /// The version of the row after the request, and the VMs whose lease has not
  /// ended.
  std::uint64_t Version_ = 0;
  std::vector<std::string> Peers_;
};

/// Applies a request to the row that was read at `Version`. The reply says
/// whether it took effect.
QuotaLeaseReply applyQuotaLeaseRequest(QuotaLeases &Row,
                                       const QuotaLeaseRequest &Request,
                                       std::uint64_t Version);

/// The VMs whose lease has not ended.
std::vector<std::string> liveQuotaVms(const QuotaLeases &Row);

/// The ids of the leases that have not ended.
std::set<std::string> liveQuotaLeases(const QuotaLeases &Row);

/// The part of a customer's rate and burst that is allocated to a VM, and the
/// VM's demand.
struct QuotaAllocation {
  double Part_ = 0;
  /// Tokens per second requested by callers, as a decaying average.
  double Demand_ = 0;
  /// The VM's edit that wrote this, by which the VM recognises after a lost
  /// reply whether the edit took effect.
  std::uint64_t EditNumber_ = 0;
  std::string Vm_;
  std::string DataCentre_;
};

/// A customer's row: the allocated parts by lease.
struct QuotaAllocations {
  std::map<std::string, QuotaAllocation> ByLease_;
  /// The unallocated part whose burst tokens have not been issued to any VM
  /// yet. It only shrinks once the quota has been created.
  double UnissuedPart_ = 0;

  /// The sum of all allocated parts.
  double total() const;

  /// Removes the allocations whose lease is not in `LiveLeases`; returns
  /// whether there were any.
  bool dropEnded(const std::set<std::string> &LiveLeases);
};

/// Whether the parts of a row that was read are ones that VMs can have written:
/// none is negative, and all and the reserve together are at most the whole.
bool isConsistent(const QuotaAllocations &Row, double Reserve);

/// The floors of all VMs, by VM name, and the part that is reserved for them.
struct QuotaFloors {
  double Reserve_ = 0;
  std::map<std::string, double> ByVm_;

  double total() const;
};

/// The part that a VM should write into the customer's row for itself, given
/// the demand of all VMs: its fair part, limited by its own part plus what is
/// unallocated.
double nextQuotaPart(const QuotaAllocations &Row, const std::string &Lease,
                     double Demand, double Reserve);

std::string encodeQuotaLeases(const QuotaLeases &Source);
std::string encodeQuotaAllocations(const QuotaAllocations &Source);
std::string encodeQuotaFloors(const QuotaFloors &Source);

/// Parse a row's value; an empty value gives an empty row. They fail with
/// ErrorCode::Protocol if the value is malformed.
Result<QuotaLeases> decodeQuotaLeases(const std::string &Text);
Result<QuotaAllocations> decodeQuotaAllocations(const std::string &Text);
Result<QuotaFloors> decodeQuotaFloors(const std::string &Text);

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTAROWS_H
