#ifndef ANVIL_TESTS_INTEGRATION_SOAKCALLERS_H
#define ANVIL_TESTS_INTEGRATION_SOAKCALLERS_H

#include "Integration/EntryFleet.h"
#include "Integration/SoakPlan.h"
#include "Kernel/Clock.h"

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace anvil {

/// The kinds of requests that callers of a soak send.
enum class SoakKind {
  Safe,
  Unsafe,
  Stream,
  AdapterStream,
  ResumableStream,
  /// To a route that comes and goes.
  AddedRoute,
  /// With a key that is withdrawn and given back.
  SpareKey
};

bool isStream(SoakKind Kind);

/// A request of a soak and what became of it.
struct SoakRequest {
  std::string Id_;
  SoakKind Kind_ = SoakKind::Safe;
  std::string Vm_;
  std::string Path_;
  TimePoint SentAt_;
  TimePoint EndedAt_;
  int Status_ = 0;
  bool IsComplete_ = false;
  bool IsClosed_ = false;
  /// The target whose seal the answer bears.
  std::string Target_;
  /// What is wrong with the answer itself, if anything.
  std::string Fault_;
};

/// Callers on a thread each, which send request after request on one open
/// connection to a VM until it is closed, and then open another one.
class SoakCallers {
public:
  SoakCallers(EntryFleet &System, const SoakOptions &Options);
  ~SoakCallers() { stop(); }
  SoakCallers(const SoakCallers &) = delete;
  SoakCallers &operator=(const SoakCallers &) = delete;

  void stop();

  /// The requests that have ended.
  std::vector<SoakRequest> requests() const;

private:
  struct Listener {
    std::string Vm_;
    std::string Address_;
    std::uint16_t Port_ = 0;
  };

  /// A caller's random numbers, and the stream that it has yet to take up.
  struct Caller {
    std::size_t Number_;
    std::mt19937_64 Random_;
    std::string BrokenId_;
    int LastEvent_ = 0;
  };

  void run(std::size_t Number);
  void useConnection(Caller &Self, const Listener &At);
  SoakRequest send(CallerConnection &Connection, Caller &Self,
                   const Listener &At, CallerReply &Reply);

  EntryFleet &System_;
  std::uint64_t Seed_;
  std::vector<Listener> Listeners_;
  mutable std::mutex Mutex_;
  std::vector<SoakRequest> Requests_;
  std::atomic<bool> Stopping_ = false;
  std::atomic<int> LastId_ = 0;
  std::vector<std::thread> Threads_;
};

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_SOAKCALLERS_H
