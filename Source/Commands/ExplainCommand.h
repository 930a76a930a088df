#ifndef ANVIL_COMMANDS_EXPLAINCOMMAND_H
#define ANVIL_COMMANDS_EXPLAINCOMMAND_H

#include "Commands/Command.h"

namespace anvil {

/// `anvilctl explain ID [FILE...]`: collects a request's lines from the logs of
/// several VMs in time order and summarizes what happened. Reads standard input
/// if no file is given.
class ExplainCommand : public Command {
public:
  std::string_view name() const override { return "explain"; }
  std::string_view summary() const override {
    return "show from logs what happened to a request";
  }
  void describe(boost::program_options::options_description &Options,
                boost::program_options::positional_options_description
                    &Arguments) const override;
  ExitStatus run(CommandContext &Context) const override;
};

} // namespace anvil

#endif // ANVIL_COMMANDS_EXPLAINCOMMAND_H
