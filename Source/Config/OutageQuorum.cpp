#include "Config/OutageQuorum.h"

#include <algorithm>

namespace anvil {

using StatementMap = std::map<std::string, OutageQuorum::Statement>;

static void noteIn(StatementMap &Statements, const std::string &Name,
                   const std::optional<OutageQuorum::Statement> &Said) {
  if (!Said)
    Statements.erase(Name);
  else
    Statements[Name] = *Said;
}

/// The earlier of a moment and a statement's; absent when the statement is
/// missing or speaks of a revision that isn't held here.
static std::optional<TimePoint> withStatement(std::optional<TimePoint> So,
                                              const StatementMap &Statements,
                                              const std::string &Name,
                                              std::uint64_t Held) {
  auto Said = Statements.find(Name);
  if (!So || Said == Statements.end() || Said->second.Revision_ > Held)
    return std::nullopt;
  return std::min(*So, Said->second.At_);
}

void OutageQuorum::noteVm(const std::string &Vm,
                          std::optional<Statement> Said) {
  Left_.erase(Vm);
  noteIn(Vms_, Vm, Said);
}

void OutageQuorum::noteLeft(const std::string &Vm, std::uint64_t Revision) {
  Left_[Vm] = Revision;
}

void OutageQuorum::noteDataCentre(const std::string &DataCentre,
                                  std::optional<Statement> Said) {
  noteIn(DataCentres_, DataCentre, Said);
}

std::optional<TimePoint>
OutageQuorum::ownDataCentre(const std::vector<std::string> &Others,
                            std::uint64_t Held,
                            std::optional<TimePoint> Self) const {
  std::optional<TimePoint> Oldest = Self;
  for (const std::string &Vm : Others) {
    auto Left = Left_.find(Vm);
    // A process that has ended publishes nothing more.
    if (Left != Left_.end() && Left->second <= Held)
      continue;
    Oldest = withStatement(Oldest, Vms_, Vm, Held);
  }
  return Oldest;
}

std::optional<TimePoint>
OutageQuorum::everywhere(std::optional<TimePoint> Own,
                         const std::vector<std::string> &OtherDataCentres,
                         std::uint64_t Held) const {
  std::optional<TimePoint> Oldest = Own;
  for (const std::string &Other : OtherDataCentres)
    Oldest = withStatement(Oldest, DataCentres_, Other, Held);
  return Oldest;
}

} // namespace anvil
