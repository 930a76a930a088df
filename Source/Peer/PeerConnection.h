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

/// A TCP connection that carries frames in both directions. Frames are written
/// in the order of the calls to `send`; a connection whose write queue exceeds
/// its size limit is closed.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  using FrameHandler = std::function<void(PeerConnection &, Frame)>;
  using CloseHandler = std::function<void(PeerConnection &, const Error &)>;

  explicit PeerConnection(boost::asio::ip::tcp::socket Socket);

  /// Starts reading. Calls `OnFrame` for each frame and `OnClose` once at the
  /// end, when the connection has closed.
  void run(FrameHandler OnFrame, CloseHandler OnClose);

  /// Queues a frame. Does nothing when the connection is closed.
  void send(const Frame &Message);

  void close();

  bool isOpen() const { return Open_; }

  /// The peer's VM name; empty until its hello message has arrived.
  std::string PeerName_;

private:
  /// Both coroutines keep the connection alive through `Self`.
  boost::asio::awaitable<void> readFrames(std::shared_ptr<PeerConnection> Self,
                                          FrameHandler OnFrame,
                                          CloseHandler OnClose);
  boost::asio::awaitable<void> writeQueue(std::shared_ptr<PeerConnection> Self);

  boost::asio::ip::tcp::socket Socket_;
  std::deque<std::string> WriteQueue_;
  std::size_t QueuedBytes_ = 0;
  bool Writing_ = false;
  bool Open_ = true;
};

/// Connects to a peer. Errors: unavailable, timeout.
boost::asio::awaitable<Result<std::shared_ptr<PeerConnection>>>
connectPeer(Endpoint Server, Duration Timeout);

} // namespace anvil

#endif // ANVIL_PEER_PEERCONNECTION_H
