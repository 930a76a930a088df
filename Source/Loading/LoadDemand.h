#ifndef ANVIL_LOADING_LOADDEMAND_H
#define ANVIL_LOADING_LOADDEMAND_H

#include "Kernel/Clock.h"
#include "Kernel/EnumNames.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace anvil {

/// How far a load of an adapter to an engine has come.
enum class LoadStage {
  /// Nothing is known of a load.
  Unknown,
  /// The engine's owner knows the request; the load isn't ordered yet.
  Queued,
  /// The engine is loading the adapter.
  Ordered,
};

inline constexpr std::pair<LoadStage, std::string_view> LoadStageNames[] = {
    {LoadStage::Unknown, "unknown"},
    {LoadStage::Queued, "queued"},
    {LoadStage::Ordered, "ordered"},
};

/// The stable name of a stage, for logs and metrics.
inline std::string_view loadStageName(LoadStage Stage) {
  return enumName(Stage, LoadStageNames);
}

/// Which requests wait for an adapter's load. Without any, the load only
/// prepares for later requests.
struct LoadDemand {
  /// The rank of the least urgent requests.
  static constexpr int LeastUrgentRank = 9;

  /// The most urgent rank among them; zero is the most urgent.
  int Rank_ = LeastUrgentRank;
  /// When the first of them exceeds its latency target.
  TimePoint AimAt_ = TimePoint::max();
  /// Their number.
  int Waiting_ = 0;
};

/// The position of a load among the queued loads of an engine: lower ones are
/// ordered first.
struct LoadPriority {
  /// Loads that have waited for too long, then those whose requests can still
  /// be on time, then those whose requests are late, then those for which no
  /// request waits.
  enum class Group { Overdue, InTime, Late, Unneeded };

  Group Group_ = Group::Unneeded;
  TimePoint DueAt_{};

  auto operator<=>(const LoadPriority &) const = default;
};

/// The priority of a load that was first requested at `FirstAt` and takes
/// `Load`. Urgent requests, and adapters that several requests wait for, come
/// earlier than their latency targets say. With `PrefersOverdue`, loads that
/// have waited for a bounded time precede all others in the order of their
/// first requests. A fraction of all loads is chosen so: none starves, and
/// after a backlog later ones can still be on time.
LoadPriority loadPriority(const LoadDemand &Demand, TimePoint FirstAt,
                          Duration Load, bool PrefersOverdue, TimePoint Now);

/// The requests of this VM that wait for adapters.
class WaitingRequests {
public:
  void add(const std::string &Adapter, int Rank, TimePoint AimAt);
  void remove(const std::string &Adapter, int Rank, TimePoint AimAt);

  LoadDemand demandFor(const std::string &Adapter) const;

  /// The number of adapters that requests wait for.
  std::size_t adapters() const { return Waiting_.size(); }

private:
  /// For each adapter the number of requests by rank and latency target.
  std::map<std::string, std::map<std::pair<TimePoint, int>, int>> Waiting_;
};

} // namespace anvil

#endif // ANVIL_LOADING_LOADDEMAND_H
