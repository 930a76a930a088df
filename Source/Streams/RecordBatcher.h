#ifndef ANVIL_STREAMS_RECORDBATCHER_H
#define ANVIL_STREAMS_RECORDBATCHER_H

#include "Streams/StreamOrigin.h"

#include <deque>
#include <optional>
#include <vector>

namespace anvil {

/// Identifies a record until it is written; later records have higher numbers.
using RecordTicket = std::uint64_t;

/// Groups records into rows of the store. The first record after a pause is
/// written at once, later ones together after an interval, and one row at a
/// time, so that the number of calls is bounded whatever the number of streams.
class RecordBatcher {
public:
  /// The maximum number of records in a row.
  static constexpr std::size_t MaxRecords = 2000;

  /// Sets the minimum time from one row to the next.
  void setInterval(Duration Interval) { Interval_ = Interval; }

  RecordTicket add(StreamRecord Record);

  /// Adds a record that nobody waits for, such as one whose row may be lost. It
  /// goes into the room that rows have beside those of `add`.
  void addUnawaited(StreamRecord Record);

  /// Drops the records of `addUnawaited` that aren't being written.
  void dropUnawaited();

  /// When the next row may be written; nothing while there are no records or
  /// one is being written.
  std::optional<TimePoint> dueAt() const;

  /// Begins to write a row. Requires that `dueAt` has passed.
  std::vector<StreamRecord> begin(TimePoint Now);

  /// The row that was begun is written, or must be written again; it is known
  /// by its contents, which stay the same.
  void confirm();
  void retry();

  /// Whether the record is in a row that was written.
  bool isWritten(RecordTicket Ticket) const { return Ticket <= Written_; }

  std::size_t pending() const { return Pending_.size() + Unawaited_.size(); }

private:
  Duration Interval_ = std::chrono::milliseconds(80);
  std::deque<StreamRecord> Pending_;
  std::deque<StreamRecord> Unawaited_;
  /// The number of records in the row that is being written; they are the first
  /// of those pending.
  std::size_t InFlight_ = 0;
  std::size_t UnawaitedInFlight_ = 0;
  bool IsWriting_ = false;
  RecordTicket Written_ = 0;
  TimePoint NextAt_{};
};

} // namespace anvil

#endif // ANVIL_STREAMS_RECORDBATCHER_H
