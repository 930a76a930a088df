#include "TableService/CircuitBreaker.h"

namespace anvil {

bool CircuitBreaker::allow(TimePoint Now) {
  if (!OpenUntil_)
    return true;
  if (Now < *OpenUntil_)
    return false;
  // The probe's failure opens the circuit again; its success closes it.
  OpenUntil_ = Now + OpenTime_;
  return true;
}

void CircuitBreaker::recordSuccess() {
  Failures_ = 0;
  OpenUntil_.reset();
}

void CircuitBreaker::recordFailure(TimePoint Now) {
  ++Failures_;
  if (Failures_ >= FailuresToOpen_)
    OpenUntil_ = Now + OpenTime_;
}

} // namespace anvil
