#ifndef ANVIL_LEDGER_TABLELEDGER_H
#define ANVIL_LEDGER_TABLELEDGER_H

#include "Ledger/ClaimCodec.h"
#include "Platform/PlatformService.h"
#include "Requests/RequestLedger.h"

#include <memory>
#include <string>

namespace anvil {

/// Keeps claims as rows of the platform's table, one transaction each.
class TableLedger : public RequestLedger {
public:
  TableLedger(std::shared_ptr<PlatformService> Platform, std::string Vm,
              std::string Incarnation);

  boost::asio::awaitable<Outcome<ClaimDecision>>
  claim(const RequestContext &Request) override;
  boost::asio::awaitable<void> record(ClaimToken Claim, ClaimEnd End) override;

private:
  Outcome<ClaimDecision> decide(const TableRow &Row, const std::string &Digest);

  std::shared_ptr<PlatformService> Platform_;
  std::string Vm_;
  std::string Incarnation_;
};

} // namespace anvil

#endif // ANVIL_LEDGER_TABLELEDGER_H
