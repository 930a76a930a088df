#ifndef ANVIL_ENTRY_RECEIVEBUDGETS_H
#define ANVIL_ENTRY_RECEIVEBUDGETS_H

#include "Kernel/BufferBudget.h"
#include "Kernel/ServiceRegistry.h"
#include "Telemetry/Metrics.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace anvil {

/// Divides the memory that a VM has for received bytes. Each kind of peer has a
/// budget of its own, so that a faulty one can't use up that of another kind.
class ReceiveBudgets : public Service {
public:
  static constexpr std::string_view Name = "receive-budgets";

  /// `MemoryBytes` is the memory of the whole process. Messages that must give
  /// way are logged and counted.
  ReceiveBudgets(std::size_t MemoryBytes, std::shared_ptr<Metrics> Counts);

  std::string_view serviceName() const override { return Name; }

  /// The requests of callers, until they have been answered.
  const std::shared_ptr<BufferBudget> &callers() const { return Callers_; }

  /// The replies of targets to requests of callers.
  const std::shared_ptr<BufferBudget> &targets() const { return Targets_; }

  /// The replies of the store and of other VMs, and reports of engines.
  const std::shared_ptr<BufferBudget> &control() const { return Control_; }

private:
  std::shared_ptr<BufferBudget> makeBudget(std::size_t MemoryBytes,
                                           std::string Peer);

  std::shared_ptr<Metrics> Counts_;
  std::shared_ptr<BufferBudget> Callers_;
  std::shared_ptr<BufferBudget> Targets_;
  std::shared_ptr<BufferBudget> Control_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_RECEIVEBUDGETS_H
