#ifndef ANVIL_COMMANDS_APPLYCOMMAND_H
#define ANVIL_COMMANDS_APPLYCOMMAND_H

#include "Commands/Command.h"

namespace anvil {

/// `anvilctl apply FILE [--dry-run] [--wait]`: validates and publishes a change
/// set, and with `--wait` waits until every data centre has confirmed it.
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

private:
  static ExitStatus waitUntilInForce(CommandContext &Context,
                                     std::uint64_t Revision);
};

} // namespace anvil

#endif // ANVIL_COMMANDS_APPLYCOMMAND_H
