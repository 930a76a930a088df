#ifndef ANVIL_TABLESERVICE_ROWDELTA_H
#define ANVIL_TABLESERVICE_ROWDELTA_H

#include "TableService/TableTypes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// The changes from one value of a row to a later one, for VMs that have the
/// earlier one. A large row of which little has changed is thus sent in a small
/// message.
struct RowDelta {
  /// A part of the new value: bytes of the earlier one, or new bytes if
  /// `Length_` is zero.
  struct Piece {
    std::uint64_t Offset_ = 0;
    std::uint64_t Length_ = 0;
    std::string Bytes_;
  };

  std::string Key_;
  /// The versions of the earlier and of the new row.
  std::uint64_t BaseVersion_ = 0;
  std::uint64_t Version_ = 0;
  /// The hash of the new value.
  std::uint64_t Digest_ = 0;
  std::vector<Piece> Pieces_;
};

/// The maximum size of a row that is built from a delta, in bytes.
inline constexpr std::size_t MaxDeltaRowBytes = 16 * 1024 * 1024;

/// The changes from `Base` to `New`, a later version of the same row.
RowDelta makeRowDelta(const TableRow &Base, const TableRow &New);

/// The size of a delta in a message, in bytes, as an upper bound.
std::size_t encodedSize(const RowDelta &Delta);

/// The new row; nothing if `Base` isn't the row that the delta was made from,
/// or the delta is malformed.
std::optional<TableRow> applyRowDelta(const TableRow &Base,
                                      const RowDelta &Delta);

} // namespace anvil

#endif // ANVIL_TABLESERVICE_ROWDELTA_H
