#include "Config/ConfigLog.h"

namespace anvil {

ConfigLog::ConfigLog(std::size_t MaxChanges, std::size_t MaxBytes)
    : MaxChanges_(MaxChanges), MaxBytes_(MaxBytes) {}

void ConfigLog::append(std::uint64_t Revision, std::string Change) {
  if (Revision != LastRevision_ + 1)
    clear();
  LastRevision_ = Revision;
  Bytes_ += Change.size();
  Changes_.push_back(std::move(Change));
  while (Changes_.size() > MaxChanges_ || Bytes_ > MaxBytes_) {
    Bytes_ -= Changes_.front().size();
    Changes_.pop_front();
  }
}

void ConfigLog::clear() {
  Changes_.clear();
  Bytes_ = 0;
}

std::optional<std::vector<std::string>>
ConfigLog::since(std::uint64_t From, std::uint64_t To) const {
  if (To != LastRevision_ || From > To || To - From > Changes_.size())
    return std::nullopt;
  auto Count = static_cast<std::ptrdiff_t>(To - From);
  return std::vector<std::string>(Changes_.end() - Count, Changes_.end());
}

} // namespace anvil
