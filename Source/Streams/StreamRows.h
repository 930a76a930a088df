#ifndef ANVIL_STREAMS_STREAMROWS_H
#define ANVIL_STREAMS_STREAMROWS_H

#include "Streams/StreamBaselines.h"
#include "Streams/StreamOrigin.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// The part of the table of streams that holds the baselines.
inline constexpr std::string_view BaselinePart = "baselines";

/// The parts that hold records. A writer uses one of them, so that all writers
/// together aren't limited by what one part can do.
inline constexpr std::size_t RecordParts = 8;
std::string recordPart(std::size_t Index);

/// The key of a service's baseline row in an era of the store; a restored copy
/// doesn't show what began after it was made, so another era has other rows.
std::string baselineRowKey(const std::string &Service, std::uint64_t Era);

/// What the keys of a writer's rows of records begin with; its serial numbers
/// of rows follow.
std::string recordRowPrefix(const std::string &Part, const std::string &Writer);

/// The part that a key names; nothing if it is not the key of a row of records.
std::optional<std::string> partOfRecordRow(const std::string &Key);

std::string encodeBaseline(const StreamBaseline &Baseline);

/// Decodes a baseline row of the given era; nothing if it is malformed or
/// belongs to another era.
std::optional<StreamBaseline> decodeBaseline(const std::string &Key,
                                             const std::string &Value,
                                             std::uint64_t RowVersion,
                                             std::uint64_t Era);

/// Encodes records as the value of one row.
std::string encodeStreamRecords(const std::vector<StreamRecord> &Records);

/// Decodes the value of a row; malformed bytes hold no records. All records of
/// a row are kept for the longest of their times.
std::vector<StreamRecord> decodeStreamRecords(const std::string &Bytes);

} // namespace anvil

#endif // ANVIL_STREAMS_STREAMROWS_H
