#ifndef ANVIL_MEMBERSHIP_MEMBERTABLE_H
#define ANVIL_MEMBERSHIP_MEMBERTABLE_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvil {

/// What this VM believes of another by how long it was silent.
enum class MemberState {
  /// In the platform's list but never heard.
  Unheard,
  Alive,
  /// Silent for a while; still counted as alive.
  Suspect,
  Gone,
};

inline constexpr std::pair<MemberState, std::string_view> MemberStateNames[] = {
    {MemberState::Unheard, "unheard"},
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Gone, "gone"},
};

std::string_view memberStateName(MemberState State);

/// The times by which members are judged.
struct MemberLimits {
  Duration SuspectAfter_ = std::chrono::seconds(4);
  Duration GoneAfter_ = std::chrono::seconds(10);
  /// A longer time between two ticks is a pause of this VM itself.
  Duration PauseBound_ = std::chrono::seconds(2);
  /// How long a silent member that is no longer listed is remembered, so that
  /// its late heartbeats don't revive it.
  Duration ForgetAfter_ = std::chrono::minutes(10);
  /// The part by which two VMs' clocks may run apart.
  double Drift_ = 0.001;
};

/// A heartbeat as the decision sees it.
struct HeartbeatSeen {
  std::string Name_;
  std::string DataCentre_;
  std::string Incarnation_;
  std::uint64_t Sequence_ = 0;
  bool Leaving_ = false;
  std::int64_t Stamp_ = 0;
  std::int64_t EchoStamp_ = 0;
  std::string EchoIncarnation_;
  std::int64_t EchoHeld_ = 0;
};

/// What a heartbeat proved.
struct HeartbeatVerdict {
  /// False for one that is late, doubled or of an earlier process.
  bool Accepted_ = false;
  /// A moment of this VM's clock before which it was certainly not sent;
  /// absent while the sender has seen nothing of this process.
  std::optional<TimePoint> SentAfter_;
  /// Whether the sender has another incarnation than before.
  bool NewIncarnation_ = false;
};

/// The echo that goes into a heartbeat to one member.
struct EchoOf {
  std::int64_t Stamp_ = 0;
  std::string Incarnation_;
  std::int64_t Held_ = 0;
};

/// Decides which other VMs are alive. A VM counts as alive by heartbeats alone;
/// the platform's list only tells names and who is leaving. How old a heartbeat
/// is shows from the receiver's own stamp that it returns, so late ones prove
/// nothing.
class MemberTable {
public:
  struct Entry {
    std::string DataCentre_;
    std::string Incarnation_;
    std::uint64_t Sequence_ = 0;
    bool Listed_ = false;
    bool ListedLeaving_ = false;
    bool Leaving_ = false;
    /// The latest moment at which it was certainly alive.
    std::optional<TimePoint> AliveAt_;
    /// The last stamp of its clock, of which process, and when it came.
    std::int64_t PeerStamp_ = 0;
    std::string PeerIncarnation_;
    TimePoint PeerStampAt_{};
    MemberState State_ = MemberState::Unheard;

    bool isLeaving() const { return Leaving_ || ListedLeaving_; }
    /// Whether it was heard and is not yet believed gone.
    bool isAlive() const {
      return State_ == MemberState::Alive || State_ == MemberState::Suspect;
    }
  };

  /// A VM of the platform's list.
  struct Listed {
    std::string Name_;
    std::string DataCentre_;
    bool Leaving_ = false;
  };

  /// The table of the VM `Self` in this life of its process.
  MemberTable(std::string Self, std::string Incarnation, MemberLimits Limits,
              TimePoint Now);

  /// Takes over the platform's list. Members that are not in it and have long
  /// been silent are forgotten.
  void adoptList(const std::vector<Listed> &List, TimePoint Now);

  /// Judges a heartbeat.
  HeartbeatVerdict heartbeat(const HeartbeatSeen &Given, TimePoint Now);

  /// Notes that a process stops; one of another incarnation changes nothing.
  bool goodbye(const std::string &Name, const std::string &Incarnation);

  /// Lets time pass. The length of this VM's own pause, when it had one since
  /// the last tick; no member is then held silent for that time.
  std::optional<Duration> tick(TimePoint Now);

  /// The echo for a heartbeat to a member.
  EchoOf echoFor(const std::string &Name, TimePoint Now) const;

  const std::map<std::string, Entry> &entries() const { return Entries_; }
  const Entry *find(const std::string &Name) const;

  /// Rises whenever a state, an incarnation or a leaving mark changes.
  std::uint64_t version() const { return Version_; }

private:
  std::optional<TimePoint> sentAfter(const HeartbeatSeen &Given,
                                     TimePoint Now) const;
  static void rememberStamp(Entry &Known, const HeartbeatSeen &Given,
                            TimePoint Now);
  static bool isLater(const Entry &Known, const HeartbeatVerdict &Verdict);
  void judge(Entry &Known, TimePoint Now);
  bool mayForget(const Entry &Known, TimePoint Now) const;

  std::string Self_;
  std::string Incarnation_;
  MemberLimits Limits_;
  TimePoint LastTick_;
  std::map<std::string, Entry> Entries_;
  std::uint64_t Version_ = 1;
};

} // namespace anvil

#endif // ANVIL_MEMBERSHIP_MEMBERTABLE_H
