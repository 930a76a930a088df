#ifndef ANVIL_TABLESERVICE_PLATFORMCODEC_H
#define ANVIL_TABLESERVICE_PLATFORMCODEC_H

#include "Http/HttpMessage.h"
#include "TableService/PlatformService.h"

#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// A read or scan request to the table.
struct TableQuery {
  std::vector<std::string> Keys_;
  std::string Prefix_;
  std::string After_;
  std::int64_t Limit_ = 0;
};

/// Encoding and decoding of the JSON bodies of the platform's HTTP protocol.
std::string encodeQuery(const TableQuery &Query);
Result<TableQuery> decodeQuery(std::string_view Text);

std::string encodeRows(const std::vector<TableRow> &Rows);
Result<std::vector<TableRow>> decodeRows(std::string_view Text);

std::string encodeTransaction(const TableTransaction &Transaction);
Result<TableTransaction> decodeTransaction(std::string_view Text);

/// Status 200 for a committed transaction, 409 for a conflict.
HttpReply encodeOutcome(const CommitOutcome &Outcome);

/// A reply that can't be decoded is ambiguous; 400, 429 and 503 mean that the
/// transaction was not run.
CommitOutcome decodeOutcome(const HttpReply &Reply);

std::string encodeVms(const std::vector<VmRecord> &Vms);
Result<std::vector<VmRecord>> decodeVms(std::string_view Text);

} // namespace anvil

#endif // ANVIL_TABLESERVICE_PLATFORMCODEC_H
