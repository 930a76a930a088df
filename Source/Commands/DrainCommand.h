#ifndef ANVIL_COMMANDS_DRAINCOMMAND_H
#define ANVIL_COMMANDS_DRAINCOMMAND_H

#include "Commands/Command.h"

namespace anvil {

/// `anvilctl drain target NAME` marks a target as leaving; `anvilctl drain vm`
/// gracefully stops the VM that `--server` names.
class DrainCommand : public Command {
public:
  std::string_view name() const override { return "drain"; }
  std::string_view summary() const override {
    return "take a target or a VM out of service in good order";
  }
  void describe(boost::program_options::options_description &Options,
                boost::program_options::positional_options_description
                    &Arguments) const override;
  ExitStatus run(CommandContext &Context) const override;

private:
  static ExitStatus drainTarget(CommandContext &Context,
                                const std::string &TargetName);
};

} // namespace anvil

#endif // ANVIL_COMMANDS_DRAINCOMMAND_H
