#ifndef ANVIL_TABLESERVICE_PLATFORMCODEC_H
#define ANVIL_TABLESERVICE_PLATFORMCODEC_H

#include "Http/HttpMessage.h"
#include "TableService/PlatformService.h"

#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// What a client asks of the table when it reads.
struct TableQuery {
  std::vector<std::string> Keys_;
  std::string Prefix_;
  std::string After_;
  std::int64_t Limit_ = 0;
};

/// The JSON of the platform's HTTP protocol, both directions.
std::string encodeQuery(const TableQuery &Query);
Result<TableQuery> decodeQuery(std::string_view Text);

std::string encodeRows(const std::vector<TableRow> &Rows);
Result<std::vector<TableRow>> decodeRows(std::string_view Text);

std::string encodeTransaction(const TableTransaction &Transaction);
Result<TableTransaction> decodeTransaction(std::string_view Text);

/// A committed transaction answers 200, a conflict 409.
HttpReply encodeOutcome(const CommitOutcome &Outcome);

/// Any answer that can't be read is ambiguous; 429 and 503 mean not run.
CommitOutcome decodeOutcome(const HttpReply &Reply);

std::string encodeVms(const std::vector<VmRecord> &Vms);
Result<std::vector<VmRecord>> decodeVms(std::string_view Text);

} // namespace anvil

#endif // ANVIL_TABLESERVICE_PLATFORMCODEC_H
