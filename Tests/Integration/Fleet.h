#ifndef ANVIL_TESTS_INTEGRATION_FLEET_H
#define ANVIL_TESTS_INTEGRATION_FLEET_H

#include "Integration/CallerConnection.h"

#include <atomic>
#include <memory>
#include <thread>

namespace anvil {

/// The limit for guarantees that hold "within seconds".
inline constexpr Millis GuaranteeTimeout{5000};

/// How long a fleet may take to reach a steady state.
inline constexpr Millis SettleTimeout{20000};

/// Longer than any lease of a VM.
inline constexpr Millis PauseBeyondLease{8000};

/// The name of a VM or an engine and its data centre.
struct FleetMember {
  std::string Name_;
  std::string DataCentre_;
};

/// Options of a `Fleet`.
struct FleetPlan {
  std::vector<FleetMember> Vms_{{"vm-1", "north"}, {"vm-2", "north"}};
  std::vector<FleetMember> Engines_{{"engine-1", "north"},
                                    {"engine-2", "north"}};
  std::vector<std::string> EngineOptions_;
  /// Fields merged into each target object, such as `adapter_slots`.
  nlohmann::json TargetFields_ = nlohmann::json::object();
  /// Objects merged into the standard configuration, or added to it.
  nlohmann::json Objects_ = nlohmann::json::array();
  /// Merged into each VM's settings.
  nlohmann::json Settings_ = nlohmann::json::object();
};

/// A test system of real processes: `anvild` VMs, stand-ins for the platform,
/// the engines and one plain service, and a fault proxy on every link between
/// them. Links are named `vm>platform`, `vm>peer` and `target`.
class Fleet {
public:
  explicit Fleet(FleetPlan Plan = {});
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  Process &at(const std::string &Name) { return *Processes_.at(Name); }

  /// Starts a VM, or starts it again after it was killed.
  void startVm(const std::string &Name);

  /// Sets the fault mode of a link, for instance `cut` or `pass`.
  void setLink(const std::string &Name, const std::string &Mode,
               std::int64_t DelayMs = 0);

  /// Sets the fault mode of all links between a data centre and the other VMs.
  void setDataCentreLinks(const std::string &DataCentre,
                          const std::string &Mode);

  /// Sets the fault mode of the links to the platform, from all VMs or from
  /// those of one data centre.
  void setPlatformLinks(const std::string &Mode,
                        const std::string &DataCentre = "");

  /// Sends a change to a stand-in's `/control` endpoint.
  void control(const std::string &Standin, const nlohmann::json &Change);

  /// The events that a stand-in recorded: all, or those with one name.
  nlohmann::json records(const std::string &Standin,
                         const std::string &Event = "");

  /// The events with this name that all engines recorded.
  nlohmann::json engineRecords(const std::string &Event);

  /// Publishes an object or a list of objects through a VM.
  CallerReply apply(const std::string &Vm, const nlohmann::json &Objects,
                    const std::string &SubmitId = "");

  std::uint64_t revision(const std::string &Vm);

  /// Waits until all named VMs have at least this revision; returns whether
  /// they do within `Timeout`.
  bool waitForRevision(std::uint64_t Revision,
                       const std::vector<std::string> &Vms, Millis Timeout);

  std::vector<std::string> vmNames() const;

  /// Sends a request to a VM's caller port.
  CallerReply call(const std::string &Vm, const CallerRequest &Request,
                   Millis Timeout = Millis(20000));

  const nlohmann::json &objects() const { return Objects_; }

private:
  void startStandins();
  void startProxy();
  void publishVmList();
  void publishObjects();
  void putObject(const nlohmann::json &Object);

  FleetPlan Plan_;
  std::string Directory_;
  std::map<std::string, std::unique_ptr<Process>> Processes_;
  nlohmann::json Objects_ = nlohmann::json::array();
  int NextSubmit_ = 0;
};

/// A request and the VM that it is sent to.
struct VmRequest {
  std::string Vm_;
  CallerRequest Request_;
};

/// Sends all requests concurrently and returns their replies in order.
std::vector<CallerReply> callAll(Fleet &System,
                                 const std::vector<VmRequest> &Requests,
                                 Millis Timeout = Millis(20000));

/// Sends requests of both customers to each VM until it serves them, so that
/// it has their state before a test injects faults.
void warmUp(Fleet &System);

/// Starts a stream through a VM and retries while it is refused. Throws if none
/// has started within `SettleTimeout`.
std::unique_ptr<CallerConnection> beginStream(Fleet &System,
                                              const std::string &Vm,
                                              const std::string &Model,
                                              int Tokens);

/// Calls a function repeatedly on a thread of its own until destroyed.
class BackgroundLoop {
public:
  explicit BackgroundLoop(std::function<void()> Step);
  ~BackgroundLoop();

private:
  std::atomic<bool> Stop_ = false;
  std::thread Thread_;
};

/// The bodies of replies that report the request as not run although a stand-in
/// ran it.
std::vector<std::string> falseRefusals(Fleet &System,
                                       const std::vector<CallerReply> &Replies);

/// A completion request for an adapter with the given key.
CallerRequest completion(const std::string &Model, const std::string &Prompt,
                         int MaxTokens, bool Stream = false,
                         const std::string &Secret = "secret-large");

/// A booking request, which may not be repeated.
CallerRequest booking(const std::string &IdempotencyKey,
                      const std::string &Body,
                      const std::string &Secret = "secret-large");

/// A key object of the standard configuration.
nlohmann::json keyObject(const std::string &Customer, bool Withdrawn = false);

/// A configuration object with this kind, name and fields.
nlohmann::json object(const std::string &Kind, const std::string &Name,
                      nlohmann::json Fields = nlohmann::json::object());

/// The text of a complete reply of a stand-in engine.
std::string expectedText(const std::string &Model, int Count);

/// The concatenated text of a stream's events.
std::string streamedText(const std::string &Body);

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_FLEET_H
