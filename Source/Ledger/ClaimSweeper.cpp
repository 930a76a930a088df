#include "Ledger/ClaimSweeper.h"

#include "Ledger/ClaimCodec.h"

namespace anvil {

TableTransaction ClaimSweeper::processPage(const std::vector<TableRow> &Rows,
                                           std::size_t Limit,
                                           std::int64_t NowSeconds) {
  TableTransaction Removal;
  for (const TableRow &Row : Rows) {
    auto Decoded = decodeClaim(Row.Value_);
    if (!isOk(Decoded) || valueOf(Decoded).ExpiresAt_ > NowSeconds)
      continue;
    Removal.Checks_.push_back({Row.Key_, Row.Version_});
    Removal.Writes_.push_back({Row.Key_, std::nullopt});
  }
  bool IsLast = Rows.size() < Limit;
  Cursor_ = IsLast ? std::string() : Rows.back().Key_;
  return Removal;
}

} // namespace anvil
