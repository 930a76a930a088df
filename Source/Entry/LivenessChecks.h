#ifndef ANVIL_ENTRY_LIVENESSCHECKS_H
#define ANVIL_ENTRY_LIVENESSCHECKS_H

#include "Entry/ReachService.h"
#include "Kernel/Clock.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace anvil {

/// What shows that a target's process has outlived the end of one of its
/// connections.
enum class LifeSign {
  /// Another connection to it, opened before, is still open a moment later. A
  /// process that ends closes all its connections one right after the other.
  OpenConnection,
  /// It has answered a question asked afterwards.
  Answer,
  /// Nothing: it has ended, or doesn't answer.
  None,
};

inline constexpr std::pair<LifeSign, std::string_view> LifeSignNames[] = {
    {LifeSign::OpenConnection, "open_connection"},
    {LifeSign::Answer, "answer"},
    {LifeSign::None, "none"},
};

/// The target whose connection has ended.
struct EndedConnection {
  TargetAddress Target_;
  /// Whether the target is a model engine, which reports its incarnation.
  bool IsEngine_ = false;
  /// Whether the connection led through another VM.
  bool IsRelayed_ = false;
  std::string RequestId_;
  /// See `connectionCloseTime`.
  Duration CloseTime_{};
};

/// The time in which the system of a process that has ended closes all its
/// connections and ports, if it has at most so many connections.
Duration connectionCloseTime(std::optional<int> MaxConnections);

/// Finds out whether the process of a target has outlived the orderly end of
/// one of its connections. The system ends all connections of a process in that
/// way, also if it was killed, so only a process that lives on can have meant
/// the end.
class LivenessChecks {
public:
  struct Hooks {
    /// Whether a connection to the target that was opened before the time is
    /// open and quiet.
    std::function<bool(const TargetAddress &, TimePoint OpenedBefore)>
        HasOpenConnection_;
    /// Asks the target, within a bounded time. False if it doesn't answer in
    /// the same incarnation.
    std::function<boost::asio::awaitable<bool>(EndedConnection)> Ask_;
  };

  explicit LivenessChecks(Hooks Calls) : Hooks_(std::move(Calls)) {}

  /// Looks for a sign of life since the connection ended, which is now. Ends of
  /// the same target share a question whose answer serves all of them.
  boost::asio::awaitable<LifeSign> findSign(EndedConnection Ended);

private:
  struct Question;

  boost::asio::awaitable<bool> ask(EndedConnection Ended, TimePoint EndedAt);

  Hooks Hooks_;
  /// The questions without an answer, by target, incarnation and whether they
  /// go through another VM.
  std::map<std::tuple<std::string, std::int64_t, bool>,
           std::shared_ptr<Question>>
      Open_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_LIVENESSCHECKS_H
