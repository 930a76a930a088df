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

/// The state of another VM by the time since its last heartbeat.
enum class MemberState {
  /// In the platform's list, but no heartbeat has been received.
  Unknown,
  Alive,
  /// No heartbeat for `SuspectAfter_`; still counted as alive.
  Suspect,
  Unreachable,
};

inline constexpr std::pair<MemberState, std::string_view> MemberStateNames[] = {
    {MemberState::Unknown, "unheard"},
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Unreachable, "gone"},
};

std::string_view memberStateName(MemberState State);

/// The timeouts by which the state of members is decided.
struct MemberTimeouts {
  Duration SuspectAfter_ = std::chrono::seconds(4);
  Duration UnreachableAfter_ = std::chrono::seconds(10);
  /// A longer gap between two ticks is a pause of this VM itself.
  Duration PauseThreshold_ = std::chrono::seconds(2);
  /// How long an unresponsive member that is no longer listed is kept, so that
  /// its late heartbeats don't mark it alive again.
  Duration RemoveAfter_ = std::chrono::minutes(10);
  /// The relative rate by which the clocks of two VMs may drift apart.
  double MaxClockDrift_ = 0.001;
};

/// The fields of a heartbeat that the member table uses.
struct ReceivedHeartbeat {
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

/// The outcome of applying a heartbeat.
struct HeartbeatResult {
  /// False for a heartbeat that is late, a duplicate or from an earlier
  /// process.
  bool Accepted_ = false;
  /// A time of this VM's clock before which the heartbeat was certainly not
  /// sent; no value while the sender has received nothing from this process.
  std::optional<TimePoint> SentAfter_;
  /// Whether the sender has another incarnation than before.
  bool NewIncarnation_ = false;
};

/// The echo fields of a heartbeat to one member.
struct HeartbeatEcho {
  std::int64_t Stamp_ = 0;
  std::string Incarnation_;
  std::int64_t Held_ = 0;
};

/// Decides which other VMs are alive. Only heartbeats show that a VM is alive;
/// the platform's list provides names and which VMs are leaving. A heartbeat
/// returns the last stamp of its receiver, which bounds the heartbeat's age, so
/// late heartbeats don't show that a VM is alive.
class MemberTable {
public:
  struct Entry {
    std::string DataCentre_;
    std::string Incarnation_;
    std::uint64_t Sequence_ = 0;
    bool Listed_ = false;
    bool ListedLeaving_ = false;
    bool Leaving_ = false;
    /// The latest time at which the VM was certainly alive.
    std::optional<TimePoint> LastAliveAt_;
    /// The last stamp of the VM's clock, the process that sent it, and when it
    /// arrived.
    std::int64_t PeerStamp_ = 0;
    std::string PeerIncarnation_;
    TimePoint PeerStampAt_{};
    MemberState State_ = MemberState::Unknown;

    bool isLeaving() const { return Leaving_ || ListedLeaving_; }
    /// Whether a heartbeat was received and the VM is not yet unreachable.
    bool isAlive() const {
      return State_ == MemberState::Alive || State_ == MemberState::Suspect;
    }
  };

  /// A VM in the platform's list.
  struct ListedVm {
    std::string Name_;
    std::string DataCentre_;
    bool Leaving_ = false;
  };

  /// The table of the VM `Self` for this incarnation of its process.
  MemberTable(std::string Self, std::string Incarnation,
              MemberTimeouts Timeouts, TimePoint Now);

  /// Applies the platform's list. Members that are not in it and have been
  /// unresponsive for `RemoveAfter_` are removed.
  void adoptList(const std::vector<ListedVm> &List, TimePoint Now);

  /// Applies a heartbeat.
  HeartbeatResult applyHeartbeat(const ReceivedHeartbeat &Heartbeat,
                                 TimePoint Now);

  /// Records that a process shuts down. False, without effect, when the
  /// incarnation is not the known one.
  bool recordGoodbye(const std::string &Name, const std::string &Incarnation);

  /// Updates the states for the current time. Returns the length of this VM's
  /// own pause if it had one since the last tick; that time doesn't count
  /// against any member.
  std::optional<Duration> tick(TimePoint Now);

  /// The echo for a heartbeat to a member.
  HeartbeatEcho echoFor(const std::string &Name, TimePoint Now) const;

  const std::map<std::string, Entry> &entries() const { return Entries_; }
  const Entry *find(const std::string &Name) const;

  /// Increases whenever a state, an incarnation or a leaving mark changes.
  std::uint64_t version() const { return Version_; }

private:
  std::optional<TimePoint> sentAfter(const ReceivedHeartbeat &Heartbeat,
                                     TimePoint Now) const;
  static void recordStamp(Entry &Known, const ReceivedHeartbeat &Heartbeat,
                          TimePoint Now);
  static bool isLater(const Entry &Known, const HeartbeatResult &Result);
  void updateState(Entry &Known, TimePoint Now);
  bool canRemove(const Entry &Known, TimePoint Now) const;

  std::string Self_;
  std::string Incarnation_;
  MemberTimeouts Timeouts_;
  TimePoint LastTick_;
  std::map<std::string, Entry> Entries_;
  std::uint64_t Version_ = 1;
};

} // namespace anvil

#endif // ANVIL_MEMBERSHIP_MEMBERTABLE_H
