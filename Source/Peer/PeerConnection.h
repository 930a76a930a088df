#ifndef ANVIL_PEER_PEERCONNECTION_H
#define ANVIL_PEER_PEERCONNECTION_H

#include "Http/Endpoint.h"
#include "Kernel/Clock.h"
#include "Peer/FrameCodec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace anvil {

/// One TCP connection that carries frames both ways. Frames are written in the
/// order given; a connection that can't take them in time is closed.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  using FrameHook = std::function<void(PeerConnection &, Frame)>;
  using CloseHook = std::function<void(PeerConnection &, const Error &)>;

  explicit PeerConnection(boost::asio::ip::tcp::socket Socket);

  /// Begins to read. Hooks are called until the connection closes; `OnClose` is
  /// the last call.
  void run(FrameHook OnFrame, CloseHook OnClose);

  /// Queues a frame. Nothing happens when the connection is closed.
  void send(const Frame &Given);

  /// Closes the connection.
  void close();

  bool isOpen() const { return Open_; }

  /// The name that the other side gave itself; empty before its hello.
  std::string Peer_;

private:
  /// Both keep the connection alive while they run.
  boost::asio::awaitable<void> readFrames(std::shared_ptr<PeerConnection> Self,
                                          FrameHook OnFrame, CloseHook OnClose);
  boost::asio::awaitable<void> writeQueue(std::shared_ptr<PeerConnection> Self);

  boost::asio::ip::tcp::socket Socket_;
  std::deque<std::string> Queue_;
  std::size_t QueuedBytes_ = 0;
  bool Writing_ = false;
  bool Open_ = true;
};

/// Connects to a peer. Errors: unavailable, timeout.
boost::asio::awaitable<Result<std::shared_ptr<PeerConnection>>>
connectPeer(Endpoint Server, Duration Timeout);

} // namespace anvil

#endif // ANVIL_PEER_PEERCONNECTION_H
