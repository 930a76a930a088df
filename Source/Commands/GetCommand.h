#ifndef ANVIL_COMMANDS_GETCOMMAND_H
#define ANVIL_COMMANDS_GETCOMMAND_H

#include "Commands/Command.h"

namespace anvil {

/// `anvilctl get [KIND [NAME]]`: shows the objects in force.
class GetCommand : public Command {
public:
  std::string_view name() const override { return "get"; }
  std::string_view summary() const override {
    return "show the objects in force";
  }
  void describe(boost::program_options::options_description &Options,
                boost::program_options::positional_options_description
                    &Arguments) const override;
  ExitStatus run(CommandContext &Context) const override;
};

} // namespace anvil

#endif // ANVIL_COMMANDS_GETCOMMAND_H
