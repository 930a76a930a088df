#include "Http/BoundAddress.h"

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

Error bindError(const std::string &Where, error_code Cause) {
  bool IsInUse = Cause == asio::error::address_in_use;
  return {IsInUse ? ErrorCode::Conflict : ErrorCode::Unavailable, Where,
          "can't listen: " + Cause.message(), "choose a free port of this VM"};
}

static Status closeFailed(tcp::acceptor &Acceptor, const Endpoint &Address,
                          error_code Cause) {
  error_code Ignored;
  Acceptor.close(Ignored);
  return bindError(Address.text(), Cause);
}

Status bindAcceptor(tcp::acceptor &Acceptor, const Endpoint &Address) {
  if (Acceptor.is_open())
    return std::monostate{};
  error_code Cause;
  auto Number = asio::ip::make_address(Address.Address_, Cause);
  tcp::endpoint Local(Number, Address.Port_);
  if (!Cause)
    Acceptor.open(Local.protocol(), Cause);
  if (!Cause)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Cause);
  if (!Cause)
    Acceptor.bind(Local, Cause);
  if (Cause)
    return closeFailed(Acceptor, Address, Cause);
  return std::monostate{};
}

Status listenAt(tcp::acceptor &Acceptor, const Endpoint &Address) {
  Status Bound = bindAcceptor(Acceptor, Address);
  if (!isOk(Bound))
    return Bound;
  error_code Cause;
  Acceptor.listen(asio::socket_base::max_listen_connections, Cause);
  if (Cause)
    return closeFailed(Acceptor, Address, Cause);
  return std::monostate{};
}

} // namespace anvil
