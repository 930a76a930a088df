#ifndef ANVIL_TESTS_INTEGRATION_FLEET_H
#define ANVIL_TESTS_INTEGRATION_FLEET_H

#include "Integration/CallerConnection.h"

#include <atomic>
#include <memory>
#include <thread>

namespace anvil {

/// Within this time the promises that say "within seconds" must hold.
inline constexpr Millis PromiseBound{5000};

/// The time after which a fleet that isn't settled counts as broken.
inline constexpr Millis SettleBound{20000};

/// Longer than every lease that a VM may hold.
inline constexpr Millis PauseBeyondLease{8000};

/// A VM or an engine and its data centre.
struct Placed {
  std::string Name_;
  std::string DataCentre_;
};

/// What a test starts.
struct FleetPlan {
  std::vector<Placed> Vms_{{"vm-1", "north"}, {"vm-2", "north"}};
  std::vector<Placed> Engines_{{"engine-1", "north"}, {"engine-2", "north"}};
  std::vector<std::string> EngineOptions_;
  /// Fields merged into each target, such as `adapter_slots`.
  nlohmann::json TargetFields_ = nlohmann::json::object();
  /// Objects beside, or in place of, those of the standard set.
  nlohmann::json Objects_ = nlohmann::json::array();
  /// Merged into each VM's settings.
  nlohmann::json Settings_ = nlohmann::json::object();
};

/// A whole system of real processes: platform, engines, one plain service,
/// VMs, and a fault proxy on every link between them. Links are named
/// `vm>platform`, `vm>peer` and `target`.
class Fleet {
public:
  explicit Fleet(FleetPlan Plan = {});
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  Process &at(const std::string &Name) { return *Processes_.at(Name); }

  /// Starts a VM anew under its name.
  void startVm(const std::string &Name);

  /// Sets the fault of a link, for instance `cut` or `pass`.
  void link(const std::string &Name, const std::string &Mode,
            std::int64_t DelayMs = 0);

  /// Sets the fault of all links between a data centre and the other VMs.
  void dataCentreLinks(const std::string &DataCentre, const std::string &Mode);

  /// Sets the fault of the links from all VMs, or from one data centre's, to
  /// the platform.
  void platformLinks(const std::string &Mode,
                     const std::string &DataCentre = "");

  /// Changes a stand-in's behaviour.
  void control(const std::string &Standin, const nlohmann::json &Change);

  /// What a stand-in saw: all events, or those of one name.
  nlohmann::json records(const std::string &Standin,
                         const std::string &Event = "");

  /// The same over all engines.
  nlohmann::json engineRecords(const std::string &Event);

  /// Publishes an object, or a list of them, through a VM.
  Answer apply(const std::string &Vm, const nlohmann::json &Objects,
               const std::string &SubmitId = "");

  std::uint64_t revision(const std::string &Vm);

  /// Whether all named VMs have that revision within the bound.
  bool reached(std::uint64_t Revision, const std::vector<std::string> &Vms,
               Millis Bound);

  std::vector<std::string> vmNames() const;

  /// Sends a request to a VM's caller port.
  Answer call(const std::string &Vm, const Call &Request,
              Millis Bound = Millis(20000));

  const nlohmann::json &objects() const { return Set_; }

private:
  void startStandins();
  void startProxy();
  void announceVms();
  void publishSet();
  void put(const nlohmann::json &Object);

  FleetPlan Plan_;
  std::string Directory_;
  std::map<std::string, std::unique_ptr<Process>> Processes_;
  nlohmann::json Set_ = nlohmann::json::array();
  int NextSubmit_ = 0;
};

/// A request and the VM that it goes to.
struct Sent {
  std::string Vm_;
  Call Request_;
};

/// Sends all requests at once and gives their answers in order.
std::vector<Answer> callAll(Fleet &System, const std::vector<Sent> &Requests,
                            Millis Bound = Millis(20000));

/// Calls each VM for both customers until it serves them, so that it knows them
/// before a test's faults begin.
void warmUp(Fleet &System);

/// Begins a stream through a VM, sending it again while it is refused. Throws
/// when none has begun within the settle bound.
std::unique_ptr<CallerConnection> beginStream(Fleet &System,
                                              const std::string &Vm,
                                              const std::string &Model,
                                              int Tokens);

/// Runs something again and again beside the test, until destroyed.
class Background {
public:
  explicit Background(std::function<void()> Step);
  ~Background();

private:
  std::atomic<bool> Stop_ = false;
  std::thread Thread_;
};

/// The refusals that say `not run` although a stand-in ran the request.
std::vector<std::string> untrueRefusals(Fleet &System,
                                        const std::vector<Answer> &Answers);

/// A completion of an adapter for the holder of a key.
Call completion(const std::string &Model, const std::string &Prompt,
                int MaxTokens, bool Stream = false,
                const std::string &Secret = "secret-large");

/// A booking that may not be repeated.
Call booking(const std::string &IdempotencyKey, const std::string &Body,
             const std::string &Secret = "secret-large");

/// A key object of the standard set.
nlohmann::json keyObject(const std::string &Customer, bool Withdrawn = false);

/// An object with its kind, name and fields.
nlohmann::json object(const std::string &Kind, const std::string &Name,
                      nlohmann::json Fields = nlohmann::json::object());

/// The body of a whole answer of a stand-in engine.
std::string words(const std::string &Model, int Count);

/// The words of a stream's events put together.
std::string streamedText(const std::string &Body);

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_FLEET_H
