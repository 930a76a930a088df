#ifndef ANVIL_ENTRY_TARGETPROBE_H
#define ANVIL_ENTRY_TARGETPROBE_H

#include "Entry/TargetAddress.h"
#include "Http/HttpConnection.h"
#include "Kernel/Clock.h"
#include "Relay/RelayRequest.h"
#include "Telemetry/Metrics.h"
#include "platform/EngineControl.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace anvil {

/// What shows that a target's process has outlived the end of one of its
/// connections.
enum class LifeSign {
  /// It has answered a question asked afterwards.
  Answer,
  /// It is silent, but its system still accepts connections for it.
  OpenPort,
  /// Nothing: it has ended, or can't be reached.
  None,
};

inline constexpr std::pair<LifeSign, std::string_view> LifeSignNames[] = {
    {LifeSign::Answer, "answer"},
    {LifeSign::OpenPort, "open_port"},
    {LifeSign::None, "none"},
};

/// What a question to a target shows.
struct ProbeResult {
  LifeSign Sign_ = LifeSign::None;
  /// The incarnation that the target stated, if it did.
  std::optional<std::int64_t> Incarnation_;
};

/// What is asked to learn whether a target's process lives.
struct ProbeQuestion {
  TargetAddress Target_;
  /// The report of an engine, the path of the health check of another target,
  /// or empty if it can only be connected to.
  std::string Path_;
  /// How long a new connection must stay open to show that a silent target
  /// lives.
  Duration CloseTime_{};
};

/// Asks targets that this VM reaches by its own connections whether their
/// processes live.
class TargetProbe {
public:
  using KeepHook = std::function<void(const Endpoint &, HttpConnection)>;

  /// Connections that the probe opened and no longer needs go to `Keep`, or are
  /// closed without it; what they receive counts against the budget.
  TargetProbe(platform::EngineControl &Control, std::shared_ptr<Metrics> Counts,
              std::shared_ptr<BufferBudget> Budget, KeepHook Keep = {});

  /// Nothing if the target can't be connected to.
  boost::asio::awaitable<std::optional<ProbeResult>>
  probe(ProbeQuestion Question);

  /// Answers another VM's question about the target at an address. Nothing if
  /// it can't be connected to.
  boost::asio::awaitable<std::optional<RelayAnswer>>
  answer(RelayRequest Request, Endpoint Address);

private:
  platform::EngineControl &Control_;
  KeepHook Keep_;
  std::shared_ptr<Metrics> Counts_;
  std::shared_ptr<BufferBudget> Budget_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_TARGETPROBE_H
