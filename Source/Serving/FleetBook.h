#ifndef ANVIL_SERVING_FLEETBOOK_H
#define ANVIL_SERVING_FLEETBOOK_H

#include "Serving/CustomerBudget.h"
#include "Serving/EngineKeeper.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// What runs on one target for one VM.
struct RunningShare {
  int Requests_ = 0;
  /// The tokens that these requests take in the target's memory.
  std::int64_t Tokens_ = 0;
  /// Requests by adapter.
  std::map<std::string, int> Adapters_;
};

/// What an engine's owner says it holds.
struct EngineHoldings {
  std::int64_t Incarnation_ = 0;
  bool HasModel_ = false;
  /// Version and the time from now until it is usable, by adapter.
  struct Item {
    std::uint64_t Version_ = 0;
    Duration ReadyIn_{};
  };
  std::map<std::string, Item> Adapters_;
};

/// One VM's news for the others.
struct VmNews {
  std::string Vm_;
  std::string Incarnation_;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Revision_ = 0;
  bool Leaving_ = false;
  SpentTokens Spent_;
  /// For how long this VM's budget has seen what is spent, and the balances,
  /// which are told only while a VM that has just started is heard.
  Duration BudgetSeen_{};
  TokenBalances Balances_;
  std::map<std::string, RunningShare> Running_;
  /// Prompt tokens sent to each target since the news before.
  std::map<std::string, std::int64_t> PromptTokens_;
  std::map<std::string, EngineHoldings> Holdings_;
  /// Requests that were running on a target's incarnation when it crashed.
  struct Crash {
    std::string Digest_;
    std::string Target_;
    std::int64_t Incarnation_ = 0;
  };
  std::vector<Crash> Crashes_;
  /// Targets seen leaving, with their incarnation.
  std::map<std::string, std::int64_t> Leavers_;
};

/// An adapter on an engine as this VM believes it.
struct AdapterBelief {
  std::uint64_t Version_ = 0;
  TimePoint ReadyAt_{};
};

/// What an engine holds as this VM believes it.
struct EngineBelief {
  std::int64_t Incarnation_ = 0;
  bool HasModel_ = false;
  std::map<std::string, AdapterBelief> Adapters_;
  /// Adapters that it held lately, which load fast, and when it last did.
  std::map<std::string, TimePoint> Warm_;
  /// When the owner said so; the default when only the engine's own entry did.
  TimePoint ToldAt_{};
};

/// Joins what the other VMs tell: what runs where, and what engines hold.
class FleetBook {
public:
  /// For how long a VM's news count without new ones.
  static constexpr Duration NewsTime = std::chrono::milliseconds(1500);

  /// For how long the owner's word goes before the engine's own entry, which
  /// is written at a period of about a second.
  static constexpr Duration OwnerWordTime = std::chrono::milliseconds(3000);

  /// Takes in a VM's news. False when they are older than known ones.
  bool apply(const VmNews &News, TimePoint Now);

  /// Takes in what an engine's owner says that it holds.
  void applyHoldings(const std::string &Engine, const EngineHoldings &Told,
                     TimePoint Now);

  /// Takes in an engine's own entry.
  void applyEntry(const RegisteredTarget &Entry, const std::string &Model,
                  TimePoint Now);

  /// Drops the running requests of VMs that have fallen silent.
  void expire(TimePoint Now);

  /// What the other VMs run on a target, without the adapters.
  RunningShare othersOn(const std::string &Target) const;

  /// The requests that the other VMs run with an adapter, on all targets.
  int othersUsing(const std::string &Adapter) const;

  /// What an engine holds, or null when nothing is known.
  const EngineBelief *engine(const std::string &Engine) const;

  /// An engine refused a request for an adapter that it was believed to hold.
  /// One that should have been ready just before is expected a little later.
  /// True when the belief was wrong otherwise.
  bool noteMissing(const std::string &Engine, const std::string &Adapter,
                   TimePoint Now);

  /// The engines that are known.
  std::size_t engineCount() const { return Engines_.size(); }

  /// Adapters in transit to all engines.
  int inTransit(TimePoint Now) const;

  /// The other VMs that were heard within `NewsTime`.
  std::size_t heardVms(TimePoint Now) const;

  /// Whether a VM was heard within `NewsTime` and isn't about to stop.
  bool isServing(const std::string &Vm, TimePoint Now) const;

private:
  static void noteHeld(EngineBelief &Belief, TimePoint Now);
  void addRunning(const VmNews &News, int Sign);

  struct HeardVm {
    VmNews News_;
    TimePoint At_{};
    /// Whether its running requests are in the sums.
    bool Counted_ = false;
  };

  std::map<std::string, HeardVm> Vms_;
  /// Sums over the VMs that are heard, by target and by adapter.
  std::map<std::string, RunningShare> OnTarget_;
  std::map<std::string, int> WithAdapter_;
  std::map<std::string, EngineBelief> Engines_;
  /// Adapters that were not ready when expected, by engine and name.
  std::map<std::pair<std::string, std::string>, TimePoint> NotBefore_;
};

} // namespace anvil

#endif // ANVIL_SERVING_FLEETBOOK_H
