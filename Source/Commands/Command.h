#ifndef ANVIL_COMMANDS_COMMAND_H
#define ANVIL_COMMANDS_COMMAND_H

#include "Commands/AdminClient.h"
#include "Kernel/Error.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvil {

/// The exit statuses of `anvilctl`.
enum class ExitStatus {
  Success = 0,
  /// The system refused: invalid change, conflict, unknown name.
  Refused = 1,
  /// The command line or a file given on it is wrong.
  Usage = 2,
  /// No VM or no platform answered; nothing changed.
  Unavailable = 3,
  /// The outcome is not known; run the command again as the message says.
  Unknown = 4,
};

/// How results are written.
enum class OutputFormat { Table, Json };

inline constexpr std::pair<OutputFormat, std::string_view> OutputFormatNames[] =
    {
        {OutputFormat::Table, "table"},
        {OutputFormat::Json, "json"},
};

/// What a command works with.
struct CommandContext {
  AdminClient &Client_;
  OutputFormat Output_ = OutputFormat::Table;
  boost::program_options::variables_map Options_;
};

/// One command of `anvilctl`.
class Command {
public:
  virtual ~Command() = default;

  virtual std::string_view name() const = 0;

  /// One line for the list of commands.
  virtual std::string_view summary() const = 0;

  /// The command's own options and arguments.
  virtual void
  describe(boost::program_options::options_description &,
           boost::program_options::positional_options_description &) const {}

  /// Runs the command and prints its result.
  virtual ExitStatus run(CommandContext &Context) const = 0;
};

/// Every command, in the order of the list.
const std::vector<std::unique_ptr<Command>> &allCommands();

/// Prints an error on standard error.
void printError(const Error &Problem);

/// Prints the errors in a reply of the system, and gives the exit status that
/// goes with it.
ExitStatus reportReply(const Result<HttpReply> &Reply);

} // namespace anvil

#endif // ANVIL_COMMANDS_COMMAND_H
