#include "Admission/QuotaRows.h"

#include "Kernel/Invariant.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace anvil {

using nlohmann::json;

/// Tolerance for rounding errors in sums of parts.
static constexpr double RoundingPart = 1e-9;

/// Demand, in tokens per second, that is added to the demand of every VM, so
/// that an idle fleet shares evenly.
static constexpr double IdleDemand = 1e-3;

QuotaRenewalReply applyQuotaRenewal(QuotaLeases &Row, const QuotaRenewal &Asked,
                                    std::uint64_t Version) {
  auto Found = Row.find(Asked.Vm_);
  if (Asked.Wish_ == QuotaLeaseWish::Join) {
    std::string Current = Found == Row.end() ? "" : Found->second.Id_;
    bool IsFree =
        Found == Row.end() || Found->second.Ended_ || Asked.OldLoansEnded_;
    if (Current != Asked.Replaces_ || !IsFree)
      return {false, Current, 0, {}};
    Row[Asked.Vm_] = {Asked.Id_, Asked.Counter_, false, Version, 0};
    return {true, Asked.Id_, 0, {}};
  }
  if (Found == Row.end())
    return {};
  QuotaLease &Lease = Found->second;
  if (Lease.Id_ != Asked.Id_ || Lease.Ended_ ||
      Asked.Counter_ <= Lease.Counter_)
    return {false, Lease.Id_, 0, {}};
  Lease.Counter_ = Asked.Counter_;
  Lease.Seen_ = std::max(Lease.Seen_, Asked.Seen_);
  Lease.Ended_ = Asked.Wish_ == QuotaLeaseWish::Release;
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

double QuotaHoldings::total() const {
  double Sum = 0;
  for (const auto &[Lease, Held] : ByLease_)
    Sum += Held.Part_;
  return Sum;
}

bool QuotaHoldings::dropOthers(const std::set<std::string> &Alive) {
  auto Dropped = std::erase_if(ByLease_, [&](const auto &Entry) {
    return !Alive.contains(Entry.first);
  });
  return Dropped > 0;
}

double QuotaFloors::total() const {
  double Sum = 0;
  for (const auto &[Vm, Part] : ByVm_)
    Sum += Part;
  return Sum;
}

double nextQuotaPart(const QuotaHoldings &Row, const std::string &Lease,
                     double Demand, double Reserve) {
  double Lendable = 1 - Reserve;
  double Mine = 0;
  double AllDemand = Demand + IdleDemand;
  for (const auto &[Id, Held] : Row.ByLease_) {
    if (Id == Lease)
      Mine = Held.Part_;
    else
      AllDemand += Held.Demand_ + IdleDemand;
  }
  checkInvariant(Row.total() <= Lendable + RoundingPart,
                 "the parts of a quota exceed the whole");
  double Fair = Lendable * (Demand + IdleDemand) / AllDemand;
  double Free = std::max(0.0, Lendable - Row.total());
  return std::min(Fair, Mine + Free);
}

std::string encodeQuotaLeases(const QuotaLeases &Given) {
  json Out = json::object();
  for (const auto &[Vm, Lease] : Given)
    Out[Vm] = json::array(
        {Lease.Id_, Lease.Counter_, Lease.Ended_, Lease.Joined_, Lease.Seen_});
  return Out.dump();
}

std::string encodeQuotaHoldings(const QuotaHoldings &Given) {
  json Held = json::object();
  for (const auto &[Lease, Entry] : Given.ByLease_)
    Held[Lease] = json::array({Entry.Part_, Entry.Demand_, Entry.Edit_,
                               Entry.Vm_, Entry.DataCentre_});
  return json{{"fresh", Given.Fresh_}, {"held", std::move(Held)}}.dump();
}

std::string encodeQuotaFloors(const QuotaFloors &Given) {
  return json{{"reserve", Given.Reserve_}, {"vms", Given.ByVm_}}.dump();
}

/// Parses a row with `Read`. nlohmann::json reports every unexpected shape by
/// throwing.
template <class Row, class Reader>
static Result<Row> decode(const std::string &Text, Reader Read) {
  Row Found;
  if (Text.empty())
    return Found;
  try {
    Read(json::parse(Text), Found);
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

Result<QuotaHoldings> decodeQuotaHoldings(const std::string &Text) {
  return decode<QuotaHoldings>(Text, [](const json &In, QuotaHoldings &Found) {
    Found.Fresh_ = In.at("fresh");
    for (const auto &[Lease, Entry] : In.at("held").items())
      Found.ByLease_[Lease] = {Entry.at(0), Entry.at(1), Entry.at(2),
                               Entry.at(3), Entry.at(4)};
  });
}

Result<QuotaFloors> decodeQuotaFloors(const std::string &Text) {
  return decode<QuotaFloors>(Text, [](const json &In, QuotaFloors &Found) {
    Found.Reserve_ = In.at("reserve");
    In.at("vms").get_to(Found.ByVm_);
  });
}

} // namespace anvil
