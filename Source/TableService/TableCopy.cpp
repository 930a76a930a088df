#include "TableService/TableCopy.h"

#include <algorithm>
#include <set>

namespace anvil {

std::vector<TableRow>
TableCopy::applyChanges(const std::vector<TableRow> &Rows) {
  std::vector<TableRow> Newer;
  for (const TableRow &Row : Rows) {
    if (Row.Version_ <= WholeVersion_ && !Rows_.contains(Row.Key_))
      continue;
    auto [Found, IsUnknown] = Rows_.try_emplace(Row.Key_, Row);
    if (!IsUnknown && Row.Version_ <= Found->second.Version_)
      continue;
    Found->second = Row;
    Newest_ = std::max(Newest_, Row.Version_);
    Newer.push_back(Row);
  }
  return Newer;
}

std::vector<TableRow> TableCopy::applyWhole(const std::vector<TableRow> &Rows,
                                            std::uint64_t Version) {
  std::set<std::string_view> Listed;
  for (const TableRow &Row : Rows)
    Listed.insert(Row.Key_);
  std::vector<TableRow> Removed;
  for (const auto &[Key, Known] : Rows_)
    if (!Known.Deleted_ && Known.Version_ <= Version && !Listed.contains(Key))
      Removed.push_back({Key, "", Version, true});
  std::vector<TableRow> Newer = applyChanges(Rows);
  WholeVersion_ = std::max(WholeVersion_, Version);
  for (TableRow &Row : Removed) {
    Rows_[Row.Key_] = Row;
    Newest_ = std::max(Newest_, Version);
    Newer.push_back(std::move(Row));
  }
  return Newer;
}

std::vector<TableRow> TableCopy::rows() const {
  std::vector<TableRow> All;
  for (const auto &[Key, Row] : Rows_)
    All.push_back(Row);
  return All;
}

const TableRow *TableCopy::find(const std::string &Key) const {
  auto Found = Rows_.find(Key);
  bool Exists = Found != Rows_.end() && !Found->second.Deleted_;
  return Exists ? &Found->second : nullptr;
}

void TableCopy::forgetVersions() {
  std::erase_if(Rows_, [](const auto &Entry) { return Entry.second.Deleted_; });
  for (auto &[Key, Row] : Rows_)
    Row.Version_ = 0;
  Newest_ = 0;
  WholeVersion_ = 0;
}

} // namespace anvil
