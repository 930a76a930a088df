#ifndef ANVIL_EVACUATION_EVACUATIONREGISTER_H
#define ANVIL_EVACUATION_EVACUATIONREGISTER_H

#include "Kernel/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Which data centres the operator has evacuated. The targets of an evacuated
/// data centre get no new requests and no orders until the operator takes the
/// request back. Data centres that were never named are not evacuated.
class EvacuationRegister {
public:
  /// Records whether the operator's table requests the evacuation of a data
  /// centre. Returns whether the data centre's state has changed.
  bool set(const std::string &DataCentre, bool IsRequested, TimePoint Now);

  bool isEvacuated(const std::string &DataCentre) const {
    return Evacuated_.contains(DataCentre);
  }

  /// When the evacuation began at this VM; nothing if there is none.
  std::optional<TimePoint> evacuatedSince(const std::string &DataCentre) const;

  /// The evacuated data centres in order of their names.
  std::vector<std::string> evacuated() const;

  /// Evacuations whose request is removed before `Until` end only then, unless
  /// the request is repeated. Covers a store that has lost its latest rows,
  /// among them requests that the operator still wants.
  void keepMissingUntil(TimePoint Until);

  /// Ends the evacuations that were kept until `Now` although their request is
  /// removed, and returns their data centres.
  std::vector<std::string> endKept(TimePoint Now);

private:
  struct Evacuation {
    TimePoint Since_{};
    /// Whether the request is removed and the evacuation is kept for a while.
    bool IsKept_ = false;
  };

  std::map<std::string, Evacuation> Evacuated_;
  TimePoint KeepUntil_{};
};

} // namespace anvil

#endif // ANVIL_EVACUATION_EVACUATIONREGISTER_H
