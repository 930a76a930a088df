#ifndef ANVIL_ADMISSION_QUOTABORROWROUND_H
#define ANVIL_ADMISSION_QUOTABORROWROUND_H

#include "Kernel/Clock.h"

#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Decides in which order and when one request that is short of tokens requests
/// loans from other VMs. The next VM is tried once the previous one has
/// replied, or has not replied within its share of the wait; a late reply is
/// still used.
class QuotaBorrowRound {
public:
  /// Number of VMs that had no tokens or have not replied, after which no other
  /// VM is tried.
  static constexpr int MaxUnsuccessful = 3;

  /// Tries `Lenders` in order and ends after `Wait`.
  QuotaBorrowRound(std::vector<std::string> Lenders, Duration Wait,
                   TimePoint Now)
      : Lenders_(std::move(Lenders)), ReplyTimeout_(Wait / MaxUnsuccessful),
        Deadline_(Now + Wait), NextRequestAt_(Now) {}

  /// The VM to send a request to now, if any. The request counts as sent when
  /// this returns.
  std::optional<std::string> next(TimePoint Now);

  /// Records that one of the VMs replied or is unreachable.
  void recordReply(bool HadTokens);

  /// Whether no further tokens can be obtained.
  bool isOver(TimePoint Now) const;

  /// When to call next() again if no reply arrives before.
  TimePoint wakeAt() const;

  TimePoint deadline() const { return Deadline_; }

private:
  bool mayRequest() const;

  std::vector<std::string> Lenders_;
  Duration ReplyTimeout_;
  TimePoint Deadline_;
  /// No other request is sent before this time unless a reply arrives.
  TimePoint NextRequestAt_;
  std::size_t Requested_ = 0;
  int Outstanding_ = 0;
  int Unsuccessful_ = 0;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTABORROWROUND_H
