#include "Integration/Process.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace anvil {

/// The interval at which conditions are checked.
static constexpr Millis PollInterval{10};

/// How long a program may take to write its ready file.
static constexpr Millis ReadyTimeout{20000};

bool eventually(const std::function<bool()> &Condition, Millis Timeout) {
  auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return Condition();
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

static std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// The command from `ANVIL_TEST_WRAPPER` that the daemon runs under, or an
/// empty text.
static std::string wrapperCommand(const std::string &Program) {
  const char *Wrapper = std::getenv("ANVIL_TEST_WRAPPER");
  bool IsDaemon = Program.ends_with("anvild");
  return Wrapper && IsDaemon ? Wrapper : "";
}

static void setLimit(int Resource, std::optional<std::size_t> Value) {
  if (!Value)
    return;
  rlimit Limit{*Value, *Value};
  ::setrlimit(static_cast<__rlimit_resource>(Resource), &Limit);
}

Process::Process(const std::string &Program, std::vector<std::string> Arguments,
                 const std::string &WorkDirectory, std::string Name,
                 ProcessLimits Limits, ProcessStart Options)
    : Name_(std::move(Name)), LogPath_(WorkDirectory + "/" + Name_ + ".log"),
      ReadyPath_(WorkDirectory + "/" + Name_ + ".ready") {
  ::unlink(ReadyPath_.c_str());
  Arguments.insert(Arguments.begin(), Program);
  Arguments.insert(Arguments.end(), {"--ready-file", ReadyPath_});
  // For instance a memory error checker, whose findings appear in the log.
  std::istringstream Wrapper(wrapperCommand(Program));
  Arguments.insert(Arguments.begin(),
                   std::istream_iterator<std::string>(Wrapper),
                   std::istream_iterator<std::string>());
  std::vector<char *> Pointers;
  for (std::string &Argument : Arguments)
    Pointers.push_back(Argument.data());
  Pointers.push_back(nullptr);
  int Log = ::open(LogPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  Pid_ = ::fork();
  if (Pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(Options.Output_.value_or(Log), STDOUT_FILENO);
    ::dup2(Log, STDERR_FILENO);
    if (Options.WithoutStandardFiles_)
      for (int Standard : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
        ::close(Standard);
    constexpr std::size_t BytesPerMb = 1024 * 1024;
    if (Limits.MemoryMb_)
      setLimit(RLIMIT_AS, *Limits.MemoryMb_ * BytesPerMb);
    setLimit(RLIMIT_NOFILE, Limits.Descriptors_);
    ::execvp(Pointers.front(), Pointers.data());
    ::_exit(127);
  }
  ::close(Log);
  if (Options.AwaitReady_)
    awaitReady();
}

void Process::awaitReady() {
  auto IsReady = [&] { return ::access(ReadyPath_.c_str(), R_OK) == 0; };
  eventually([&] { return IsReady() || poll(); }, ReadyTimeout);
  if (!IsReady()) {
    kill();
    throw std::runtime_error(Name_ + " did not start: " + log());
  }
  Ports_ = nlohmann::json::parse(readFile(ReadyPath_));
}

Process::~Process() { kill(); }

std::uint16_t Process::port(const std::string &PortName) const {
  return Ports_.at(PortName).get<std::uint16_t>();
}

bool Process::poll() {
  int WaitStatus = 0;
  if (!Status_ && ::waitpid(Pid_, &WaitStatus, WNOHANG) == Pid_)
    Status_ =
        WIFEXITED(WaitStatus) ? WEXITSTATUS(WaitStatus) : -WTERMSIG(WaitStatus);
  return Status_.has_value();
}

void Process::signal(int Number) const {
  if (!Status_)
    ::kill(Pid_, Number);
}

void Process::kill() {
  StopRequested_ = true;
  if (poll())
    return;
  signal(SIGKILL);
  int WaitStatus = 0;
  ::waitpid(Pid_, &WaitStatus, 0);
  Status_ = -SIGKILL;
}

std::optional<int> Process::exitStatus(Millis Timeout) {
  StopRequested_ = true;
  eventually([this] { return poll(); }, Timeout);
  return Status_;
}

bool Process::exitedUnexpectedly() { return !StopRequested_ && poll(); }

std::string Process::exitDescription() {
  if (!poll())
    return "running";
  return *Status_ < 0 ? "signal " + std::to_string(-*Status_)
                      : "status " + std::to_string(*Status_);
}

std::string Process::statusField(const std::string &FieldName) const {
  std::ifstream StatusFile("/proc/" + std::to_string(Pid_) + "/status");
  std::string Line;
  while (std::getline(StatusFile, Line))
    if (Line.starts_with(FieldName + ":"))
      return Line.substr(FieldName.size() + 1);
  return "0";
}

double Process::peakMemoryMb() const {
  return std::stod(statusField("VmHWM")) / 1024;
}

bool Process::ownsSignals() const {
  std::uint64_t Owned = 0;
  for (const char *Mask : {"SigBlk", "SigCgt"})
    Owned |= std::stoull(statusField(Mask), nullptr, 16);
  return (Owned & (1U << (SIGHUP - 1))) != 0;
}

std::string Process::descriptorTarget(int Descriptor) const {
  std::error_code Ignored;
  return std::filesystem::read_symlink("/proc/" + std::to_string(Pid_) +
                                           "/fd/" + std::to_string(Descriptor),
                                       Ignored);
}

std::string Process::log() const { return readFile(LogPath_); }

} // namespace anvil
