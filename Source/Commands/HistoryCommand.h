#ifndef ANVIL_COMMANDS_HISTORYCOMMAND_H
#define ANVIL_COMMANDS_HISTORYCOMMAND_H

#include "Commands/Command.h"

namespace anvil {

/// `anvilctl history [--after REVISION]`: lists the published revisions.
class HistoryCommand : public Command {
public:
  std::string_view name() const override { return "history"; }
  std::string_view summary() const override {
    return "list the published revisions";
  }
  void describe(boost::program_options::options_description &Options,
                boost::program_options::positional_options_description
                    &Arguments) const override;
  ExitStatus run(CommandContext &Context) const override;
};

} // namespace anvil

#endif // ANVIL_COMMANDS_HISTORYCOMMAND_H
