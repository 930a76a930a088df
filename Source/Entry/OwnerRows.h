#ifndef ANVIL_ENTRY_OWNERROWS_H
#define ANVIL_ENTRY_OWNERROWS_H

#include "Serving/TargetOwnership.h"
#include "TableService/TableTypes.h"

#include <string>
#include <vector>

namespace anvil {

/// The keys of the rows of VMs and owners in the store.
std::string vmRowKey(const std::string &Vm);
std::string ownerRowKey(const std::string &Target);

/// The values of these rows.
std::string encodeVmRow(const VmRow &Row);
std::string encodeOwnerRow(const OwnerRow &Row);

/// The rows of VMs and of owners among rows that were read.
struct ControlRows {
  std::vector<VmRow> Vms_;
  std::vector<OwnerRow> Owners_;
};

/// Sorts rows by kind. Rows that can't be read are left out.
ControlRows decodeControlRows(const std::vector<TableRow> &Rows);

/// The transaction that makes a claim true, if the rows are as they were read
/// and this VM's own row is still its own.
TableTransaction claimTransaction(const OwnerClaim &Claim,
                                  const std::string &Self,
                                  std::uint64_t OwnRowVersion);

} // namespace anvil

#endif // ANVIL_ENTRY_OWNERROWS_H
