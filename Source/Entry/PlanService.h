#ifndef ANVIL_ENTRY_PLANSERVICE_H
#define ANVIL_ENTRY_PLANSERVICE_H

#include "Evacuation/EvacuationRegister.h"
#include "Kernel/Hook.h"
#include "Kernel/ServiceRegistry.h"
#include "Serving/ReadRotation.h"
#include "Serving/RemoteClock.h"
#include "Serving/RowLag.h"
#include "Serving/ServingPlan.h"
#include "Serving/VersionRequirements.h"
#include "Settings/EntrySettings.h"
#include "TableService/RowDelta.h"
#include "TableService/TableCopy.h"
#include "platform/StoreClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// The result of a read of the operator's table.
struct PlanReadResult {
  /// A time before the read.
  TimePoint At_{};
  std::uint64_t NewestRow_ = 0;
  /// The newest row known before, and the rows returned since.
  std::uint64_t NewestBefore_ = 0;
  std::vector<TableRow> Rows_;
  /// The same rows as changes from those known before, as far as they were
  /// known.
  std::vector<RowDelta> Deltas_;
};

/// How this VM got rows of the operator's table.
enum class RowSource { OwnRead, PeerNotice, PeerPage };

inline constexpr std::pair<RowSource, std::string_view> RowSourceNames[] = {
    {RowSource::OwnRead, "own_read"},
    {RowSource::PeerNotice, "peer_notice"},
    {RowSource::PeerPage, "peer_page"},
};

/// The origin of rows, with a time before which they were not read; no time if
/// it is unknown.
struct RowEvidence {
  RowSource Source_ = RowSource::OwnRead;
  std::optional<TimePoint> At_;
};

/// Follows the operator's configuration, the adapter versions it names and the
/// data centres it evacuates, and tracks when they were last confirmed to be
/// current. If another VM reports what it read, this VM reads the store only
/// for newer rows.
class PlanService : public Service {
public:
  static constexpr std::string_view Name = "plan";

  PlanService(boost::asio::any_io_executor Executor,
              const EntrySettings &Settings,
              std::shared_ptr<platform::StoreClient> Store);

  std::string_view serviceName() const override { return Name; }
  Status start() override;

  /// The newest plan; null before the first.
  const ServingPlanPtr &current() const { return Plan_; }

  /// The latest time at which the plan was certainly the newest; nothing
  /// before the first read.
  std::optional<TimePoint> confirmedAt() const { return ConfirmedAt_; }

  /// Whether the plan is recent enough at `Now` to accept requests with a key.
  bool keysAreFresh(TimePoint Now) const;

  /// Whether this VM has known for so long that the store has newer rows that
  /// requests may no longer be handled by its plan.
  bool isTooFarBehind(TimePoint Now) const;

  /// Whether the plan was the newest so recently that what it lacks may be
  /// denied: a newer one can't have been in force for long.
  bool mayDeny(TimePoint Now) const;

  /// The adapter versions that the operator named.
  const VersionRequirements &versions() const { return Versions_; }

  /// The data centres that the operator has evacuated.
  const EvacuationRegister &evacuations() const { return Evacuations_; }

  /// Keeps the evacuations whose request is removed before `Until` until then.
  void keepEvacuationsUntil(TimePoint Until) {
    Evacuations_.keepMissingUntil(Until);
  }

  /// Sets the function that returns this VM's rank in the read rotation; rank
  /// 0 by default.
  void onReadRank(std::function<std::size_t()> Hook) {
    ReadRank_ = std::move(Hook);
  }

  /// Applies another VM's report that `NewestRow` was the newest row at `At`
  /// or later. A report without a known time confirms nothing, but shows which
  /// rows to read.
  void applyPeerRead(std::optional<TimePoint> At, std::uint64_t NewestRow);

  /// The newest row of the store's era that this VM knows.
  std::uint64_t newestRow() const { return NewestRow_; }

  /// All rows that this VM knows, removed ones included, for copying to another
  /// VM.
  std::vector<TableRow> knownRows() const { return Rows_.rows(); }

  /// Applies rows that another VM has read. They don't confirm that the plan
  /// is current.
  void applyPeerRows(const std::vector<TableRow> &Rows,
                     const RowEvidence &Evidence);

  /// The same for changes from rows that this VM may know. Does nothing if it
  /// doesn't know all of them.
  void applyPeerDeltas(const std::vector<RowDelta> &Deltas,
                       const RowEvidence &Evidence);

  /// Fired after each read by this VM.
  Hook<const PlanReadResult &> TableRead_;

  /// Fired with each new plan.
  Hook<const ServingPlan &> Changed_;

  /// Fired when a version is named, with model and adapter.
  Hook<const std::string &, const std::string &> VersionNamed_;

  /// Fired when a data centre's evacuation begins or ends, with the data centre
  /// and whether it is evacuated now.
  Hook<const std::string &, bool> EvacuationChanged_;

private:
  /// The time after which a newer configuration is required for every request.
  Duration applyTime() const;
  boost::asio::awaitable<void> follow();
  boost::asio::awaitable<Result<platform::TablePage>> readOnce();
  /// The known rows that the given ones replace.
  std::vector<TableRow> rowsBefore(const std::vector<TableRow> &Rows) const;
  /// The changes from the given rows to those that are known now.
  std::vector<RowDelta> deltasFrom(const std::vector<TableRow> &Before) const;
  bool isReadDue(TimePoint Now) const;
  /// Starts an era of the store: what was read stays in force, but the versions
  /// of rows are void and the table is read again as a whole.
  void startEra();
  void confirm(TimePoint At);
  /// Applies rows that were not known before.
  void apply(const std::vector<TableRow> &Newer,
             std::optional<TimePoint> NotBefore, const RowEvidence &Evidence);
  void applyPlan(const TableRow &Row, const RowEvidence &Evidence);
  void applyVersion(const TableRow &Row, std::optional<TimePoint> NotBefore);
  void applyEvacuation(const std::string &DataCentre, bool IsRequested,
                       const RowEvidence &Evidence);
  /// Ends the evacuations that were kept only for a while.
  void endKeptEvacuations();

  boost::asio::any_io_executor Executor_;
  const EntrySettings &Settings_;
  std::shared_ptr<platform::StoreClient> Store_;
  ServingPlanPtr Plan_;
  std::optional<TimePoint> ConfirmedAt_;
  ReadRotation ReadRotation_;
  std::function<std::size_t()> ReadRank_ = [] { return std::size_t{0}; };
  /// The store version up to which the table was read.
  std::optional<std::uint64_t> ReadVersion_;
  /// The newest row that was read here, and the newest that other VMs have
  /// read.
  std::uint64_t NewestRow_ = 0;
  std::uint64_t PeerNewestRow_ = 0;
  RowLag Lag_;
  TableCopy Rows_;
  RemoteClock StoreClock_;
  /// Whether the store has shown a configuration of at least this VM's revision
  /// since its era began. Until the operator has written a lost revision again,
  /// reads don't confirm that the plan is current.
  bool IsRevisionShown_ = true;
  VersionRequirements Versions_;
  EvacuationRegister Evacuations_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_PLANSERVICE_H
