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

/// Whether the platform is keeping a VM or shutting it down.
enum class VmState { Live, Leaving };

inline constexpr std::pair<VmState, std::string_view> VmStateNames[] = {
    {VmState::Live, "live"},
    {VmState::Leaving, "leaving"},
};

/// A VM in the platform's list, which may be out of date.
struct VmRecord {
  std::string Name_;
  std::string DataCentre_;
  /// The `address:port` at which peers reach it.
  std::string Address_;
  VmState State_ = VmState::Live;
};

/// Interface of the platform: a transactional table, an object store and a list
/// of VMs. Reads fail with `Unavailable` or `Timeout`. Not thread-safe.
class PlatformService : public Service {
public:
  static constexpr std::string_view Name = "platform";

  std::string_view serviceName() const override { return Name; }

  /// Reads rows; a row that doesn't exist is returned with version zero.
  virtual boost::asio::awaitable<Result<std::vector<TableRow>>>
  read(std::vector<std::string> Keys) = 0;

  /// Reads at most `Limit` rows whose key begins with `Prefix` and comes after
  /// `After`, in order of their keys.
  virtual boost::asio::awaitable<Result<std::vector<TableRow>>>
  scan(std::string Prefix, std::string After, std::size_t Limit) = 0;

  /// Runs a transaction.
  virtual boost::asio::awaitable<CommitOutcome>
  commit(TableTransaction Transaction) = 0;

  /// Stores an object. Idempotent for the same name and bytes.
  virtual boost::asio::awaitable<Status> putObject(std::string ObjectName,
                                                   std::string Bytes) = 0;

  /// Reads an object; fails with `NotFound` if it doesn't exist.
  virtual boost::asio::awaitable<Result<std::string>>
  getObject(std::string ObjectName) = 0;

  /// The VMs in the platform's list.
  virtual boost::asio::awaitable<Result<std::vector<VmRecord>>> listVms() = 0;

  /// Whether the platform replied to the last call.
  virtual bool reachable() const = 0;
};

} // namespace anvil

#endif // ANVIL_TABLESERVICE_PLATFORMSERVICE_H
