#ifndef ANVIL_PLATFORM_TABLETYPES_H
#define ANVIL_PLATFORM_TABLETYPES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvil {

/// A row of the table service. Version zero means that there is no row.
struct TableRow {
  std::string Key_;
  std::string Value_;
  std::uint64_t Version_ = 0;
};

/// A row that must still have a version when a transaction commits.
struct RowCheck {
  std::string Key_;
  std::uint64_t Version_ = 0;
};

/// A row that a transaction writes, or removes when there is no value.
struct RowWrite {
  std::string Key_;
  std::optional<std::string> Value_;
};

/// Checks and writes that take effect together or not at all.
struct TableTransaction {
  std::vector<RowCheck> Checks_;
  std::vector<RowWrite> Writes_;
};

/// How a transaction ended.
enum class CommitResult {
  Committed,
  /// A check failed; nothing was written.
  Conflict,
  /// The answer was lost; the writes may or may not have taken effect.
  Ambiguous,
  /// The transaction certainly did not take effect.
  Unavailable,
};

inline constexpr std::pair<CommitResult, std::string_view> CommitResultNames[] =
    {
        {CommitResult::Committed, "committed"},
        {CommitResult::Conflict, "conflict"},
        {CommitResult::Ambiguous, "ambiguous"},
        {CommitResult::Unavailable, "unavailable"},
};

/// The end of a transaction and what goes with it.
struct CommitOutcome {
  CommitResult Result_ = CommitResult::Unavailable;
  /// The version of every row written; committed transactions only.
  std::uint64_t Version_ = 0;
  /// The rows that failed their check, as they are; conflicts only.
  std::vector<TableRow> Conflicts_;
  std::string Detail_;
};

} // namespace anvil

#endif // ANVIL_PLATFORM_TABLETYPES_H
