#ifndef ANVIL_COMMANDS_STATUSCOMMAND_H
#define ANVIL_COMMANDS_STATUSCOMMAND_H

#include "Commands/Command.h"

namespace anvil {

/// `anvilctl status`: shows one VM's state and its view of the other VMs.
class StatusCommand : public Command {
public:
  std::string_view name() const override { return "status"; }
  std::string_view summary() const override {
    return "show VMs, revisions, targets and quotas";
  }
  ExitStatus run(CommandContext &Context) const override;
};

} // namespace anvil

#endif // ANVIL_COMMANDS_STATUSCOMMAND_H
