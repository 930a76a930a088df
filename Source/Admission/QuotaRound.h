#ifndef ANVIL_ADMISSION_QUOTAROUND_H
#define ANVIL_ADMISSION_QUOTAROUND_H

#include "Kernel/Clock.h"

#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// In which order and when one request that is short of tokens asks other VMs
/// for them. The next VM is asked once the one before has answered, or has been
/// silent for its part of the wait; what that one sends later still counts.
class QuotaRound {
public:
  /// VMs without tokens, or silent, after which no other is asked.
  static constexpr int EmptyGivers = 3;

  /// A round through `Givers` that is over after `Wait`.
  QuotaRound(std::vector<std::string> Givers, Duration Wait, TimePoint Now)
      : Givers_(std::move(Givers)), Patience_(Wait / EmptyGivers),
        Deadline_(Now + Wait), AskAt_(Now) {}

  /// The VM to ask now. It counts as asked when this returns.
  std::optional<std::string> next(TimePoint Now);

  /// Takes in that one of the asked VMs answered, or can't be reached.
  void answered(bool HadTokens);

  /// Whether nothing more can come of the round.
  bool isOver(TimePoint Now) const;

  /// When to call `next` again if nobody answers before.
  TimePoint wakeAt() const;

  TimePoint deadline() const { return Deadline_; }

private:
  bool mayAsk() const;

  std::vector<std::string> Givers_;
  Duration Patience_;
  TimePoint Deadline_;
  /// Until then an asked VM is waited for.
  TimePoint AskAt_;
  std::size_t Asked_ = 0;
  int Open_ = 0;
  int Empty_ = 0;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTAROUND_H
