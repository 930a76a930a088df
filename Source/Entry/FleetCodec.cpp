#include "Entry/FleetCodec.h"

#include <msgpack.hpp>

namespace anvil {

/// The release of the datagram format.
static constexpr char FormatVersion = 1;

enum class MessageTag : char { News = 1, Want = 2, Holdings = 3, Prompt = 4 };

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
  std::map<std::string, WireRunning> Running_;
  std::map<std::string, std::int64_t> PromptTokens_;
  std::map<std::string, WireHoldings> Holdings_;
  std::vector<WireCrash> Crashes_;
  std::map<std::string, std::int64_t> Leavers_;
  MSGPACK_DEFINE(Vm_, Incarnation_, Sequence_, Revision_, Leaving_, Spent_,
                 Running_, PromptTokens_, Holdings_, Crashes_, Leavers_)
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

template <class Wire>
static std::string packTagged(MessageTag Tag, const Wire &Given) {
  msgpack::sbuffer Buffer;
  const char Head[] = {FormatVersion, static_cast<char>(Tag)};
  Buffer.write(Head, sizeof(Head));
  msgpack::pack(Buffer, Given);
  return std::string(Buffer.data(), Buffer.size());
}

std::string encodeFleetMessage(const FleetMessage &Message) {
  if (const auto *News = std::get_if<VmNews>(&Message))
    return packTagged(MessageTag::News, toWire(*News));
  if (const auto *Want = std::get_if<AdapterWant>(&Message))
    return packTagged(MessageTag::Want,
                      WireWant{Want->Vm_, Want->Engine_, Want->Adapter_,
                               Want->Version_, Want->WasMissing_});
  if (const auto *Prompt = std::get_if<PromptNotice>(&Message))
    return packTagged(MessageTag::Prompt,
                      WirePrompt{Prompt->Engine_, Prompt->Tokens_});
  const auto &Notice = std::get<HoldingsNotice>(Message);
  return packTagged(MessageTag::Holdings,
                    WireNotice{Notice.Engine_, toWire(Notice.Holdings_)});
}

Result<FleetMessage> decodeFleetMessage(std::string_view Bytes) {
  Error Problem{ErrorCode::Protocol, "datagram", "can't be read", ""};
  if (Bytes.size() < 3 || Bytes[0] != FormatVersion)
    return Problem;
  try {
    auto Handle = msgpack::unpack(Bytes.data() + 2, Bytes.size() - 2);
    switch (static_cast<MessageTag>(Bytes[1])) {
    case MessageTag::News:
      return FleetMessage(fromWire(Handle.get().as<WireNews>()));
    case MessageTag::Want: {
      auto Wire = Handle.get().as<WireWant>();
      return FleetMessage(AdapterWant{Wire.Vm_, Wire.Engine_, Wire.Adapter_,
                                      Wire.Version_, Wire.WasMissing_});
    }
    case MessageTag::Prompt: {
      auto Wire = Handle.get().as<WirePrompt>();
      return FleetMessage(PromptNotice{Wire.Engine_, Wire.Tokens_});
    }
    case MessageTag::Holdings: {
      auto Wire = Handle.get().as<WireNotice>();
      return FleetMessage(
          HoldingsNotice{Wire.Engine_, fromWire(Wire.Holdings_)});
    }
    }
  } catch (const std::exception &) {
    // msgpack reports every fault of its input by throwing.
    return Problem;
  }
  return Problem;
}

} // namespace anvil
