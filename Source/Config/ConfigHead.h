#ifndef ANVIL_CONFIG_CONFIGHEAD_H
#define ANVIL_CONFIG_CONFIGHEAD_H

#include "Kernel/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace anvil {

/// The table row that names the configuration revision in force.
struct ConfigHead {
  static constexpr std::string_view Row = "config/head";

  std::uint64_t Revision_ = 0;
  /// The key of the stored object with the snapshot.
  std::string Object_;
  std::string SubmitId_;
};

std::string encodeHead(const ConfigHead &Head);

/// Decodes a head; an empty text is the head of revision zero.
Result<ConfigHead> decodeHead(std::string_view Text);

/// The row key that records a submission, which makes resending it idempotent.
std::string submitRow(const std::string &SubmitId);

/// The row key of a revision in the history. Keys sort by revision.
std::string historyRow(std::uint64_t Revision);

/// The prefix of all row keys of the history.
inline constexpr std::string_view HistoryPrefix = "config/history/";

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGHEAD_H
