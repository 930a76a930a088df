#ifndef ANVIL_ENTRY_LIVENESSCHECKS_H
#define ANVIL_ENTRY_LIVENESSCHECKS_H

#include "Entry/TargetAddress.h"
#include "Entry/TargetProbe.h"
#include "Kernel/Clock.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace anvil {

/// What a question shows.
struct TargetLife {
  LifeSign Sign_ = LifeSign::None;
  /// When the process that answered started, if it isn't the listed one.
  std::optional<TimePoint> StartedAt_;
};

/// The target whose connection has ended.
struct EndedConnection {
  TargetAddress Target_;
  /// What is asked: the report of an engine, the path of the health check of
  /// another target, or nothing if it can only be connected to.
  std::string QuestionPath_;
  /// Whether the target is a model engine, which reports its incarnation.
  bool IsEngine_ = false;
  /// Whether the connection led through another VM.
  bool IsRelayed_ = false;
  std::string RequestId_;
  /// When the request was sent. A process that has started since isn't the one
  /// that answered.
  TimePoint SentAt_{};
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
  /// Asks the target, within a bounded time.
  using AskHook =
      std::function<boost::asio::awaitable<TargetLife>(EndedConnection)>;

  explicit LivenessChecks(AskHook Ask) : Ask_(std::move(Ask)) {}

  /// Looks for a sign of life since the connection ended, which is now. Ends of
  /// the same target share a question whose answer serves all of them.
  boost::asio::awaitable<LifeSign> findSign(EndedConnection Ended);

private:
  struct Question;

  boost::asio::awaitable<TargetLife> ask(EndedConnection Ended);

  AskHook Ask_;
  /// The questions without an answer, by target, incarnation and whether they
  /// go through another VM.
  std::map<std::tuple<std::string, std::int64_t, bool>,
           std::shared_ptr<Question>>
      Open_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_LIVENESSCHECKS_H
