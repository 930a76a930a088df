#ifndef ANVIL_COMMANDS_QUARANTINECOMMAND_H
#define ANVIL_COMMANDS_QUARANTINECOMMAND_H

#include "Commands/Command.h"

namespace anvil {

/// `anvilctl quarantine list` and `anvilctl quarantine clear DIGEST`: list or
/// release requests that are quarantined because they crashed targets.
class QuarantineCommand : public Command {
public:
  std::string_view name() const override { return "quarantine"; }
  std::string_view summary() const override {
    return "list or clear requests that crashed targets";
  }
  void describe(boost::program_options::options_description &Options,
                boost::program_options::positional_options_description
                    &Arguments) const override;
  ExitStatus run(CommandContext &Context) const override;
};

} // namespace anvil

#endif // ANVIL_COMMANDS_QUARANTINECOMMAND_H
