#ifndef ANVIL_ENTRY_FLEETCODEC_H
#define ANVIL_ENTRY_FLEETCODEC_H

#include "Kernel/Error.h"
#include "Routing/PermitIssuer.h"
#include "Routing/PlaceIssuer.h"
#include "Serving/FleetView.h"
#include "Serving/TargetListing.h"
#include "TableService/RowDelta.h"
#include "TableService/TableTypes.h"

#include <string>
#include <string_view>
#include <variant>

namespace anvil {

/// A VM's request to an engine's owner to load an adapter at the engine.
struct AdapterRequest {
  std::string Vm_;
  std::string Engine_;
  std::string Adapter_;
  std::uint64_t Version_ = 0;
  /// Whether the engine refused a request for the adapter although the fleet
  /// view listed it as loaded.
  bool WasMissing_ = false;
  /// As in `LoadDemand`: the requests of this VM that wait for the adapter. The
  /// time to the first latency target is negative when it has passed.
  int Rank_ = LoadDemand::LeastUrgentRank;
  Duration AimIn_{};
  int Waiting_ = 0;
};

/// An engine's inventory, sent by the engine's owner right after a change.
struct InventoryNotice {
  std::string Engine_;
  EngineInventory Inventory_;
};

/// Reports a long prompt that was just sent to an engine, since the next
/// periodic state update would report it too late.
struct PromptNotice {
  std::string Engine_;
  std::int64_t Tokens_ = 0;
};

/// A VM's clock, which the times in its notices refer to.
struct VmClock {
  std::string Vm_;
  std::string Incarnation_;

  auto operator<=>(const VmClock &) const = default;
};

/// Reports a read of the operator's table: at `At_` of the VM's clock or later,
/// no row was newer than `NewestRow_`.
struct PlanReadNotice {
  VmClock Clock_;
  Duration At_{};
  std::uint64_t NewestRow_ = 0;
  /// The TCP port on which this VM serves the rows.
  std::uint16_t RowsPort_ = 0;
  /// The newest row before this read, and the rows that the read returned; no
  /// rows if they are too large for a datagram.
  std::uint64_t NewestBefore_ = 0;
  std::vector<TableRow> Rows_{};
  /// In place of the rows: their changes from the rows before, if all of them
  /// were known and the changes fit into a datagram.
  std::vector<RowDelta> Deltas_{};
  /// The store's era in which it was read; zero if the store names none.
  std::uint64_t StoreEra_ = 0;
};

/// Reports a read of the list of targets, at `At_` of the VM's clock or later,
/// with the list's digest and latest changes.
struct TargetsReadNotice {
  VmClock Clock_;
  Duration At_{};
  ListingChanges Changes_;
  std::uint64_t Digest_ = 0;
  /// As in `TargetListUpdate`.
  Duration LapseRemaining_{};
  /// As in `PlanReadNotice`.
  std::uint64_t StoreEra_ = 0;
};

/// Requests the time of another VM's clock, in order to date that VM's notices.
struct ClockRequest {
  std::string Vm_;
  /// The time of the requesting VM's clock.
  Duration RequestedAt_{};
};

struct ClockReply {
  VmClock Clock_;
  /// Copied from the request.
  Duration RequestedAt_{};
  /// The time of the replying VM's clock.
  Duration ClockTime_{};
};

/// Requests a permit from the VM that hands out the permits for a target.
struct TargetPermitRequest {
  std::string Vm_;
  /// Copied into the reply.
  std::uint64_t Serial_ = 0;
  PermitQuery Request_;
  /// The place that the request needs, too.
  PlaceNeed Place_{};
};

struct TargetPermitReply {
  std::uint64_t Serial_ = 0;
  PermitDecision Decision_;
};

/// Tells a VM that waits for a place at a target that one is free.
struct TargetPlaceFreed {
  std::string Target_;
  std::int64_t Incarnation_ = 0;
};

/// Copies of what a VM remembers of streams that it began, in case it is gone
/// when the store has lost the records of them.
struct StreamCopies {
  /// As `encodeStreamRecords` writes them.
  std::string Records_;
};

/// A datagram between VMs. Each is complete in itself, so a later one replaces
/// a lost one.
using FleetMessage =
    std::variant<VmStateUpdate, AdapterRequest, InventoryNotice, PromptNotice,
                 PlanReadNotice, TargetsReadNotice, ClockRequest, ClockReply,
                 DataCentreSummary, TargetPermitRequest, TargetPermitReply,
                 PlaceRelease, TargetPlaceFreed, StreamCopies>;

std::string encodeFleetMessage(const FleetMessage &Message);

/// The number of VMs of its data centre that the receiver of these bytes
/// forwards them to; zero in a newly encoded message.
std::size_t forwardCountOf(std::string_view Bytes);
void setForwardCount(std::string &Bytes, std::size_t Count);

/// Table rows as sent to another VM. Decoding reports a protocol error for
/// malformed bytes.
std::string encodeTableRows(const std::vector<TableRow> &Rows);
Result<std::vector<TableRow>> decodeTableRows(std::string_view Bytes);

/// Decodes a message. Malformed bytes, or bytes of another format version, are
/// a protocol error.
Result<FleetMessage> decodeFleetMessage(std::string_view Bytes);

} // namespace anvil

#endif // ANVIL_ENTRY_FLEETCODEC_H
