#include "Config/OutageDetector.h"

#include <algorithm>

namespace anvil {

using StatementMap = std::map<std::string, OutageDetector::Statement>;

static void
updateStatement(StatementMap &Statements, const std::string &Name,
                const std::optional<OutageDetector::Statement> &Latest) {
  if (!Latest)
    Statements.erase(Name);
  else
    Statements[Name] = *Latest;
}

/// The earlier of the given time and the time of a statement; absent when the
/// statement is missing or its revision is higher than the one held here.
static std::optional<TimePoint> earliestWith(std::optional<TimePoint> Earliest,
                                             const StatementMap &Statements,
                                             const std::string &Name,
                                             std::uint64_t Held) {
  auto Latest = Statements.find(Name);
  if (!Earliest || Latest == Statements.end() ||
      Latest->second.Revision_ > Held)
    return std::nullopt;
  return std::min(*Earliest, Latest->second.At_);
}

void OutageDetector::updateVm(const std::string &Vm,
                              std::optional<Statement> Latest) {
  GoodbyeRevisions_.erase(Vm);
  updateStatement(VmStatements_, Vm, Latest);
}

void OutageDetector::recordGoodbye(const std::string &Vm,
                                   std::uint64_t Revision) {
  GoodbyeRevisions_[Vm] = Revision;
}

void OutageDetector::updateDataCentre(const std::string &DataCentre,
                                      std::optional<Statement> Latest) {
  updateStatement(DataCentreStatements_, DataCentre, Latest);
}

std::optional<TimePoint>
OutageDetector::ownOutageTime(const std::vector<std::string> &OtherVms,
                              std::uint64_t Held,
                              std::optional<TimePoint> Self) const {
  std::optional<TimePoint> Earliest = Self;
  for (const std::string &Vm : OtherVms) {
    auto Goodbye = GoodbyeRevisions_.find(Vm);
    // A terminated process publishes nothing more.
    if (Goodbye != GoodbyeRevisions_.end() && Goodbye->second <= Held)
      continue;
    Earliest = earliestWith(Earliest, VmStatements_, Vm, Held);
  }
  return Earliest;
}

std::optional<TimePoint> OutageDetector::globalOutageTime(
    std::optional<TimePoint> Own,
    const std::vector<std::string> &OtherDataCentres,
    std::uint64_t Held) const {
  std::optional<TimePoint> Earliest = Own;
  for (const std::string &Other : OtherDataCentres)
    Earliest = earliestWith(Earliest, DataCentreStatements_, Other, Held);
  return Earliest;
}

} // namespace anvil
