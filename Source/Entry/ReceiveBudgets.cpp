#include "Entry/ReceiveBudgets.h"

namespace anvil {

/// The fraction of a VM's memory that each budget has. Decoded messages and
/// freed blocks that the allocator keeps take several times a buffer's size.
static constexpr std::size_t BudgetDivisor = 8;

static std::shared_ptr<BufferBudget> makeBudget(std::size_t MemoryBytes) {
  return std::make_shared<BufferBudget>(MemoryBytes / BudgetDivisor);
}

ReceiveBudgets::ReceiveBudgets(std::size_t MemoryBytes)
    : Callers_(makeBudget(MemoryBytes)), Targets_(makeBudget(MemoryBytes)),
      Control_(makeBudget(MemoryBytes)) {}

} // namespace anvil
