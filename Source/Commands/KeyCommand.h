#ifndef ANVIL_COMMANDS_KEYCOMMAND_H
#define ANVIL_COMMANDS_KEYCOMMAND_H

#include "Commands/Command.h"

namespace anvil {

/// `anvilctl key issue NAME --customer CUSTOMER` creates a key and shows its
/// secret once; `anvilctl key withdraw NAME` revokes it.
class KeyCommand : public Command {
public:
  std::string_view name() const override { return "key"; }
  std::string_view summary() const override {
    return "issue or withdraw a key";
  }
  void describe(boost::program_options::options_description &Options,
                boost::program_options::positional_options_description
                    &Arguments) const override;
  ExitStatus run(CommandContext &Context) const override;

private:
  static ExitStatus issue(CommandContext &Context, const std::string &KeyName);
  static ExitStatus withdraw(CommandContext &Context,
                             const std::string &KeyName);
};

} // namespace anvil

#endif // ANVIL_COMMANDS_KEYCOMMAND_H
