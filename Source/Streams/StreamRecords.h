#ifndef ANVIL_STREAMS_STREAMRECORDS_H
#define ANVIL_STREAMS_STREAMRECORDS_H

#include "Streams/StreamOrigin.h"

#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace anvil {

/// What the known records say of a stream.
enum class StreamEvidence {
  None,
  Known,
  /// Two records name different origins.
  Conflicting,
};

inline constexpr std::pair<StreamEvidence, std::string_view>
    StreamEvidenceNames[] = {
        {StreamEvidence::None, "none"},
        {StreamEvidence::Known, "known"},
        {StreamEvidence::Conflicting, "conflicting"},
};

/// The records of streams that a VM began itself or has read, by stream.
class StreamRecords {
public:
  struct Finding {
    StreamEvidence Evidence_ = StreamEvidence::None;
    /// Only if it is known.
    StreamOrigin Origin_;
  };

  /// Adds a record that was read or made at `Now`.
  void add(const StreamRecord &Record, TimePoint Now);

  Finding find(StreamKey Key, TimePoint Now) const;

  /// The records that are known at `Now`, with the time for which each is still
  /// to be kept.
  std::vector<StreamRecord> known(TimePoint Now) const;

  /// Frees the memory of expired records.
  void removeExpired(TimePoint Now);

  /// The number of records in memory, some expired ones included.
  std::size_t size() const { return Entries_.size(); }

private:
  struct Entry {
    /// Index into `Origins_`.
    std::uint32_t Origin_ = 0;
    bool IsConflicting_ = false;
    TimePoint Until_{};
  };

  std::uint32_t indexOf(const StreamOrigin &Origin);

  /// Few, since a service seldom has more than two versions at a time.
  std::vector<StreamOrigin> Origins_;
  std::unordered_map<StreamKey, Entry> Entries_;
  /// The number of records at which expired ones are removed.
  std::size_t PruneSize_ = 1024;
};

} // namespace anvil

#endif // ANVIL_STREAMS_STREAMRECORDS_H
