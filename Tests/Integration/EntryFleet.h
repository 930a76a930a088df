#ifndef ANVIL_TESTS_INTEGRATION_ENTRYFLEET_H
#define ANVIL_TESTS_INTEGRATION_ENTRYFLEET_H

#include "Integration/CallerConnection.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// What the smaller machines of the users' deployments let a VM use.
inline const ProcessLimits MachineLimits{260, 4100};

/// Options of an `EntryFleet`.
struct EntryFleetPlan {
  /// VMs are named `vm-1`, `vm-2` and so on.
  int Vms_ = 2;
  /// The VMs' stop limit in seconds (`bounds.stop_s`); absent means the
  /// program's default.
  std::optional<double> StopSeconds_;
  /// The bound after which a revision must be in force
  /// (`bounds.config_apply_ms`); absent means the program's default.
  std::optional<Millis> ConfigApply_;
  /// Time limit and target latency of every route.
  Millis Timeout_{3000};
  Millis LatencyTarget_{800};
  /// The slots that engines register.
  int EngineSlots_ = 8;
  /// The cold time and the requests per second of cold targets of the plain
  /// service; absent if it has no cold starts.
  std::optional<std::pair<double, double>> PlainColdStart_;
  /// Whether the store names its era. It then has a copy from before the VMs
  /// started.
  bool HasStoreEra_ = false;
  /// What each VM may use.
  ProcessLimits VmLimits_;
  /// Whether VMs listen for callers at an address of their own, where no other
  /// process takes their port between two of their lives.
  bool OwnCallerAddresses_ = false;
  /// Whether the VM and the targets whose names end in 2 are in a data centre
  /// of their own, `south`. The others are in `north`.
  bool TwoDataCentres_ = false;
  /// What the framing of each answer of a target is drawn from: in chunks, with
  /// a length, or ending with the connection. Absent if streams come in chunks
  /// and other answers with a length.
  std::optional<std::uint64_t> FramingSeed_;
};

/// A test system of real processes in entry mode: `anvild` entry VMs, two
/// engines, two plain services and a stand-in for the platform's row store.
/// Writes the registration rows that targets would write themselves.
class EntryFleet {
public:
  explicit EntryFleet(EntryFleetPlan Plan = {});
  ~EntryFleet();
  EntryFleet(const EntryFleet &) = delete;
  EntryFleet &operator=(const EntryFleet &) = delete;

  Process &at(const std::string &Name) { return *Processes_.at(Name); }

  /// Sends a request through a VM with the customer's valid key.
  CallerReply
  call(const std::string &Vm, const std::string &Path,
       std::vector<std::pair<std::string, std::string>> Headers = {});

  /// The request that `call` sends: the given headers, with defaults for the
  /// ones that are missing.
  CallerRequest
  request(const std::string &Path,
          std::vector<std::pair<std::string, std::string>> Headers) const;

  std::uint16_t callerPort(const std::string &Vm) {
    return at(Vm).port("caller");
  }

  /// The address at which a VM listens for callers.
  std::string callerAddress(const std::string &Vm) const;

  const std::vector<std::string> &vms() const { return Vms_; }

  /// Sends a change to a stand-in's `/control` endpoint.
  void control(const std::string &Standin, const nlohmann::json &Change);

  /// Sets the fault mode of a VM's link to the store: `cut`, or `pass` to
  /// restore it.
  void setStoreLink(const std::string &Vm, const std::string &Mode,
                    Millis Delay = Millis(0));

  /// Limits the rate of a VM's link to the store; zero for no limit.
  void setStorePace(const std::string &Vm, std::int64_t BytesPerSecond);

  /// Connects a VM to what answers in the store's place at a port of the
  /// loopback address; without one, to the store again. Open connections are
  /// reset.
  void replaceStore(const std::string &Vm,
                    std::optional<std::uint16_t> Port = std::nullopt);

  /// Writes the configuration row; `Keys` are the API keys of its only customer
  /// and `Added` the paths of further routes to the plain service.
  void configure(std::uint64_t Revision, const std::vector<std::string> &Keys,
                 const std::vector<std::string> &Added = {});

  /// Writes a target's registration row.
  void writeTargetEntry(const std::string &Target, const std::string &State,
                        std::int64_t Incarnation = 1700000000000,
                        std::optional<Millis> ColdRemaining = std::nullopt);

  /// Writes the registration row of a ready target that runs a version of its
  /// software. Later rows of the target name this version too.
  void writeSoftwareVersion(const std::string &Target,
                            const std::string &Version);

  /// Removes a target's registration row.
  void removeTargetEntry(const std::string &Target);

  /// Writes any bytes as a target's registration row, as another writer may.
  void writeTargetBytes(const std::string &Target, const std::string &Bytes);

  /// Registers a target that the test itself runs at a port of the loopback
  /// address, and lets the other targets of its service leave. An engine's name
  /// starts with `engine`, a plain service's with `plain`.
  void replaceTargets(const std::string &Id, std::uint16_t Port);

  /// Starts a target whose answers have neither a length nor chunks, with
  /// further options of the stand-in, and registers it. `Born` is the
  /// incarnation that it reports; its entry names another one unless that is
  /// the default.
  void startUnframedTarget(const std::string &Id,
                           const std::vector<std::string> &Options,
                           std::int64_t Born = 1700000000000);

  /// Registers a target that the test itself runs.
  void registerTarget(const std::string &Id, std::uint16_t Port);

  /// Names a version of an adapter of the model `base`.
  void nameVersion(const std::string &Adapter, std::uint64_t Version);

  /// The VM that owns an engine by its row in the store; empty if none does.
  std::string ownerOf(const std::string &Engine);

  /// Writes or removes the request to evacuate a data centre.
  void setEvacuated(const std::string &DataCentre, bool IsRequested);

  /// The data centre of a VM or target.
  std::string dataCentreOf(const std::string &Name) const;

  /// Starts a target that has ended again, as a new incarnation.
  void restartTarget(const std::string &Target, std::int64_t Incarnation);

  /// Ends a target's process and starts it again at its address, with another
  /// version of its software. Its entry is written by `writeTargetEntry` only.
  void replaceSoftware(const std::string &Target, const std::string &Version,
                       std::int64_t Incarnation);

  /// Kills VMs at the same time with SIGKILL and starts them again.
  void restartTogether(const std::vector<std::string> &Vms);
  void restart(const std::string &Vm) { restartTogether({Vm}); }

  /// Starts a VM that has ended again, with the ports that it had.
  void startAgain(const std::string &Vm);

  /// Like `startAgain` for a VM that may still run. Returns that process.
  std::unique_ptr<Process> startBeside(const std::string &Vm);

  /// The events with this name that all targets recorded in all their lives,
  /// also if they were killed.
  std::vector<nlohmann::json> keptRecords(const std::string &Event) const;

  /// Copies the settings, logs and records of all processes to a folder.
  void keepFiles(const std::string &Folder) const;

  /// The events with this name that all targets recorded.
  std::vector<nlohmann::json> records(const std::string &Event);

  /// How often targets ran a request.
  int runCount(const std::string &RequestId);

  /// The output of `anvilctl explain` for a request, from the logs of all VMs.
  std::string explain(const std::string &RequestId);

private:
  void start(const std::string &Name, std::vector<std::string> Arguments);
  void startTarget(const std::string &Name,
                   std::int64_t Incarnation = 1700000000000);
  /// Starts a VM; the system chooses the ports that are zero.
  void startVm(const std::string &Name, std::uint16_t PeerPort = 0,
               std::uint16_t CallerPort = 0);
  void writeTargetRow(const std::string &Target, std::uint16_t Port,
                      const std::string &State, std::int64_t Incarnation,
                      std::optional<Millis> ColdRemaining);
  void writeRow(const std::string &Table, const std::string &Key,
                const nlohmann::json &Value);

  EntryFleetPlan Plan_;
  std::string Directory_;
  std::vector<std::string> Vms_;
  /// How many targets have been started.
  std::uint64_t TargetStarts_ = 0;
  /// The software versions of targets; the first one if there is none.
  std::map<std::string, std::string> SoftwareVersions_;
  std::map<std::string, std::unique_ptr<Process>> Processes_;
};

/// The events of a stream that the stand-ins send, from one number to another.
std::string standinEvents(int First, int Last);

/// The names of the targets that an `EntryFleet` starts.
inline const std::vector<std::string> EntryTargets{"engine-1", "engine-2",
                                                   "plain-1", "plain-2"};

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_ENTRYFLEET_H
