#ifndef ANVIL_TESTS_INTEGRATION_PROCESS_H
#define ANVIL_TESTS_INTEGRATION_PROCESS_H

#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace anvil {

using Millis = std::chrono::milliseconds;

/// Polls a condition until it holds or `Timeout` has passed; returns whether it
/// held.
bool eventually(const std::function<bool()> &Condition, Millis Timeout);

/// What a program may use; absent values are not limited.
struct ProcessLimits {
  /// Address space, which also counts memory that is reserved but not used.
  std::optional<std::size_t> MemoryMb_;
  std::optional<std::size_t> Descriptors_;
};

/// How a program starts.
struct ProcessStart {
  /// Whether the constructor waits for the ready file.
  bool AwaitReady_ = true;
  /// Whether the program has no standard input, output and error.
  bool WithoutStandardFiles_ = false;
  /// Where the output goes in place of the log file.
  std::optional<int> Output_;
};

/// A program that a test started, with its log file. The destructor kills it by
/// its process id; the kernel kills it if the test program dies first.
class Process {
public:
  /// Starts the program and waits until it is ready.
  Process(const std::string &Program, std::vector<std::string> Arguments,
          const std::string &WorkDirectory, std::string Name,
          ProcessLimits Limits = {}, ProcessStart Options = {});
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  const std::string &name() const { return Name_; }

  /// Waits until the ready file exists. Throws if it does not appear in time.
  void awaitReady();

  /// Whether the program has begun to handle or hold back SIGHUP.
  bool ownsSignals() const;

  /// What a file descriptor of the process leads to.
  std::string descriptorTarget(int Descriptor) const;

  /// A port from the ready file.
  std::uint16_t port(const std::string &PortName = "port") const;

  void signal(int Number) const;

  /// Sends SIGKILL and waits for the exit.
  void kill();

  /// Waits for the process to exit. Returns its exit status, the negated number
  /// of the signal that ended it, or nothing if it still runs after `Timeout`.
  std::optional<int> exitStatus(Millis Timeout);

  /// Whether it has exited although the test did not stop it.
  bool exitedUnexpectedly();

  /// How it exited: `status N` or `signal N`, or `running`.
  std::string exitDescription();

  std::string log() const;

  /// Its peak resident memory in MB; zero once it has exited.
  double peakMemoryMb() const;

private:
  bool poll();
  std::string statusField(const std::string &FieldName) const;

  std::string Name_;
  std::string LogPath_;
  std::string ReadyPath_;
  pid_t Pid_ = -1;
  bool StopRequested_ = false;
  std::optional<int> Status_;
  nlohmann::json Ports_;
};

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_PROCESS_H
