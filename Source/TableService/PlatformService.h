#ifndef ANVIL_TABLESERVICE_PLATFORMSERVICE_H
#define ANVIL_TABLESERVICE_PLATFORMSERVICE_H

#include "Kernel/Error.h"
#include "Kernel/ServiceRegistry.h"
#include "TableService/TableTypes.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvil {

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

#endif // ANVIL_TABLESERVICE_PLATFORMSERVICE_H
