#ifndef ANVIL_ENTRY_FLEETFIELDS_H
#define ANVIL_ENTRY_FLEETFIELDS_H

#include "Entry/FleetCodec.h"

#include <msgpack.hpp>

#include <algorithm>
#include <cmath>
#include <concepts>
#include <tuple>
#include <type_traits>

namespace anvil {

/// Longer durations are clamped to this, so that adding them to a clock's time
/// doesn't overflow; no VM's clock reaches this value.
inline constexpr Duration MaxEncodedDuration =
    std::chrono::hours(24 * 365 * 100);

/// Counts outside the range from 0 to these are clamped, so that sums over all
/// targets and VMs don't overflow; no VM runs that much at one target.
inline constexpr int MaxEncodedRequests = 100'000;
inline constexpr std::int64_t MaxEncodedTokens = 1'000'000'000'000;

/// A place is free again after this time, whatever its VM says.
inline constexpr Duration MaxPlaceTime = std::chrono::minutes(10);

/// Matches `Plain`, const or not.
template <class Type, class Plain>
concept MaybeConst = std::same_as<std::remove_const_t<Type>, Plain>;

// The fields of each type that VMs exchange, in wire order. Fields may be added
// at the end: VMs of other releases ignore or lack them. Any other change needs
// a new format version.

auto fieldsOf(MaybeConst<RunningShare> auto &Of) {
  return std::tie(Of.Requests_, Of.Tokens_, Of.Adapters_);
}
auto fieldsOf(MaybeConst<EngineInventory::Item> auto &Of) {
  return std::tie(Of.Version_, Of.ReadyIn_, Of.LoadingFor_, Of.Source_);
}
auto fieldsOf(MaybeConst<EngineInventory> auto &Of) {
  return std::tie(Of.Incarnation_, Of.HasModel_, Of.Adapters_, Of.RepeatPeriod_,
                  Of.Owner_, Of.Queued_);
}
auto fieldsOf(MaybeConst<VmStateUpdate::Crash> auto &Of) {
  return std::tie(Of.Digest_, Of.Target_, Of.Incarnation_);
}
auto fieldsOf(MaybeConst<LoadCounts> auto &Of) {
  return std::tie(Of.OnTime_, Of.Late_, Of.Mistimed_, Of.Early_,
                  Of.EngineMistimed_);
}
auto fieldsOf(MaybeConst<LoadingReport> auto &Of) {
  return std::tie(Of.Counts_, Of.StoreLoad_, Of.EngineLoad_);
}
auto fieldsOf(MaybeConst<AdvertisedLimit> auto &Of) {
  return std::tie(Of.Incarnation_, Of.RatePerSecond_, Of.Age_);
}
auto fieldsOf(MaybeConst<SpeedReport> auto &Of) {
  return std::tie(Of.Incarnation_, Of.LogTimeCents_);
}
auto fieldsOf(MaybeConst<TargetInstance> auto &Of) {
  return std::tie(Of.Target_, Of.Incarnation_);
}
auto fieldsOf(MaybeConst<PartCrash> auto &Of) {
  return std::tie(Of.Crashed_, Of.Age_, Of.Parts_);
}
auto fieldsOf(MaybeConst<PartQuarantineReport> auto &Of) {
  return std::tie(Of.Remaining_, Of.EvidenceAge_, Of.IsInDoubt_);
}
auto fieldsOf(MaybeConst<PartReport> auto &Of) {
  return std::tie(Of.Crashes_, Of.Sound_, Of.Quarantined_);
}
auto fieldsOf(MaybeConst<VmStateUpdate> auto &Of) {
  return std::tie(Of.Vm_, Of.Incarnation_, Of.Sequence_, Of.DataCentre_,
                  Of.PeerAddress_, Of.Period_, Of.Revision_, Of.ShuttingDown_,
                  Of.Spent_, Of.BudgetCoverage_, Of.Balances_, Of.Running_,
                  Of.PromptTokens_, Of.Inventories_, Of.Crashes_,
                  Of.LeavingTargets_, Of.Limits_, Of.Loads_, Of.Speeds_,
                  Of.StoreEra_, Of.Parts_, Of.Brittle_);
}
auto fieldsOf(MaybeConst<DataCentreSummary> auto &Of) {
  return std::tie(Of.DataCentre_, Of.Sender_, Of.Incarnation_, Of.Sequence_,
                  Of.Period_, Of.Vms_, Of.BudgetCoverage_, Of.Balances_,
                  Of.Spent_, Of.Running_, Of.Crashes_, Of.LeavingTargets_,
                  Of.Limits_, Of.Speeds_, Of.Parts_, Of.Brittle_);
}
auto fieldsOf(MaybeConst<AdapterRequest> auto &Of) {
  return std::tie(Of.Vm_, Of.Engine_, Of.Adapter_, Of.Version_, Of.WasMissing_,
                  Of.Rank_, Of.AimIn_, Of.Waiting_);
}
auto fieldsOf(MaybeConst<InventoryNotice> auto &Of) {
  return std::tie(Of.Engine_, Of.Inventory_);
}
auto fieldsOf(MaybeConst<PromptNotice> auto &Of) {
  return std::tie(Of.Engine_, Of.Tokens_);
}
auto fieldsOf(MaybeConst<VmClock> auto &Of) {
  return std::tie(Of.Vm_, Of.Incarnation_);
}
auto fieldsOf(MaybeConst<PlanReadNotice> auto &Of) {
  return std::tie(Of.Clock_, Of.At_, Of.NewestRow_, Of.RowsPort_,
                  Of.NewestBefore_, Of.Rows_, Of.Deltas_, Of.StoreEra_);
}
auto fieldsOf(MaybeConst<HeldModel> auto &Of) {
  return std::tie(Of.Version_, Of.Adapters_);
}
auto fieldsOf(MaybeConst<RegisteredTarget> auto &Of) {
  return std::tie(Of.Id_, Of.Incarnation_, Of.Service_, Of.SoftwareVersion_,
                  Of.Address_, Of.DataCentre_, Of.Slots_, Of.State_,
                  Of.Remaining_, Of.ColdRemaining_, Of.OrdersAccepted_,
                  Of.Models_);
}
auto fieldsOf(MaybeConst<ListingChanges> auto &Of) {
  return std::tie(Of.Entries_, Of.Removed_);
}
auto fieldsOf(MaybeConst<TargetsReadNotice> auto &Of) {
  return std::tie(Of.Clock_, Of.At_, Of.Changes_, Of.Digest_,
                  Of.LapseRemaining_, Of.StoreEra_);
}
auto fieldsOf(MaybeConst<ClockRequest> auto &Of) {
  return std::tie(Of.Vm_, Of.RequestedAt_);
}
auto fieldsOf(MaybeConst<ClockReply> auto &Of) {
  return std::tie(Of.Clock_, Of.RequestedAt_, Of.ClockTime_);
}
auto fieldsOf(MaybeConst<PermitQuery> auto &Of) {
  return std::tie(Of.Target_, Of.Incarnation_, Of.RatePerSecond_, Of.IsCold_);
}
auto fieldsOf(MaybeConst<PermitDecision> auto &Of) {
  return std::tie(Of.Granted_, Of.RetryIn_);
}
auto fieldsOf(MaybeConst<PlacesInUse> auto &Of) {
  return std::tie(Of.Held_, Of.Awaited_);
}
auto fieldsOf(MaybeConst<PlaceNeed> auto &Of) {
  return std::tie(Of.Slots_, Of.Rejections_, Of.Lasts_, Of.InUse_);
}
auto fieldsOf(MaybeConst<TargetPermitRequest> auto &Of) {
  return std::tie(Of.Vm_, Of.Serial_, Of.Request_, Of.Place_);
}
auto fieldsOf(MaybeConst<PlaceRelease> auto &Of) {
  return std::tie(Of.Vm_, Of.Serial_, Of.Target_, Of.Incarnation_,
                  Of.WasRejected_, Of.InUse_);
}
auto fieldsOf(MaybeConst<TargetPlaceFreed> auto &Of) {
  return std::tie(Of.Target_, Of.Incarnation_);
}
auto fieldsOf(MaybeConst<StreamCopies> auto &Of) {
  return std::tie(Of.Records_);
}
auto fieldsOf(MaybeConst<TargetPermitReply> auto &Of) {
  return std::tie(Of.Serial_, Of.Decision_);
}
auto fieldsOf(MaybeConst<RowDelta::Piece> auto &Of) {
  return std::tie(Of.Offset_, Of.Length_, Of.Bytes_);
}
auto fieldsOf(MaybeConst<RowDelta> auto &Of) {
  return std::tie(Of.Key_, Of.BaseVersion_, Of.Version_, Of.Digest_,
                  Of.Pieces_);
}
auto fieldsOf(MaybeConst<TableRow> auto &Of) {
  return std::tie(Of.Key_, Of.Value_, Of.Version_, Of.Deleted_);
}

template <class Type>
concept HasFields = requires(Type &Of) { fieldsOf(Of); };

inline void clampDecoded(RunningShare &Share) {
  Share.Requests_ = std::clamp(Share.Requests_, 0, MaxEncodedRequests);
  Share.Tokens_ = std::clamp<std::int64_t>(Share.Tokens_, 0, MaxEncodedTokens);
  for (auto &[Adapter, Count] : Share.Adapters_)
    Count = std::clamp(Count, 0, MaxEncodedRequests);
}

inline void clampDecoded(PlaceNeed &Need) {
  Need.Slots_ = std::clamp(Need.Slots_, 0, MaxEncodedRequests);
  Need.Rejections_ =
      std::isfinite(Need.Rejections_)
          ? std::clamp<double>(Need.Rejections_, 0, MaxEncodedRequests)
          : 0;
  Need.Lasts_ = std::clamp(Need.Lasts_, Duration::zero(), MaxPlaceTime);
}

/// Matches types with fields that are clamped after they are decoded.
template <class Type>
concept HasClampedFields = requires(Type &Of) { clampDecoded(Of); };

} // namespace anvil

MSGPACK_ADD_ENUM(anvil::LoadSource)
MSGPACK_ADD_ENUM(anvil::TargetState)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  /// Types with `fieldsOf` are encoded as arrays of these fields.
  template <class Type>
  struct pack<Type, std::enable_if_t<anvil::HasFields<const Type>>> {
    template <class Stream>
    packer<Stream> &operator()(packer<Stream> &Out, const Type &Given) const {
      std::apply(
          [&](const auto &...Fields) {
            msgpack::type::make_define_array(Fields...).msgpack_pack(Out);
          },
          anvil::fieldsOf(Given));
      return Out;
    }
  };

  template <class Type>
  struct convert<Type, std::enable_if_t<anvil::HasFields<Type>>> {
    const msgpack::object &operator()(const msgpack::object &In,
                                      Type &Given) const {
      std::apply(
          [&](auto &...Fields) {
            msgpack::type::make_define_array(Fields...).msgpack_unpack(In);
          },
          anvil::fieldsOf(Given));
      if constexpr (anvil::HasClampedFields<Type>)
        clampDecoded(Given);
      return In;
    }
  };

  /// Durations are encoded in microseconds.
  template <> struct pack<anvil::Duration> {
    template <class Stream>
    packer<Stream> &operator()(packer<Stream> &Out,
                               const anvil::Duration &Given) const {
      return Out.pack(static_cast<std::int64_t>(Given.count()));
    }
  };

  template <> struct convert<anvil::Duration> {
    const msgpack::object &operator()(const msgpack::object &In,
                                      anvil::Duration &Given) const {
      Given = anvil::Duration(std::clamp(
          In.as<std::int64_t>(),
          -static_cast<std::int64_t>(anvil::MaxEncodedDuration.count()),
          static_cast<std::int64_t>(anvil::MaxEncodedDuration.count())));
      return In;
    }
  };

  } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

#endif // ANVIL_ENTRY_FLEETFIELDS_H
