#ifndef ANVIL_ENTRY_INCARNATIONCHECK_H
#define ANVIL_ENTRY_INCARNATIONCHECK_H

#include "Entry/IncarnationFinding.h"
#include "Entry/TargetPicker.h"
#include "Http/WaitList.h"
#include "platform/EngineControl.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace anvil {

/// Asks an engine which of its incarnations runs, as its entry in the list may
/// be that of an earlier one. A connection that was opened before, and is still
/// open when the engine reports, leads to the same incarnation.
class IncarnationCheck {
public:
  /// Begins to ask.
  static std::shared_ptr<IncarnationCheck>
  begin(const boost::asio::any_io_executor &Executor,
        std::shared_ptr<platform::EngineControl> Engines,
        const TargetChoice &Chosen);

  /// Waits for the result.
  boost::asio::awaitable<IncarnationFinding> finding();

private:
  boost::asio::awaitable<void>
  ask(std::shared_ptr<IncarnationCheck> Self,
      std::shared_ptr<platform::EngineControl> Engines,
      platform::EngineAddress Engine, std::int64_t Incarnation);

  std::optional<IncarnationFinding> Finding_;
  WaitList Found_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_INCARNATIONCHECK_H
