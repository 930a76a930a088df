#ifndef ANVIL_PEER_PEERMESSAGE_H
#define ANVIL_PEER_PEERMESSAGE_H

#include "Peer/BoundedUnpack.h"
#include "Peer/PeerNetwork.h"

#include <string>
#include <string_view>

namespace anvil {

/// The msgpack bytes of a typed message.
template <class Message> std::string packMessage(const Message &Given) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Given);
  return std::string(Buffer.data(), Buffer.size());
}

/// Reads a typed message. Bytes of another shape are a protocol error.
template <class Message> Result<Message> unpackMessage(std::string_view Bytes) {
  Error Problem{ErrorCode::Protocol, "peer message", "can't be read", ""};
  try {
    auto Handle = unpackBounded(Bytes);
    return Handle.get().template as<Message>();
  } catch (const std::exception &) {
    // msgpack reports every fault of its input by throwing.
    return Problem;
  }
}

/// Asks a peer and reads its typed reply. Errors: those of
/// `PeerNetwork::request`, and protocol when the reply has another shape.
template <class Reply, class Request>
boost::asio::awaitable<Result<Reply>> callPeer(PeerNetwork &Network,
                                               std::string To, Request Given,
                                               Duration Timeout) {
  auto Bytes = co_await Network.request(std::move(To), Request::Type,
                                        packMessage(Given), Timeout);
  if (!isOk(Bytes))
    co_return errorOf(Bytes);
  co_return unpackMessage<Reply>(valueOf(Bytes));
}

/// Sends a typed message that has no reply.
template <class Message>
void notifyPeer(PeerNetwork &Network, const std::string &To,
                const Message &Given) {
  Network.notify(To, Message::Type, packMessage(Given));
}

/// Answers typed requests. `Handle(From, Request)` is an awaitable of the
/// reply; a request of another shape is answered with the error.
template <class Request, class Handler>
void answerPeers(PeerNetwork &Network, Handler Handle) {
  Network.onRequest(Request::Type,
                    [Handle](std::string From, std::string Payload)
                        -> boost::asio::awaitable<Result<std::string>> {
                      auto Given = unpackMessage<Request>(Payload);
                      if (!isOk(Given))
                        co_return errorOf(Given);
                      auto Reply = co_await Handle(std::move(From),
                                                   std::move(valueOf(Given)));
                      co_return packMessage(Reply);
                    });
}

/// Takes typed messages without reply; those of another shape are dropped.
template <class Message, class Handler>
void listenToPeers(PeerNetwork &Network, Handler Handle) {
  Network.onNotice(Message::Type,
                   [Handle](const std::string &From, std::string Payload) {
                     auto Given = unpackMessage<Message>(Payload);
                     if (isOk(Given))
                       Handle(From, std::move(valueOf(Given)));
                   });
}

} // namespace anvil

#endif // ANVIL_PEER_PEERMESSAGE_H
