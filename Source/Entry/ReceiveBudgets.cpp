#include "Entry/ReceiveBudgets.h"

#include "Telemetry/Log.h"

namespace anvil {

/// The fraction of a VM's memory that each budget has. Decoded messages and
/// freed blocks that the allocator keeps take several times a buffer's size.
static constexpr std::size_t BudgetDivisor = 8;

std::shared_ptr<BufferBudget>
ReceiveBudgets::makeBudget(std::size_t MemoryBytes, std::string Peer) {
  auto Budget = std::make_shared<BufferBudget>(MemoryBytes / BudgetDivisor);
  // The hook is the budget's own, so it must not keep the budget alive.
  Budget->Revoked_.attach([Counts = Counts_, Peer = std::move(Peer),
                           Owner = Budget.get()](std::size_t Bytes) {
    Counts->count("anvil_receive_revocations_total", {{"peer", Peer}});
    logEvent(LogLevel::Warning, "receive_buffer_revoked",
             {{"peer", Peer},
              {"bytes", Bytes},
              {"held", Owner->heldBytes()},
              {"limit", Owner->limitBytes()}});
  });
  return Budget;
}

ReceiveBudgets::ReceiveBudgets(std::size_t MemoryBytes,
                               std::shared_ptr<Metrics> Counts)
    : Counts_(std::move(Counts)), Callers_(makeBudget(MemoryBytes, "callers")),
      Targets_(makeBudget(MemoryBytes, "targets")),
      Control_(makeBudget(MemoryBytes, "control")) {}

} // namespace anvil
