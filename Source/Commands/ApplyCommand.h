#ifndef ANVIL_COMMANDS_APPLYCOMMAND_H
#define ANVIL_COMMANDS_APPLYCOMMAND_H

#include "Commands/Command.h"

namespace anvil {

/// `anvilctl apply FILE [--dry-run]`: checks and publishes a change set.
class ApplyCommand : public Command {
public:
  std::string_view name() const override { return "apply"; }
  std::string_view summary() const override {
    return "check a change set as a whole and publish it";
  }
  void describe(boost::program_options::options_description &Options,
                boost::program_options::positional_options_description
                    &Arguments) const override;
  ExitStatus run(CommandContext &Context) const override;
};

} // namespace anvil

#endif // ANVIL_COMMANDS_APPLYCOMMAND_H
