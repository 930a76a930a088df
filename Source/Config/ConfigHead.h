#ifndef ANVIL_CONFIG_CONFIGHEAD_H
#define ANVIL_CONFIG_CONFIGHEAD_H

#include "Kernel/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace anvil {

/// The table row that says which configuration is in force.
struct ConfigHead {
  static constexpr std::string_view Row = "config/head";

  std::uint64_t Revision_ = 0;
  /// The object that holds the snapshot.
  std::string Object_;
  std::string SubmitId_;
};

std::string encodeHead(const ConfigHead &Head);

/// Reads a head; an empty text is the head of revision zero.
Result<ConfigHead> decodeHead(std::string_view Text);

/// The row that remembers a submission, so that resending it is harmless.
std::string submitRow(const std::string &SubmitId);

/// The row of a revision in the history, in order of revisions.
std::string historyRow(std::uint64_t Revision);

/// The prefix of all rows of the history.
inline constexpr std::string_view HistoryPrefix = "config/history/";

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGHEAD_H
