#ifndef ANVIL_TESTS_STREAMS_STREAMFLEET_H
#define ANVIL_TESTS_STREAMS_STREAMFLEET_H

#include "Streams/RecordBatcher.h"
#include "Streams/StreamBaselines.h"
#include "Streams/StreamRecords.h"
#include "Streams/StreamRows.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace anvil {

/// The store and the VMs of a `StreamFleet`.
struct StreamFleetPlan {
  std::size_t Vms_ = 8;
  /// The store's limits and the time of its answers.
  double WritesPerSecond_ = 400;
  Duration AnswerTime_ = std::chrono::milliseconds(9);
  unsigned Seed_ = 1;
};

/// A fleet of VMs that begin streams and take them up again, with the decisions
/// of `Source/Streams` and a store in memory, in steps of simulated time. VMs
/// lose power, are cut from the store or suspended, and the store's answers are
/// lost or the store is restored from a copy. It knows where each stream really
/// began.
class StreamFleet {
public:
  explicit StreamFleet(StreamFleetPlan Plan = {});

  static constexpr Duration Step = std::chrono::milliseconds(5);

  TimePoint now() const { return Now_; }
  void advance(Duration Time);

  /// The usable targets by version, as all VMs in touch see them.
  std::map<std::string, std::size_t> Usable_{{"v1", 10}};

  void setStoreUp(bool IsUp) { IsStoreUp_ = IsUp; }
  void setAnswerTime(Duration Time) { Plan_.AnswerTime_ = Time; }
  /// The fraction of writes that are done and not answered.
  void setLostAnswers(double Fraction) { LostAnswers_ = Fraction; }
  void setCut(std::size_t Vm, bool IsCut) { Vms_[Vm].IsCut_ = IsCut; }
  /// The VM loses its memory.
  void restart(std::size_t Vm);
  /// Makes the copy from which the store is restored, in a new era.
  void takeCopy() { CopiedRecords_ = Records_; }
  void restore();

  /// Begins a stream at a version on a VM, now or when it has been recorded.
  void begin(std::size_t Vm, const std::string &Version);

  /// The streams whose first event was forwarded.
  struct Stream {
    StreamKey Key_ = 0;
    std::string Version_;
    TimePoint BeganAt_{};
  };
  const std::deque<Stream> &begun() const { return Begun_; }

  /// Where a VM finds that a stream began; nothing if it can't know.
  std::optional<std::string> lookUp(std::size_t Vm, StreamKey Key);

  std::size_t vmCount() const { return Vms_.size(); }
  std::size_t refused() const { return Refused_; }
  std::size_t writes() const { return Writes_; }
  std::size_t rows() const { return Records_.size(); }
  std::size_t recordBytes() const { return RecordBytes_; }
  const std::optional<StreamBaseline> &baseline() const { return Baseline_; }

  /// How long the first events of recorded streams waited.
  const std::vector<Duration> &waits() const { return Waits_; }

  /// For how long callers may take streams up again.
  static constexpr Duration TakeUpTime = std::chrono::seconds(20);

private:
  struct Waiting {
    Stream Stream_;
    RecordTicket Ticket_ = 0;
    TimePoint Since_{};
  };
  struct Vm {
    StreamBaselines Baselines_;
    StreamRecords Own_;
    /// Copies of what other VMs began, and those to be sent.
    StreamRecords Copies_;
    std::vector<StreamRecord> CopiesDue_;
    TimePoint NextCopy_{};
    RecordBatcher Batcher_;
    std::deque<Waiting> Waiting_;
    std::vector<StreamRecord> InFlight_;
    std::optional<TimePoint> AnswerAt_;
    bool IsAnswerLost_ = false;
    TimePoint NextPoll_{};
    TimePoint NextList_{};
    bool IsCut_ = false;
    /// The store's era that it has seen.
    std::uint64_t Era_ = 0;
    std::optional<TimePoint> RestoreSeenAt_;
  };

  bool isReachable(const Vm &At) const { return IsStoreUp_ && !At.IsCut_; }
  /// Notices the store's era.
  void reach(Vm &At);
  void readList(Vm &At);
  void sendCopies(std::size_t Vm);
  void pollBaseline(Vm &At);
  void write(Vm &At);
  void forward(Vm &At, const Stream &Began, TimePoint Since);

  StreamFleetPlan Plan_;
  std::mt19937 Random_;
  TimePoint Now_{std::chrono::hours(1)};
  std::vector<Vm> Vms_;
  bool IsStoreUp_ = true;
  bool IsFirstStart_ = true;
  double LostAnswers_ = 0;
  std::optional<StreamBaseline> Baseline_;
  std::uint64_t NextRow_ = 1;
  std::uint64_t Era_ = 1;
  /// The rows of records by their time of writing.
  std::multimap<TimePoint, std::string> Records_;
  std::multimap<TimePoint, std::string> CopiedRecords_;
  std::deque<Stream> Begun_;
  std::uint64_t NextId_ = 1;
  std::size_t Refused_ = 0;
  std::size_t Writes_ = 0;
  std::size_t RecordBytes_ = 0;
  std::vector<Duration> Waits_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STREAMS_STREAMFLEET_H
