#ifndef ANVIL_TESTS_ROUTING_PROMPTPARTLOAD_H
#define ANVIL_TESTS_ROUTING_PROMPTPARTLOAD_H

#include "Routing/PromptPartGuard.h"

#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace anvil {

/// A load on a fleet of guards in which some prompts crash their targets.
struct PromptPartPlan {
  std::size_t Vms_ = 8;
  std::size_t Targets_ = 18;
  double SoundPerSecond_ = 90;
  double DeadlyPerSecond_ = 4.5;
  /// Whether the part that crashes targets is the first of its prompts instead
  /// of one after parts that sound prompts have too.
  bool IsDeadlyFirst_ = false;
  /// Whether the part worked before the load begins to crash targets.
  bool WorkedBefore_ = false;
  /// Whether no prompt was served before the first deadly one.
  bool IsColdStart_ = false;
  /// The number of VMs that hear nothing from the others from 2 to 8 s after
  /// the first deadly request, and of those that start again at 6 s.
  std::size_t CutVms_ = 0;
  std::size_t RestartedVms_ = 0;
  double LostReports_ = 0.05;
  Duration ReportPeriod_ = std::chrono::milliseconds(200);
  unsigned Seed_ = 1;
};

/// What callers got.
struct PromptPartResult {
  int Crashes_ = 0;
  /// Deadly requests that VMs in touch sent to targets later than the bound
  /// after the fifth crash.
  int LateDeadly_ = 0;
  int Sound_ = 0;
  int SoundRefused_ = 0;
  /// Sound requests in the last five seconds, and those that were refused.
  int LastSound_ = 0;
  int LastSoundRefused_ = 0;
};

/// Plays 20 s of the load, and up to 5 s of sound requests before it.
class PromptPartLoad {
public:
  explicit PromptPartLoad(PromptPartPlan Plan);
  PromptPartResult run();

private:
  struct Target {
    int Life_ = 0;
    TimePoint UpFrom_{};
  };
  struct Vm {
    PromptPartGuard Guard_{PromptPartOptions{}};
    /// Since when it runs and hears the others.
    TimePoint InTouchSince_{};
  };
  struct Request {
    std::size_t Vm_ = 0;
    std::size_t Target_ = 0;
    int Life_ = 0;
    std::vector<PartId> Parts_;
    TimePoint SentAt_{};
  };

  void at(TimePoint Time, std::function<void()> Step) {
    Steps_.emplace(Time, std::move(Step));
  }
  void sendSound();
  void sendDeadly();
  bool place(Request &Sent);
  void crash(std::size_t Index);
  void report(std::size_t Index);
  bool isUp(const Request &Of) const;
  bool isCut(std::size_t Index) const;
  Duration nextArrival(double PerSecond);
  TargetInstance instanceOf(const Request &Of) const;

  PromptPartPlan Plan_;
  std::mt19937 Random_;
  TimePoint Now_;
  TimePoint DeadlyFrom_;
  TimePoint End_;
  std::multimap<TimePoint, std::function<void()>> Steps_;
  std::vector<Target> Targets_;
  std::vector<Vm> Vms_;
  /// Running requests by target.
  std::map<std::size_t, std::vector<Request>> Running_;
  std::vector<TimePoint> CrashTimes_;
  PromptPartResult Result_;
};

} // namespace anvil

#endif // ANVIL_TESTS_ROUTING_PROMPTPARTLOAD_H
