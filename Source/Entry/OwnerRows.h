#ifndef ANVIL_ENTRY_OWNERROWS_H
#define ANVIL_ENTRY_OWNERROWS_H

#include "Serving/TargetOwnership.h"
#include "TableService/TableTypes.h"

#include <string>
#include <vector>

namespace anvil {

/// The keys of the store rows of VMs and owners. They contain the store's era
/// if it names one (not zero), so that a transaction prepared in an earlier era
/// can't change rows of this one, whatever their versions are.
std::string vmRowKey(const std::string &Vm, std::uint64_t Era);
std::string ownerRowKey(const std::string &Target, std::uint64_t Era);

/// The values of these rows.
std::string encodeVmRow(const VmRow &Row);
std::string encodeOwnerRow(const OwnerRow &Row);

/// The decoded rows of VMs and owners.
struct ControlRows {
  /// The rows of this era.
  std::vector<VmRow> Vms_;
  std::vector<OwnerRow> Owners_;
  /// VMs that wrote rows in earlier eras only. They show addresses, but neither
  /// leases nor owners.
  std::vector<VmRow> EarlierVms_;
  /// The rows of earlier eras.
  std::vector<TableRow> EarlierRows_;
};

/// Decodes rows by kind and era. Rows that can't be decoded are left out.
ControlRows decodeControlRows(const std::vector<TableRow> &Rows,
                              std::uint64_t Era);

/// The transaction that commits a claim if the rows are unchanged since they
/// were read and this VM's own row still belongs to it.
TableTransaction claimTransaction(const OwnerClaim &Claim,
                                  const std::string &Self,
                                  std::uint64_t OwnRowVersion,
                                  std::uint64_t Era);

/// The transaction that removes rows if they are unchanged since they were
/// read; as many of them as fit into one.
TableTransaction removal(const std::vector<TableRow> &Rows);

} // namespace anvil

#endif // ANVIL_ENTRY_OWNERROWS_H
