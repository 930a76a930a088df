#ifndef ANVIL_HTTP_BOUNDADDRESS_H
#define ANVIL_HTTP_BOUNDADDRESS_H

#include "Http/Endpoint.h"
#include "Kernel/Error.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace anvil {

/// The error of an address that can't be taken: conflict if it is in use, so
/// that another attempt may succeed, else unavailable.
Error bindError(const std::string &Where, boost::system::error_code Cause);

/// Takes an address for an acceptor that doesn't listen yet. Does nothing if it
/// has one.
Status bindAcceptor(boost::asio::ip::tcp::acceptor &Acceptor,
                    const Endpoint &Address);

/// Takes the address unless the acceptor has one, and listens.
Status listenAt(boost::asio::ip::tcp::acceptor &Acceptor,
                const Endpoint &Address);

} // namespace anvil

#endif // ANVIL_HTTP_BOUNDADDRESS_H
