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
  /// The server rejected the request: invalid change, conflict, unknown name.
  Refused = 1,
  /// The command line or a file named on it is invalid.
  Usage = 2,
  /// The VM or the platform did not reply; nothing changed.
  Unavailable = 3,
  /// The outcome is unknown; run the command again as the message says.
  Unknown = 4,
};

enum class OutputFormat { Table, Json };

inline constexpr std::pair<OutputFormat, std::string_view> OutputFormatNames[] =
    {
        {OutputFormat::Table, "table"},
        {OutputFormat::Json, "json"},
};

/// The inputs of a command: client, output format and parsed options.
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

  /// A one-line description for the list of commands.
  virtual std::string_view summary() const = 0;

  /// Declares the command's own options and positional arguments.
  virtual void
  describe(boost::program_options::options_description &,
           boost::program_options::positional_options_description &) const {}

  /// Runs the command and prints its result.
  virtual ExitStatus run(CommandContext &Context) const = 0;
};

/// All commands, in the order in which the help lists them.
const std::vector<std::unique_ptr<Command>> &allCommands();

/// Prints an error to standard error.
void printError(const Error &Problem);

/// Prints the errors of a reply to standard error, if any, and returns the
/// matching exit status.
ExitStatus reportReply(const Result<HttpReply> &Reply);

} // namespace anvil

#endif // ANVIL_COMMANDS_COMMAND_H
