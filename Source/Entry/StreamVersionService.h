#ifndef ANVIL_ENTRY_STREAMVERSIONSERVICE_H
#define ANVIL_ENTRY_STREAMVERSIONSERVICE_H

#include "Entry/FleetState.h"
#include "Entry/PlanService.h"
#include "Entry/StreamCopyExchange.h"
#include "Entry/TargetListService.h"
#include "Http/WaitList.h"
#include "Kernel/ServiceRegistry.h"
#include "Settings/EntrySettings.h"
#include "Streams/RecordBatcher.h"
#include "Streams/StreamBaselines.h"
#include "Streams/StreamRecords.h"
#include "Telemetry/Metrics.h"
#include "platform/StoreClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvil {

/// From what the origin of a stream follows, or why it is unknown.
enum class OriginSource {
  /// This VM began the stream or continued it before.
  Memory,
  Record,
  /// The stream has no record, so it began at the service's baseline.
  Baseline,
  Conflict,
  NoBaseline,
  StoreUnavailable,
};

inline constexpr std::pair<OriginSource, std::string_view> OriginSourceNames[] =
    {
        {OriginSource::Memory, "memory"},
        {OriginSource::Record, "record"},
        {OriginSource::Baseline, "baseline"},
        {OriginSource::Conflict, "conflicting_records"},
        {OriginSource::NoBaseline, "no_baseline"},
        {OriginSource::StoreUnavailable, "store_unavailable"},
};

/// Where a stream began, as far as this VM can know.
struct OriginLookup {
  OriginSource Source_ = OriginSource::StoreUnavailable;
  /// Nothing if it is unknown.
  std::optional<StreamOrigin> Origin_;
};

/// Records where resumable streams began and looks it up when their callers
/// take them up again, also at another VM and after all VMs lost power: the
/// baselines of services and the records of all other streams are rows of the
/// store, written before a stream's first event is forwarded.
class StreamVersionService : public Service {
public:
  static constexpr std::string_view Name = "stream_versions";

  StreamVersionService(boost::asio::any_io_executor Executor,
                       const EntrySettings &Settings, std::string Incarnation,
                       const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  Status start() override;

  /// Whether a stream may begin now without a record; see `StreamBaselines`.
  bool mayBeginUnrecorded(const StreamOrigin &Origin, Duration CallerWait,
                          TimePoint Now) const {
    return Baselines_.mayBeginUnrecorded(Origin, CallerWait, Now);
  }

  /// The service's baseline, if it is known.
  std::optional<std::string> baselineOf(const std::string &Service) const {
    return Baselines_.versionOf(Service);
  }

  /// Whether records can be written, by the latest attempts.
  bool mayRecord(TimePoint Now) const;

  /// Begins to write a record.
  RecordTicket record(StreamRecord Record);

  /// Waits until a record is written. False if it isn't at `Until`.
  boost::asio::awaitable<bool> awaitRecord(RecordTicket Ticket,
                                           TimePoint Until);

  /// Remembers on this VM where a stream began.
  void remember(const StreamRecord &Record, TimePoint Now);

  /// Looks up where a stream of a service began. What this VM doesn't know
  /// itself is read from the store, with an answer that is newer than this
  /// call, or is unknown at `Until`.
  boost::asio::awaitable<OriginLookup>
  lookUp(StreamKey Key, std::string Service, TimePoint Until);

private:
  bool isFirstSystemStart() const;
  /// Starts an era of the store: what this VM remembers of streams, its own and
  /// those of others, is written again, with those that needed no record in the
  /// earlier era.
  void beginEra(std::uint64_t Era);
  /// Records which software versions the list of targets shows.
  void recordListed(const std::vector<RegisteredTarget> &Fresh);
  void recordRoster();
  boost::asio::awaitable<void> maintainBaselines();
  boost::asio::awaitable<bool> readBaselines();
  /// Returns whether all services with resumable streams have a baseline.
  boost::asio::awaitable<bool> changeBaselines();
  boost::asio::awaitable<void> writeRecords();
  boost::asio::awaitable<void> refreshWhileNeeded();
  /// Reads what changed in the store's rows about streams.
  boost::asio::awaitable<bool> refresh();
  /// Errors: history gone, if all rows must be read.
  boost::asio::awaitable<Status> readChanges(TimePoint SentAt);
  boost::asio::awaitable<bool> readAllParts(TimePoint SentAt);
  boost::asio::awaitable<bool> refreshedSince(TimePoint At, TimePoint Until);
  /// Applies rows of a read; rows of records alone confirm no baseline.
  void applyRows(const std::vector<TableRow> &Rows, bool HasBaselines,
                 TimePoint SentAt);
  /// Removes rows whose streams can't be taken up again.
  boost::asio::awaitable<void> removeExpiredRows();
  void appendExpiredRows(TableTransaction &Change, TimePoint Now);
  Duration intervalFor(double CallsPerSecond, double Fraction) const;

  /// A row of records in the store and when it expires.
  struct RecordRow {
    std::string Key_;
    TimePoint Until_{};
  };

  boost::asio::any_io_executor Executor_;
  const EntrySettings &Settings_;
  /// The part of the table that this VM writes its records to, and what the
  /// keys of its rows begin with.
  std::string Part_;
  std::string RowPrefix_;
  std::shared_ptr<PlanService> Plans_;
  std::shared_ptr<TargetListService> Targets_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<Metrics> Metrics_;
  /// The daemon's client of the store, for its era.
  std::shared_ptr<platform::StoreClient> MainStore_;
  /// Calls about streams time out sooner than others, which says nothing about
  /// the store for the rest of the daemon.
  platform::StoreClient Store_;

  StreamBaselines Baselines_;
  StreamRecords Own_;
  StreamCopyExchange Copies_;
  StreamRecords Read_;
  RecordBatcher Batcher_;
  /// When a later era of the store than the first one was seen.
  std::optional<TimePoint> RestoreSeenAt_;
  WaitList EraBegan_;
  WaitList RecordAdded_;
  WaitList RecordWritten_;
  WaitList Refreshed_;
  std::uint64_t NextRow_ = 1;
  Duration WriteTimeout_{};
  std::optional<TimePoint> WriteFailedAt_;
  /// The rows that this VM wrote, oldest first.
  std::deque<RecordRow> OwnRows_;
  /// The expiry of rows that other VMs wrote, or this one in an earlier life.
  std::map<std::string, TimePoint> OtherRows_;
  /// The store's version up to which its rows are known, and when it was read.
  std::optional<std::uint64_t> FeedVersion_;
  TimePoint FeedReadAt_{};
  /// The latest time as of which all rows are known.
  std::optional<TimePoint> RefreshedAt_;
  TimePoint NextRefreshAt_{};
  bool IsRefreshing_ = false;
};

} // namespace anvil

#endif // ANVIL_ENTRY_STREAMVERSIONSERVICE_H
