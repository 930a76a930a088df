#include "Entry/FleetCodec.h"

#include "Peer/BoundedUnpack.h"

namespace anvil {

/// The release of the datagram format.
static constexpr char FormatVersion = 4;

namespace {

struct WireRunning {
  int Requests_ = 0;
  std::int64_t Tokens_ = 0;
  std::map<std::string, int> Adapters_;
  MSGPACK_DEFINE(Requests_, Tokens_, Adapters_)
};

/// Version and microseconds until ready.
using WireItem = std::pair<std::uint64_t, std::int64_t>;

struct WireHoldings {
  std::int64_t Incarnation_ = 0;
  bool HasModel_ = false;
  std::map<std::string, WireItem> Adapters_;
  MSGPACK_DEFINE(Incarnation_, HasModel_, Adapters_)
};

struct WireCrash {
  std::string Digest_;
  std::string Target_;
  std::int64_t Incarnation_ = 0;
  MSGPACK_DEFINE(Digest_, Target_, Incarnation_)
};

struct WireNews {
  std::string Vm_;
  std::string Incarnation_;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Revision_ = 0;
  bool Leaving_ = false;
  SpentTokens Spent_;
  std::int64_t BudgetSeen_ = 0;
  TokenBalances Balances_;
  std::map<std::string, WireRunning> Running_;
  std::map<std::string, std::int64_t> PromptTokens_;
  std::map<std::string, WireHoldings> Holdings_;
  std::vector<WireCrash> Crashes_;
  std::map<std::string, std::int64_t> Leavers_;
  MSGPACK_DEFINE(Vm_, Incarnation_, Sequence_, Revision_, Leaving_, Spent_,
                 BudgetSeen_, Balances_, Running_, PromptTokens_, Holdings_,
                 Crashes_, Leavers_)
};

struct WireWant {
  std::string Vm_;
  std::string Engine_;
  std::string Adapter_;
  std::uint64_t Version_ = 0;
  bool WasMissing_ = false;
  MSGPACK_DEFINE(Vm_, Engine_, Adapter_, Version_, WasMissing_)
};

struct WireNotice {
  std::string Engine_;
  WireHoldings Holdings_;
  MSGPACK_DEFINE(Engine_, Holdings_)
};

struct WireTarget {
  std::string Id_;
  std::int64_t Incarnation_ = 0;
  std::string Service_;
  std::string Address_;
  std::string DataCentre_;
  int Slots_ = 0;
  bool Draining_ = false;
  /// Microseconds, or less than zero for none.
  std::int64_t Remaining_ = -1;
  std::uint64_t OrdersAccepted_ = 0;
  std::map<std::string, std::pair<std::uint64_t, AdapterVersions>> Models_;
  MSGPACK_DEFINE(Id_, Incarnation_, Service_, Address_, DataCentre_, Slots_,
                 Draining_, Remaining_, OrdersAccepted_, Models_)
};

struct WirePlanReading {
  std::string Vm_;
  std::string Incarnation_;
  std::int64_t At_ = 0;
  std::uint64_t NewestRow_ = 0;
  std::uint16_t PagesPort_ = 0;
  MSGPACK_DEFINE(Vm_, Incarnation_, At_, NewestRow_, PagesPort_)
};

struct WireTargetsReading {
  std::string Vm_;
  std::string Incarnation_;
  std::int64_t At_ = 0;
  std::vector<WireTarget> Entries_;
  std::vector<std::string> Removed_;
  std::uint64_t Digest_ = 0;
  std::int64_t LapseLeft_ = 0;
  MSGPACK_DEFINE(Vm_, Incarnation_, At_, Entries_, Removed_, Digest_,
                 LapseLeft_)
};

struct WireClockQuestion {
  std::string Vm_;
  std::int64_t AskedAt_ = 0;
  MSGPACK_DEFINE(Vm_, AskedAt_)
};

struct WireClockAnswer {
  std::string Vm_;
  std::string Incarnation_;
  std::int64_t AskedAt_ = 0;
  std::int64_t Shown_ = 0;
  MSGPACK_DEFINE(Vm_, Incarnation_, AskedAt_, Shown_)
};

struct WirePrompt {
  std::string Engine_;
  std::int64_t Tokens_ = 0;
  MSGPACK_DEFINE(Engine_, Tokens_)
};

} // namespace

static WireHoldings toWire(const EngineHoldings &Given) {
  WireHoldings Wire{Given.Incarnation_, Given.HasModel_, {}};
  for (const auto &[Adapter, Item] : Given.Adapters_)
    Wire.Adapters_[Adapter] = {Item.Version_, Item.ReadyIn_.count()};
  return Wire;
}

static EngineHoldings fromWire(const WireHoldings &Wire) {
  EngineHoldings Given{Wire.Incarnation_, Wire.HasModel_, {}};
  for (const auto &[Adapter, Item] : Wire.Adapters_)
    Given.Adapters_[Adapter] = {Item.first, Duration(Item.second)};
  return Given;
}

static WireNews toWire(const VmNews &Given) {
  WireNews Wire;
  Wire.Vm_ = Given.Vm_;
  Wire.Incarnation_ = Given.Incarnation_;
  Wire.Sequence_ = Given.Sequence_;
  Wire.Revision_ = Given.Revision_;
  Wire.Leaving_ = Given.Leaving_;
  Wire.Spent_ = Given.Spent_;
  Wire.BudgetSeen_ = Given.BudgetSeen_.count();
  Wire.Balances_ = Given.Balances_;
  Wire.PromptTokens_ = Given.PromptTokens_;
  Wire.Leavers_ = Given.Leavers_;
  for (const auto &[Target, Share] : Given.Running_)
    Wire.Running_[Target] = {Share.Requests_, Share.Tokens_, Share.Adapters_};
  for (const auto &[Engine, Held] : Given.Holdings_)
    Wire.Holdings_[Engine] = toWire(Held);
  for (const VmNews::Crash &Seen : Given.Crashes_)
    Wire.Crashes_.push_back({Seen.Digest_, Seen.Target_, Seen.Incarnation_});
  return Wire;
}

static VmNews fromWire(const WireNews &Wire) {
  VmNews Given;
  Given.Vm_ = Wire.Vm_;
  Given.Incarnation_ = Wire.Incarnation_;
  Given.Sequence_ = Wire.Sequence_;
  Given.Revision_ = Wire.Revision_;
  Given.Leaving_ = Wire.Leaving_;
  Given.Spent_ = Wire.Spent_;
  Given.BudgetSeen_ = Duration(Wire.BudgetSeen_);
  Given.Balances_ = Wire.Balances_;
  Given.PromptTokens_ = Wire.PromptTokens_;
  Given.Leavers_ = Wire.Leavers_;
  for (const auto &[Target, Share] : Wire.Running_)
    Given.Running_[Target] = {Share.Requests_, Share.Tokens_, Share.Adapters_};
  for (const auto &[Engine, Held] : Wire.Holdings_)
    Given.Holdings_[Engine] = fromWire(Held);
  for (const WireCrash &Seen : Wire.Crashes_)
    Given.Crashes_.push_back({Seen.Digest_, Seen.Target_, Seen.Incarnation_});
  return Given;
}

static WireWant toWire(const AdapterWant &Given) {
  return {Given.Vm_, Given.Engine_, Given.Adapter_, Given.Version_,
          Given.WasMissing_};
}

static AdapterWant fromWire(const WireWant &Wire) {
  return {Wire.Vm_, Wire.Engine_, Wire.Adapter_, Wire.Version_,
          Wire.WasMissing_};
}

static WireNotice toWire(const HoldingsNotice &Given) {
  return {Given.Engine_, toWire(Given.Holdings_)};
}

static HoldingsNotice fromWire(const WireNotice &Wire) {
  return {Wire.Engine_, fromWire(Wire.Holdings_)};
}

static WirePrompt toWire(const PromptNotice &Given) {
  return {Given.Engine_, Given.Tokens_};
}

static PromptNotice fromWire(const WirePrompt &Wire) {
  return {Wire.Engine_, Wire.Tokens_};
}

static WirePlanReading toWire(const PlanReading &Given) {
  return {Given.Clock_.Vm_, Given.Clock_.Incarnation_, Given.At_.count(),
          Given.NewestRow_, Given.PagesPort_};
}

static PlanReading fromWire(const WirePlanReading &Wire) {
  return {{Wire.Vm_, Wire.Incarnation_},
          Duration(Wire.At_),
          Wire.NewestRow_,
          Wire.PagesPort_};
}

static WireTarget toWire(const RegisteredTarget &Given) {
  WireTarget Wire{Given.Id_,
                  Given.Incarnation_,
                  Given.Service_,
                  Given.Address_,
                  Given.DataCentre_,
                  Given.Slots_,
                  Given.State_ == TargetState::Draining,
                  Given.Remaining_ ? Given.Remaining_->count() : -1,
                  Given.OrdersAccepted_,
                  {}};
  for (const auto &[Model, Held] : Given.Models_)
    Wire.Models_[Model] = {Held.Version_, Held.Adapters_};
  return Wire;
}

static RegisteredTarget fromWire(const WireTarget &Wire) {
  RegisteredTarget Given;
  Given.Id_ = Wire.Id_;
  Given.Incarnation_ = Wire.Incarnation_;
  Given.Service_ = Wire.Service_;
  Given.Address_ = Wire.Address_;
  Given.DataCentre_ = Wire.DataCentre_;
  Given.Slots_ = Wire.Slots_;
  Given.State_ = Wire.Draining_ ? TargetState::Draining : TargetState::Ready;
  if (Wire.Remaining_ >= 0)
    Given.Remaining_ = Duration(Wire.Remaining_);
  Given.OrdersAccepted_ = Wire.OrdersAccepted_;
  for (const auto &[Model, Held] : Wire.Models_)
    Given.Models_[Model] = {Held.first, Held.second};
  return Given;
}

static WireTargetsReading toWire(const TargetsReading &Given) {
  WireTargetsReading Wire{Given.Clock_.Vm_,        Given.Clock_.Incarnation_,
                          Given.At_.count(),       {},
                          Given.Changes_.Removed_, Given.Digest_,
                          Given.LapseLeft_.count()};
  for (const RegisteredTarget &Entry : Given.Changes_.Entries_)
    Wire.Entries_.push_back(toWire(Entry));
  return Wire;
}

static TargetsReading fromWire(const WireTargetsReading &Wire) {
  TargetsReading Given{{Wire.Vm_, Wire.Incarnation_},
                       Duration(Wire.At_),
                       {{}, Wire.Removed_},
                       Wire.Digest_,
                       Duration(Wire.LapseLeft_)};
  for (const WireTarget &Entry : Wire.Entries_)
    Given.Changes_.Entries_.push_back(fromWire(Entry));
  return Given;
}

static WireClockQuestion toWire(const ClockQuestion &Given) {
  return {Given.Vm_, Given.AskedAt_.count()};
}

static ClockQuestion fromWire(const WireClockQuestion &Wire) {
  return {Wire.Vm_, Duration(Wire.AskedAt_)};
}

static WireClockAnswer toWire(const ClockAnswer &Given) {
  return {Given.Clock_.Vm_, Given.Clock_.Incarnation_, Given.AskedAt_.count(),
          Given.Shown_.count()};
}

static ClockAnswer fromWire(const WireClockAnswer &Wire) {
  return {{Wire.Vm_, Wire.Incarnation_},
          Duration(Wire.AskedAt_),
          Duration(Wire.Shown_)};
}

/// A row's key, value and version.
using WireRow = std::tuple<std::string, std::string, std::uint64_t>;

/// Messages in the order of `FleetMessage`, as their tags count from one.
template <std::size_t Index = 0>
static Result<FleetMessage> decodeTagged(std::size_t Tag,
                                         const msgpack::object &Body) {
  if constexpr (Index < std::variant_size_v<FleetMessage>) {
    using Message = std::variant_alternative_t<Index, FleetMessage>;
    using Wire = decltype(toWire(std::declval<Message>()));
    if (Tag == Index + 1)
      return FleetMessage(fromWire(Body.as<Wire>()));
    return decodeTagged<Index + 1>(Tag, Body);
  } else {
    return Error{ErrorCode::Protocol, "datagram", "is of an unknown kind", ""};
  }
}

std::string encodeFleetMessage(const FleetMessage &Message) {
  msgpack::sbuffer Buffer;
  const char Head[] = {FormatVersion, static_cast<char>(Message.index() + 1)};
  Buffer.write(Head, sizeof(Head));
  std::visit([&](const auto &Given) { msgpack::pack(Buffer, toWire(Given)); },
             Message);
  return std::string(Buffer.data(), Buffer.size());
}

std::string encodeTableRows(const std::vector<TableRow> &Rows) {
  std::vector<WireRow> Wire;
  for (const TableRow &Row : Rows)
    Wire.emplace_back(Row.Key_, Row.Value_, Row.Version_);
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Wire);
  return std::string(Buffer.data(), Buffer.size());
}

Result<std::vector<TableRow>> decodeTableRows(std::string_view Bytes) {
  std::vector<TableRow> Rows;
  try {
    for (auto &[Key, Value, Version] :
         unpackBounded(Bytes).get().as<std::vector<WireRow>>())
      Rows.push_back({std::move(Key), std::move(Value), Version});
  } catch (const std::exception &) {
    // msgpack reports every fault of its input by throwing.
    return Error{ErrorCode::Protocol, "rows", "can't be read", ""};
  }
  return Rows;
}

Result<FleetMessage> decodeFleetMessage(std::string_view Bytes) {
  Error Problem{ErrorCode::Protocol, "datagram", "can't be read", ""};
  if (Bytes.size() < 3 || Bytes[0] != FormatVersion)
    return Problem;
  try {
    auto Handle = unpackBounded(Bytes.substr(2));
    return decodeTagged(static_cast<std::size_t>(Bytes[1]), Handle.get());
  } catch (const std::exception &) {
    // msgpack reports every fault of its input by throwing.
    return Problem;
  }
}

} // namespace anvil
