#ifndef ANVIL_CONFIG_CONFIGLOG_H
#define ANVIL_CONFIG_CONFIGLOG_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// The last changes without a gap, for members that are behind.
class ConfigLog {
public:
  /// Keeps at most that many changes of at most that many bytes in all.
  ConfigLog(std::size_t MostChanges, std::size_t MostBytes);

  /// Adds the change that led to a revision. If it isn't the next one, all
  /// earlier changes are dropped.
  void append(std::uint64_t Revision, std::string Change);

  /// Drops everything, as after a jump whose changes are unknown.
  void clear();

  /// The changes after `From` up to `To` in order; nothing when some are
  /// missing here.
  std::optional<std::vector<std::string>> since(std::uint64_t From,
                                                std::uint64_t To) const;

  std::size_t size() const { return Changes_.size(); }

private:
  std::size_t MostChanges_;
  std::size_t MostBytes_;
  std::size_t Bytes_ = 0;
  /// The revision of the last change.
  std::uint64_t Last_ = 0;
  std::deque<std::string> Changes_;
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGLOG_H
