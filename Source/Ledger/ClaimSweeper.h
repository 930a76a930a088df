#ifndef ANVIL_LEDGER_CLAIMSWEEPER_H
#define ANVIL_LEDGER_CLAIMSWEEPER_H

#include "TableService/TableTypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvil {

/// Goes through the claims' rows page by page and says which are past their
/// time.
class ClaimSweeper {
public:
  /// Where the next page begins; empty is the first row.
  const std::string &cursor() const { return Cursor_; }

  /// Takes a page of at most `Limit` rows and gives the removal of those that
  /// expired by `NowSeconds` of the Unix clock. Rows that can't be read stay.
  TableTransaction takePage(const std::vector<TableRow> &Rows,
                            std::size_t Limit, std::int64_t NowSeconds);

private:
  std::string Cursor_;
};

} // namespace anvil

#endif // ANVIL_LEDGER_CLAIMSWEEPER_H
