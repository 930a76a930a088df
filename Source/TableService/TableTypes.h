#ifndef ANVIL_TABLESERVICE_TABLETYPES_H
#define ANVIL_TABLESERVICE_TABLETYPES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvil {

/// A row of the table service. Version zero means that the row doesn't exist.
struct TableRow {
  std::string Key_;
  std::string Value_;
  std::uint64_t Version_ = 0;
  /// Whether the row was removed, at `Version_`; only in lists of changes.
  bool Deleted_ = false;
};

/// The version that a row must have for a transaction to commit.
struct RowCheck {
  std::string Key_;
  std::uint64_t Version_ = 0;
};

/// A write to a row, or its removal when there is no value.
struct RowWrite {
  std::string Key_;
  std::optional<std::string> Value_;
};

/// Version checks and writes that are applied atomically.
struct TableTransaction {
  std::vector<RowCheck> Checks_;
  std::vector<RowWrite> Writes_;
};

/// The result of a transaction.
enum class CommitResult {
  Committed,
  /// A check failed; nothing was written.
  Conflict,
  /// The reply was lost; the writes may or may not have taken effect.
  Ambiguous,
  /// The transaction did not take effect.
  Unavailable,
};

inline constexpr std::pair<CommitResult, std::string_view> CommitResultNames[] =
    {
        {CommitResult::Committed, "committed"},
        {CommitResult::Conflict, "conflict"},
        {CommitResult::Ambiguous, "ambiguous"},
        {CommitResult::Unavailable, "unavailable"},
};

/// The result of a transaction with its details.
struct CommitOutcome {
  CommitResult Result_ = CommitResult::Unavailable;
  /// The version of every row written; committed transactions only.
  std::uint64_t Version_ = 0;
  /// The current rows whose check failed; conflicts only.
  std::vector<TableRow> Conflicts_;
  std::string Detail_;
};

} // namespace anvil

#endif // ANVIL_TABLESERVICE_TABLETYPES_H
