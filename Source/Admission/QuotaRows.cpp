#include "Admission/QuotaRows.h"

#include "Kernel/BoundedJson.h"
#include "Kernel/Invariant.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace anvil {

using nlohmann::json;

/// Tolerance for rounding errors in sums of parts.
static constexpr double PartTolerance = 1e-9;

/// Demand, in tokens per second, that is added to the demand of every VM, so
/// that an idle fleet shares evenly.
static constexpr double BaseDemand = 1e-3;

QuotaLeaseReply applyQuotaLeaseRequest(QuotaLeases &Row,
                                       const QuotaLeaseRequest &Request,
                                       std::uint64_t Version) {
  auto Found = Row.find(Request.Vm_);
  if (Request.Action_ == QuotaLeaseAction::Acquire) {
    std::string Current = Found == Row.end() ? "" : Found->second.Id_;
    bool IsFree =
        Found == Row.end() || Found->second.Ended_ || Request.OldLoansEnded_;
    if (Current != Request.Replaces_ || !IsFree)
      return {false, Current, 0, {}};
    Row[Request.Vm_] = {Request.Id_, Request.Counter_, false, Version, 0};
    return {true, Request.Id_, 0, {}};
  }
  if (Found == Row.end())
    return {};
  QuotaLease &Lease = Found->second;
  if (Lease.Id_ != Request.Id_ || Lease.Ended_ ||
      Request.Counter_ <= Lease.Counter_)
    return {false, Lease.Id_, 0, {}};
  Lease.Counter_ = Request.Counter_;
  Lease.SeenVersion_ = std::max(Lease.SeenVersion_, Request.SeenVersion_);
  Lease.Ended_ = Request.Action_ == QuotaLeaseAction::Release;
  return {true, Lease.Id_, 0, {}};
}

std::set<std::string> liveQuotaLeases(const QuotaLeases &Row) {
  std::set<std::string> Ids;
  for (const auto &[Vm, Lease] : Row)
    if (!Lease.Ended_)
      Ids.insert(Lease.Id_);
  return Ids;
}

std::vector<std::string> liveQuotaVms(const QuotaLeases &Row) {
  std::vector<std::string> Vms;
  for (const auto &[Vm, Lease] : Row)
    if (!Lease.Ended_)
      Vms.push_back(Vm);
  return Vms;
}

double QuotaAllocations::total() const {
  double Sum = 0;
  for (const auto &[Lease, Allocation] : ByLease_)
    Sum += Allocation.Part_;
  return Sum;
}

bool QuotaAllocations::dropEnded(const std::set<std::string> &LiveLeases) {
  auto Dropped = std::erase_if(ByLease_, [&](const auto &Entry) {
    return !LiveLeases.contains(Entry.first);
  });
  return Dropped > 0;
}

bool isConsistent(const QuotaAllocations &Row, double Reserve) {
  // False for what is not a number, too.
  bool IsValid = Row.UnissuedPart_ >= -PartTolerance;
  for (const auto &[Lease, Allocation] : Row.ByLease_)
    IsValid = IsValid && Allocation.Part_ >= 0 && Allocation.Demand_ >= 0;
  return IsValid &&
         Row.total() + Row.UnissuedPart_ <= 1 - Reserve + PartTolerance;
}

double QuotaFloors::total() const {
  double Sum = 0;
  for (const auto &[Vm, Part] : ByVm_)
    Sum += Part;
  return Sum;
}

double nextQuotaPart(const QuotaAllocations &Row, const std::string &Lease,
                     double Demand, double Reserve) {
  double Assignable = 1 - Reserve;
  double OwnPart = 0;
  double TotalDemand = Demand + BaseDemand;
  for (const auto &[Id, Allocation] : Row.ByLease_) {
    if (Id == Lease)
      OwnPart = Allocation.Part_;
    else
      TotalDemand += Allocation.Demand_ + BaseDemand;
  }
  checkInvariant(Row.total() <= Assignable + PartTolerance,
                 "the allocated parts of a quota exceed the whole");
  double Fair = Assignable * (Demand + BaseDemand) / TotalDemand;
  double Free = std::max(0.0, Assignable - Row.total());
  return std::min(Fair, OwnPart + Free);
}

std::string encodeQuotaLeases(const QuotaLeases &Source) {
  json Out = json::object();
  for (const auto &[Vm, Lease] : Source)
    Out[Vm] = json::array({Lease.Id_, Lease.Counter_, Lease.Ended_,
                           Lease.AcquiredVersion_, Lease.SeenVersion_});
  return Out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string encodeQuotaAllocations(const QuotaAllocations &Source) {
  json Held = json::object();
  for (const auto &[Lease, Entry] : Source.ByLease_)
    Held[Lease] = json::array({Entry.Part_, Entry.Demand_, Entry.EditNumber_,
                               Entry.Vm_, Entry.DataCentre_});
  return json{{"fresh", Source.UnissuedPart_}, {"held", std::move(Held)}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

std::string encodeQuotaFloors(const QuotaFloors &Source) {
  return json{{"reserve", Source.Reserve_}, {"vms", Source.ByVm_}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

/// Parses a row with `Read`. nlohmann::json reports every unexpected shape by
/// throwing.
template <class Row, class Reader>
static Result<Row> decode(const std::string &Text, Reader Read) {
  Row Found;
  if (Text.empty())
    return Found;
  auto Parsed = parseBounded(Text);
  if (!isOk(Parsed))
    return errorOf(Parsed);
  try {
    Read(valueOf(Parsed), Found);
  } catch (const json::exception &Cause) {
    return Error{ErrorCode::Protocol, "quota row", Cause.what(), ""};
  }
  return Found;
}

Result<QuotaLeases> decodeQuotaLeases(const std::string &Text) {
  return decode<QuotaLeases>(Text, [](const json &In, QuotaLeases &Found) {
    for (const auto &[Vm, Entry] : In.items())
      Found[Vm] = {Entry.at(0), Entry.at(1), Entry.at(2), Entry.at(3),
                   Entry.at(4)};
  });
}

Result<QuotaAllocations> decodeQuotaAllocations(const std::string &Text) {
  return decode<QuotaAllocations>(
      Text, [](const json &In, QuotaAllocations &Found) {
        Found.UnissuedPart_ = In.at("fresh");
        for (const auto &[Lease, Entry] : In.at("held").items())
          Found.ByLease_[Lease] = {Entry.at(0), Entry.at(1), Entry.at(2),
                                   Entry.at(3), Entry.at(4)};
      });
}

Result<QuotaFloors> decodeQuotaFloors(const std::string &Text) {
  auto Read = decode<QuotaFloors>(Text, [](const json &In, QuotaFloors &Found) {
    Found.Reserve_ = In.at("reserve");
    In.at("vms").get_to(Found.ByVm_);
  });
  if (!isOk(Read))
    return Read;
  const QuotaFloors &Floors = valueOf(Read);
  bool IsValid = Floors.Reserve_ >= 0 && Floors.Reserve_ <= 1;
  for (const auto &[Vm, Part] : Floors.ByVm_)
    IsValid = IsValid && Part >= 0 && Part <= 1;
  if (!IsValid)
    return Error{ErrorCode::Protocol, "quota row", "holds no parts of a whole",
                 ""};
  return Read;
}

} // namespace anvil
