#ifndef ANVIL_PEER_PEERMESSAGE_H
#define ANVIL_PEER_PEERMESSAGE_H

#include "Peer/BoundedUnpack.h"
#include "Peer/PeerNetwork.h"

#include <string>
#include <string_view>

namespace anvil {

/// Encodes a typed message with msgpack.
template <class Message> std::string packMessage(const Message &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return std::string(Buffer.data(), Buffer.size());
}

/// Decodes a typed message. Errors: protocol, when the bytes do not match it.
template <class Message> Result<Message> unpackMessage(std::string_view Bytes) {
  Error Problem{ErrorCode::Protocol, "peer message", "cannot be decoded", ""};
  try {
    auto Handle = unpackBounded(Bytes);
    return Handle.get().template as<Message>();
  } catch (const std::exception &) {
    // msgpack throws on every error in its input.
    return Problem;
  }
}

/// Sends a typed request to a peer and decodes the reply. Errors: those of
/// `PeerNetwork::request`, and protocol when the reply cannot be decoded.
template <class Reply, class Request>
boost::asio::awaitable<Result<Reply>> callPeer(PeerNetwork &Network,
                                               std::string To, Request Value,
                                               Duration Timeout) {
  auto Bytes = co_await Network.request(std::move(To), Request::Type,
                                        packMessage(Value), Timeout);
  if (!isOk(Bytes))
    co_return errorOf(Bytes);
  co_return unpackMessage<Reply>(valueOf(Bytes));
}

/// Sends a typed notice, which has no reply.
template <class Message>
void notifyPeer(PeerNetwork &Network, const std::string &To,
                const Message &Value) {
  Network.notify(To, Message::Type, packMessage(Value));
}

/// Registers a handler of typed requests. `Handle(From, Request)` returns an
/// awaitable of the reply. The reply to a request that cannot be decoded is an
/// error.
template <class Request, class Handler>
void handlePeerRequests(PeerNetwork &Network, Handler Handle) {
  Network.onRequest(Request::Type,
                    [Handle](std::string From, std::string Payload)
                        -> boost::asio::awaitable<Result<std::string>> {
                      auto Decoded = unpackMessage<Request>(Payload);
                      if (!isOk(Decoded))
                        co_return errorOf(Decoded);
                      auto Reply = co_await Handle(std::move(From),
                                                   std::move(valueOf(Decoded)));
                      co_return packMessage(Reply);
                    });
}

/// Registers a handler of typed notices. Notices that cannot be decoded are
/// dropped.
template <class Message, class Handler>
void handlePeerNotices(PeerNetwork &Network, Handler Handle) {
  Network.onNotice(Message::Type,
                   [Handle](const std::string &From, std::string Payload) {
                     auto Decoded = unpackMessage<Message>(Payload);
                     if (isOk(Decoded))
                       Handle(From, std::move(valueOf(Decoded)));
                   });
}

} // namespace anvil

#endif // ANVIL_PEER_PEERMESSAGE_H
