#ifndef ANVIL_ENTRY_OWNERROWS_H
#define ANVIL_ENTRY_OWNERROWS_H

#include "Serving/TargetOwnership.h"
#include "TableService/TableTypes.h"

#include <string>
#include <vector>

namespace anvil {

/// The keys of the store rows of VMs and owners.
std::string vmRowKey(const std::string &Vm);
std::string ownerRowKey(const std::string &Target);

/// The values of these rows.
std::string encodeVmRow(const VmRow &Row);
std::string encodeOwnerRow(const OwnerRow &Row);

/// The decoded rows of VMs and owners.
struct ControlRows {
  std::vector<VmRow> Vms_;
  std::vector<OwnerRow> Owners_;
};

/// Decodes rows by kind. Rows that can't be decoded are left out.
ControlRows decodeControlRows(const std::vector<TableRow> &Rows);

/// The transaction that commits a claim if the rows are unchanged since they
/// were read and this VM's own row still belongs to it.
TableTransaction claimTransaction(const OwnerClaim &Claim,
                                  const std::string &Self,
                                  std::uint64_t OwnRowVersion);

} // namespace anvil

#endif // ANVIL_ENTRY_OWNERROWS_H
