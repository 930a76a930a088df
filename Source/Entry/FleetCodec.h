#ifndef ANVIL_ENTRY_FLEETCODEC_H
#define ANVIL_ENTRY_FLEETCODEC_H

#include "Kernel/Error.h"
#include "Routing/PermitKeeper.h"
#include "Serving/FleetBook.h"
#include "Serving/TargetListing.h"
#include "TableService/TableTypes.h"

#include <string>
#include <string_view>
#include <variant>

namespace anvil {

/// A VM asks an engine's owner for an adapter there.
struct AdapterRequest {
  std::string Vm_;
  std::string Engine_;
  std::string Adapter_;
  std::uint64_t Version_ = 0;
  /// The engine refused a request for it though it was believed to hold it.
  bool WasMissing_ = false;
};

/// An engine's owner says at once what the engine holds.
struct InventoryNotice {
  std::string Engine_;
  EngineHoldings Holdings_;
};

/// A long prompt was sent to an engine; news of it would come too late.
struct PromptNotice {
  std::string Engine_;
  std::int64_t Tokens_ = 0;
};

/// A VM's clock, to which the times in its notices refer.
struct VmClock {
  std::string Vm_;
  std::string Incarnation_;

  auto operator<=>(const VmClock &) const = default;
};

/// A VM read the operator's table: at `At_` of its clock or later, no row was
/// newer than `NewestRow_`.
struct PlanReadNotice {
  VmClock Clock_;
  Duration At_{};
  std::uint64_t NewestRow_ = 0;
  /// The TCP port on which this VM hands over the rows.
  std::uint16_t RowsPort_ = 0;
  /// The newest row before this reading, and the rows that came with it; none
  /// where they are too large for a datagram.
  std::uint64_t NewestBefore_ = 0;
  std::vector<TableRow> Rows_{};
};

/// A VM read the list of targets at `At_` of its clock or later: the list has
/// this digest, and these are its latest changes.
struct TargetsReadNotice {
  VmClock Clock_;
  Duration At_{};
  ListingChanges Changes_;
  std::uint64_t Digest_ = 0;
  Duration LapseLeft_{};
};

/// A VM asks another what its clock shows, to date that VM's notices.
struct ClockRequest {
  std::string Vm_;
  /// The asking VM's own time.
  Duration RequestedAt_{};
};

struct ClockReply {
  VmClock Clock_;
  /// From the question.
  Duration RequestedAt_{};
  Duration Shown_{};
};

/// A VM asks the one that hands out the permits for a target for one.
struct TargetPermitRequest {
  std::string Vm_;
  /// Comes back in the answer.
  std::uint64_t Serial_ = 0;
  PermitQuestion Request_;
};

struct TargetPermitReply {
  std::uint64_t Serial_ = 0;
  PermitVerdict Decision_;
};

/// A datagram between VMs. Each says all that its reader needs, so that lost
/// ones are made good by the next.
using FleetMessage =
    std::variant<VmNews, AdapterRequest, InventoryNotice, PromptNotice,
                 PlanReadNotice, TargetsReadNotice, ClockRequest, ClockReply,
                 DataCentreNews, TargetPermitRequest, TargetPermitReply>;

/// The bytes of a message.
std::string encodeFleetMessage(const FleetMessage &Message);

/// To how many VMs of its data centre the VM that gets these bytes passes them
/// on; none in a message just encoded.
std::size_t forwardCountOf(std::string_view Bytes);
void setForwardCount(std::string &Bytes, std::size_t Count);

/// Rows of a table for another VM. Reading them reports a protocol error for
/// bytes of another shape.
std::string encodeTableRows(const std::vector<TableRow> &Rows);
Result<std::vector<TableRow>> decodeTableRows(std::string_view Bytes);

/// Reads a message. Bytes of another shape or release are a protocol error.
Result<FleetMessage> decodeFleetMessage(std::string_view Bytes);

} // namespace anvil

#endif // ANVIL_ENTRY_FLEETCODEC_H
