#ifndef ANVIL_LEDGER_CLAIMSWEEPER_H
#define ANVIL_LEDGER_CLAIMSWEEPER_H

#include "TableService/TableTypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvil {

/// Scans the claims' rows page by page and selects the expired ones for
/// removal.
class ClaimSweeper {
public:
  /// The key after which the next page begins; empty for the first page.
  const std::string &cursor() const { return Cursor_; }

  /// Returns the transaction that removes the rows of this page (at most
  /// `Limit`) that expired by `NowSeconds` (seconds since the Unix epoch), and
  /// advances the cursor. Rows that can't be decoded are kept.
  TableTransaction processPage(const std::vector<TableRow> &Rows,
                               std::size_t Limit, std::int64_t NowSeconds);

private:
  std::string Cursor_;
};

} // namespace anvil

#endif // ANVIL_LEDGER_CLAIMSWEEPER_H
