#include "Commands/Command.h"

#include "Commands/ApplyCommand.h"
#include "Commands/DiffCommand.h"
#include "Commands/DrainCommand.h"
#include "Commands/ExplainCommand.h"
#include "Commands/GetCommand.h"
#include "Commands/HistoryCommand.h"
#include "Commands/KeyCommand.h"
#include "Commands/QuarantineCommand.h"
#include "Commands/StatusCommand.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace anvil {

const std::vector<std::unique_ptr<Command>> &allCommands() {
  static const auto Commands = [] {
    std::vector<std::unique_ptr<Command>> Made;
    Made.push_back(std::make_unique<ApplyCommand>());
    Made.push_back(std::make_unique<DiffCommand>());
    Made.push_back(std::make_unique<DrainCommand>());
    Made.push_back(std::make_unique<ExplainCommand>());
    Made.push_back(std::make_unique<GetCommand>());
    Made.push_back(std::make_unique<HistoryCommand>());
    Made.push_back(std::make_unique<KeyCommand>());
    Made.push_back(std::make_unique<QuarantineCommand>());
    Made.push_back(std::make_unique<StatusCommand>());
    return Made;
  }();
  return Commands;
}

void printError(const Error &Problem) {
  std::cerr << "anvilctl: " << Problem.describe() << "\n";
}

static ExitStatus exitStatusOf(int HttpStatus) {
  if (HttpStatus < 300)
    return ExitStatus::Success;
  if (HttpStatus == 503)
    return ExitStatus::Unavailable;
  if (HttpStatus == 504)
    return ExitStatus::Unknown;
  return ExitStatus::Refused;
}

ExitStatus reportReply(const Result<HttpReply> &Reply) {
  if (!isOk(Reply)) {
    printError(errorOf(Reply));
    bool NotSent = errorOf(Reply).Code_ == ErrorCode::Unavailable;
    return NotSent ? ExitStatus::Unavailable : ExitStatus::Unknown;
  }
  const HttpReply &Given = valueOf(Reply);
  ExitStatus Status = exitStatusOf(Given.Status_);
  if (Status == ExitStatus::Success)
    return Status;
  auto Body = nlohmann::json::parse(Given.Body_, nullptr, false);
  if (!Body.is_object() || !Body.contains("errors")) {
    printError({ErrorCode::Protocol, "anvild",
                "answered status " + std::to_string(Given.Status_), ""});
    return Status;
  }
  for (const auto &Item : Body["errors"])
    printError({ErrorCode::Refused, Item.value("where", ""),
                Item.value("message", ""), Item.value("action", "")});
  return Status;
}

} // namespace anvil
