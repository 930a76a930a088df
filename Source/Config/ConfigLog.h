#ifndef ANVIL_CONFIG_CONFIGLOG_H
#define ANVIL_CONFIG_CONFIGLOG_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Keeps the most recent consecutive changes, for peers that are behind.
class ConfigLog {
public:
  /// Keeps at most `MaxChanges` changes of at most `MaxBytes` bytes in total.
  ConfigLog(std::size_t MaxChanges, std::size_t MaxBytes);

  /// Adds the change that produced `Revision`. Drops all earlier changes if
  /// `Revision` does not follow the last one.
  void append(std::uint64_t Revision, std::string Change);

  /// Drops all changes, as after a jump across revisions with unknown changes.
  void clear();

  /// The changes after `From` up to `To` in order; absent when the log lacks
  /// some of them.
  std::optional<std::vector<std::string>> since(std::uint64_t From,
                                                std::uint64_t To) const;

  std::size_t size() const { return Changes_.size(); }

private:
  std::size_t MaxChanges_;
  std::size_t MaxBytes_;
  std::size_t Bytes_ = 0;
  /// The revision that the last change produced.
  std::uint64_t LastRevision_ = 0;
  std::deque<std::string> Changes_;
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGLOG_H
