#ifndef ANVIL_PLATFORM_PLATFORMSERVICE_H
#define ANVIL_PLATFORM_PLATFORMSERVICE_H

#include "Kernel/Error.h"
#include "Kernel/ServiceRegistry.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvil {

/// A row of the table service. Version zero means that there is no row.
struct TableRow {
  std::string Key_;
  std::string Value_;
  std::uint64_t Version_ = 0;
};

/// A row that must still have a version when a transaction commits.
struct RowCheck {
  std::string Key_;
  std::uint64_t Version_ = 0;
};

/// A row that a transaction writes, or removes when there is no value.
struct RowWrite {
  std::string Key_;
  std::optional<std::string> Value_;
};

/// Checks and writes that take effect together or not at all.
struct TableTransaction {
  std::vector<RowCheck> Checks_;
  std::vector<RowWrite> Writes_;
};

/// How a transaction ended.
enum class CommitResult {
  Committed,
  /// A check failed; nothing was written.
  Conflict,
  /// The answer was lost; the writes may or may not have taken effect.
  Ambiguous,
  /// The transaction certainly did not take effect.
  Unavailable,
};

inline constexpr std::pair<CommitResult, std::string_view> CommitResultNames[] =
    {
        {CommitResult::Committed, "committed"},
        {CommitResult::Conflict, "conflict"},
        {CommitResult::Ambiguous, "ambiguous"},
        {CommitResult::Unavailable, "unavailable"},
};

/// The end of a transaction and what goes with it.
struct CommitOutcome {
  CommitResult Result_ = CommitResult::Unavailable;
  /// The version of every row written; committed transactions only.
  std::uint64_t Version_ = 0;
  /// The rows that failed their check, as they are; conflicts only.
  std::vector<TableRow> Conflicts_;
  std::string Detail_;
};

/// Whether the platform means a VM to go on.
enum class VmState { Live, Leaving };

inline constexpr std::pair<VmState, std::string_view> VmStateNames[] = {
    {VmState::Live, "live"},
    {VmState::Leaving, "leaving"},
};

/// A VM in the platform's list, which lags behind.
struct VmRecord {
  std::string Name_;
  std::string DataCentre_;
  /// `address:port` for peers.
  std::string Address_;
  VmState State_ = VmState::Live;
};

/// The platform: a transactional table, an object store and a list of VMs.
/// Reads fail with unavailable or timeout. Not for use by several threads.
class PlatformService : public Service {
public:
  static constexpr std::string_view Name = "platform";

  std::string_view serviceName() const override { return Name; }

  /// Reads rows; those that don't exist come back with version zero.
  virtual boost::asio::awaitable<Result<std::vector<TableRow>>>
  read(std::vector<std::string> Keys) = 0;

  /// Reads at most `Limit` rows whose key begins with `Prefix` and comes after
  /// `After`, in order of their keys.
  virtual boost::asio::awaitable<Result<std::vector<TableRow>>>
  scan(std::string Prefix, std::string After, std::size_t Limit) = 0;

  /// Runs a transaction.
  virtual boost::asio::awaitable<CommitOutcome>
  commit(TableTransaction Transaction) = 0;

  /// Stores an object. Writing the same name and bytes again is harmless.
  virtual boost::asio::awaitable<Status> putObject(std::string ObjectName,
                                                   std::string Bytes) = 0;

  /// Reads an object. Errors: also not found.
  virtual boost::asio::awaitable<Result<std::string>>
  getObject(std::string ObjectName) = 0;

  /// The VMs that the platform knows.
  virtual boost::asio::awaitable<Result<std::vector<VmRecord>>> listVms() = 0;

  /// Whether the last call was answered.
  virtual bool reachable() const = 0;
};

} // namespace anvil

#endif // ANVIL_PLATFORM_PLATFORMSERVICE_H
