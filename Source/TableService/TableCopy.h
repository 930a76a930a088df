#ifndef ANVIL_TABLESERVICE_TABLECOPY_H
#define ANVIL_TABLESERVICE_TABLECOPY_H

#include "TableService/TableTypes.h"

#include <map>
#include <string>
#include <vector>

namespace anvil {

/// A copy of a table whose rows arrive by own reads and from other VMs, late,
/// repeated and in any order. A row of an older version never replaces a newer
/// one, and removed rows are kept with the version of their removal, so that
/// an older copy of such a row doesn't bring it back.
class TableCopy {
public:
  /// Applies changed and removed rows, except unknown ones up to the version of
  /// a whole read, which were removed before it. Returns those that are newer
  /// than the rows known before.
  std::vector<TableRow> applyChanges(const std::vector<TableRow> &Rows);

  /// Applies all rows that the table had at `Version`. Known rows up to that
  /// version that it lacks count as removed at that version. Returns the rows
  /// that changed, removed ones included.
  std::vector<TableRow> applyWhole(const std::vector<TableRow> &Rows,
                                   std::uint64_t Version);

  /// All rows, removed ones included.
  std::vector<TableRow> rows() const;

  /// The row with that key, or null if there is none or it was removed.
  const TableRow *find(const std::string &Key) const;

  /// The highest version of a row, removed ones included.
  std::uint64_t newest() const { return Newest_; }

  /// Forgets versions and removals, but not the rows, after the store has
  /// begun to give versions out again: any version is newer then.
  void forgetVersions();

private:
  std::map<std::string, TableRow> Rows_;
  std::uint64_t Newest_ = 0;
  /// The highest version of a whole read.
  std::uint64_t WholeVersion_ = 0;
};

} // namespace anvil

#endif // ANVIL_TABLESERVICE_TABLECOPY_H
