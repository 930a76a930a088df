#ifndef ANVIL_COMMANDS_DIFFCOMMAND_H
#define ANVIL_COMMANDS_DIFFCOMMAND_H

#include "Commands/Command.h"

namespace anvil {

/// `anvilctl diff REVISION`: shows the changes since that revision.
class DiffCommand : public Command {
public:
  std::string_view name() const override { return "diff"; }
  std::string_view summary() const override {
    return "show what changed since a revision";
  }
  void describe(boost::program_options::options_description &Options,
                boost::program_options::positional_options_description
                    &Arguments) const override;
  ExitStatus run(CommandContext &Context) const override;
};

} // namespace anvil

#endif // ANVIL_COMMANDS_DIFFCOMMAND_H
