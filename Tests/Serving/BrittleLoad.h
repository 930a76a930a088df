#ifndef ANVIL_TESTS_SERVING_BRITTLELOAD_H
#define ANVIL_TESTS_SERVING_BRITTLELOAD_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>
#include <utility>

namespace anvil {

/// How requests to brittle engines are held back.
enum class BrittlePolicy {
  /// A place at the engine is asked for.
  Places,
  /// None: a request that an engine rejects goes on to others, four sends in
  /// all, and each VM knows what the others run at their last report.
  Reports,
};

/// VMs that send requests to engines of one service, all brittle. Times count
/// from the start.
struct BrittleLoadPlan {
  BrittlePolicy Policy_ = BrittlePolicy::Places;
  std::size_t Vms_ = 8;
  std::size_t Engines_ = 4;
  int Slots_ = 6;
  int Waiting_ = 4;
  int Rejections_ = 5;
  Duration Work_ = std::chrono::milliseconds(200);
  /// The requests that callers send, in proportion to what the slots do.
  double Load_ = 1;
  Duration Length_ = std::chrono::seconds(20);
  /// For how long a VM holds a request back, and how many at a time.
  Duration MaxWait_ = std::chrono::milliseconds(400);
  /// The issuer of an engine's places neither answers nor reports.
  std::pair<Duration, Duration> IssuerDown_{};
  bool IssuerLosesState_ = true;
  /// All VMs forget everything at this time.
  Duration RestartAt_{};
  /// The share of datagrams that are lost.
  double LossShare_ = 0;
  /// A third of the VMs reach no other VM.
  std::pair<Duration, Duration> Isolated_{};
  unsigned Seed_ = 1;
};

struct BrittleLoadOutcome {
  std::size_t Requests_ = 0;
  std::size_t Served_ = 0;
  std::size_t Refused_ = 0;
  /// Requests refused while more slots were free than requests waited, by over
  /// a tenth of all slots.
  std::size_t RefusedWithRoom_ = 0;
  /// Runs that ended because their engine fell over.
  std::size_t Lost_ = 0;
  std::size_t Rejections_ = 0;
  std::size_t Falls_ = 0;
  /// What was served in proportion to what was asked for and what the slots
  /// could do, from two seconds after the start on.
  double RoomUsed_ = 0;
};

/// Simulates the scenario with the real decisions in steps of one millisecond.
BrittleLoadOutcome simulateBrittleLoad(const BrittleLoadPlan &Plan);

} // namespace anvil

#endif // ANVIL_TESTS_SERVING_BRITTLELOAD_H
