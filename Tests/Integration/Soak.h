#ifndef ANVIL_TESTS_INTEGRATION_SOAK_H
#define ANVIL_TESTS_INTEGRATION_SOAK_H

#include "Integration/EntryFleet.h"
#include "Integration/SoakCallers.h"
#include "Integration/SoakTimeline.h"
#include "Standins/EndlessTarget.h"

#include <atomic>
#include <latch>
#include <map>
#include <memory>
#include <random>

namespace anvil {

/// A soak of real programs: carries out events that overlap while callers send
/// requests, and then judges what was seen.
class Soak {
public:
  explicit Soak(SoakOptions Options);

  /// Runs the soak. Returns the violations of rules, with what is needed to
  /// trace them; none if all rules were kept.
  std::vector<std::string> run();

  /// A line about how much was sent and what became of it.
  std::string summary() const { return Summary_; }

private:
  /// A VM's process in the hands of its thread.
  struct VmLife {
    enum class State { Runs, Stops, IsKilled } State_ = State::Runs;
    TimePoint StoppedAt_;
    Duration Frozen_{0};
    TimePoint FrozenAt_;
    double PeakMb_ = 0;
  };

  /// Checks that a VM serves all that is always allowed.
  void checkRecovered(const std::string &Vm);
  std::vector<SoakEvent> eventsOf(const std::string &Vm) const;
  void runVm(const std::string &Vm);
  void apply(const std::string &Vm, const SoakEvent &Event, VmLife &Life);
  /// Handles the end of a VM's process, if it has ended. Returns false if it
  /// could not be started again.
  bool renew(const std::string &Vm, VmLife &Life);
  void checkExit(const std::string &Vm, const VmLife &Life, int Status);
  bool startVm(const std::string &Vm, bool IsBeside);
  void stopVm(const std::string &Vm);

  void runChanges();
  void applyChange(const SoakEvent &Event);
  void applyToTarget(const SoakEvent &Event);
  void setPace(const std::string &Target);
  void writeConfig();
  void sendEndlessly();

  std::vector<std::string> judge(const std::vector<SoakRequest> &Requests);

  SoakOptions Options_;
  EntryFleetPlan Plan_;
  std::vector<SoakEvent> Events_;
  std::mt19937_64 Random_;
  EntryFleet System_;
  SoakTimeline Timeline_;
  TimePoint Start_;
  EndlessTarget Endless_;
  std::map<std::string, std::uint16_t> CallerPorts_;
  std::map<std::string, std::int64_t> Incarnations_;
  std::uint64_t Revision_ = 1;
  std::uint64_t AdapterVersion_ = 1;
  bool HasSpareKey_ = true;
  bool HasAddedRoute_ = false;
  std::atomic<bool> Ending_ = false;
  /// VMs that have been started again after their last event.
  std::atomic<int> CalmVms_ = 0;
  std::string Summary_;
};

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_SOAK_H
