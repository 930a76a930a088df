#include "Peer/PeerNetwork.h"

#include "Http/BoundAddress.h"
#include "Http/Spawn.h"

#include "Peer/PeerConnection.h"
#include "Peer/PeerMessage.h"
#include "Telemetry/Log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Timeout of a connection attempt to a peer.
static constexpr Duration ConnectTimeout = std::chrono::seconds(1);

/// The first message on each connection, sent by the VM that opens it.
struct HelloMessage {
  static constexpr MessageType Type = MessageType::Hello;
  std::string Vm_;
  MSGPACK_DEFINE(Vm_)
};

/// The payload of a reply frame: the reply, or the error text.
struct ReplyEnvelope {
  bool Succeeded_ = true;
  std::string Payload_;
  MSGPACK_DEFINE(Succeeded_, Payload_)
};

/// The network's state, shared with its coroutines, which may outlive the
/// `PeerNetwork`.
struct PeerNetwork::Core : std::enable_shared_from_this<PeerNetwork::Core> {
  using ConnectionPtr = std::shared_ptr<PeerConnection>;

  /// A request that waits for its reply.
  struct PendingRequest {
    explicit PendingRequest(const asio::any_io_executor &Executor)
        : Timer_(Executor) {}
    asio::steady_timer Timer_;
    std::weak_ptr<PeerConnection> Connection_;
    std::optional<Result<std::string>> Reply_;
  };

  /// The connection to one peer.
  struct Link {
    Endpoint Address_;
    ConnectionPtr Connection_;
    bool Connecting_ = false;
    std::vector<Frame> UnsentFrames_;
    std::vector<std::shared_ptr<PendingRequest>> UnsentRequests_;
  };

  Core(asio::any_io_executor Executor, std::string Self, Endpoint Listen,
       std::shared_ptr<Metrics> Counts)
      : Executor_(std::move(Executor)), Acceptor_(Executor_),
        Self_(std::move(Self)), Listen_(std::move(Listen)),
        Counts_(std::move(Counts)) {}

  asio::awaitable<void> acceptConnections();
  asio::awaitable<void> connect(std::string Peer);
  void startReading(const ConnectionPtr &Connection);
  void handleFrame(PeerConnection &From, Frame Message);
  void onClosed(PeerConnection &From, const Error &Cause);
  void rejectFrame(PeerConnection &From, const std::string &Problem);
  void sendTo(const std::string &Peer, Frame Message,
              std::shared_ptr<PendingRequest> Pending);
  asio::awaitable<void> handleRequest(ConnectionPtr From, Frame Message);
  void countBytes(const char *Direction, const Frame &Message);

  asio::any_io_executor Executor_;
  tcp::acceptor Acceptor_;
  std::string Self_;
  Endpoint Listen_;
  std::shared_ptr<Metrics> Counts_;
  std::map<std::string, Link> Links_;
  std::set<ConnectionPtr> AcceptedConnections_;
  std::map<MessageType, RequestHandler> RequestHandlers_;
  std::map<MessageType, NoticeHandler> NoticeHandlers_;
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> PendingRequests_;
  std::uint64_t NextCorrelation_ = 1;
};

PeerNetwork::PeerNetwork(asio::any_io_executor Executor, std::string Self,
                         Endpoint Listen, std::shared_ptr<Metrics> Counts)
    : Core_(std::make_shared<Core>(std::move(Executor), std::move(Self),
                                   std::move(Listen), std::move(Counts))) {}

PeerNetwork::~PeerNetwork() { stop(); }

Status PeerNetwork::claimResources() {
  return bindAcceptor(Core_->Acceptor_, Core_->Listen_);
}

Status PeerNetwork::start() {
  Status Listening = listenAt(Core_->Acceptor_, Core_->Listen_);
  if (!isOk(Listening))
    return Listening;
  spawn(Core_->Executor_, Core_->acceptConnections());
  return std::monostate{};
}

void PeerNetwork::stop() {
  error_code Ignored;
  Core_->Acceptor_.close(Ignored);
  for (const auto &Connection : Core_->AcceptedConnections_)
    Connection->close();
  for (auto &[Peer, Link] : Core_->Links_)
    if (Link.Connection_)
      Link.Connection_->close();
}

std::uint16_t PeerNetwork::port() const {
  error_code Ignored;
  return Core_->Acceptor_.local_endpoint(Ignored).port();
}

const std::string &PeerNetwork::self() const { return Core_->Self_; }

void PeerNetwork::setPeers(std::map<std::string, Endpoint> Peers) {
  Peers.erase(Core_->Self_);
  for (auto &[Peer, Link] : Core_->Links_) {
    auto Found = Peers.find(Peer);
    bool Moved = Found == Peers.end() || Found->second != Link.Address_;
    if (Moved && Link.Connection_)
      Link.Connection_->close();
  }
  std::erase_if(Core_->Links_,
                [&](const auto &Entry) { return !Peers.count(Entry.first); });
  for (const auto &[Peer, Address] : Peers)
    Core_->Links_[Peer].Address_ = Address;
}

std::vector<std::string> PeerNetwork::peers() const {
  std::vector<std::string> Names;
  for (const auto &[Peer, Link] : Core_->Links_)
    Names.push_back(Peer);
  return Names;
}

void PeerNetwork::onRequest(MessageType Type, RequestHandler Handler) {
  Core_->RequestHandlers_[Type] = std::move(Handler);
}

void PeerNetwork::onNotice(MessageType Type, NoticeHandler Handler) {
  Core_->NoticeHandlers_[Type] = std::move(Handler);
}

void PeerNetwork::Core::countBytes(const char *Direction,
                                   const Frame &Message) {
  Counts_->count(
      "anvil_peer_bytes_total",
      {{"direction", Direction},
       {"type", std::string(messageTypeName(Message.Type_))}},
      static_cast<double>(FrameHeaderBytes + Message.Payload_.size()));
}

asio::awaitable<void> PeerNetwork::Core::acceptConnections() {
  auto Self = shared_from_this();
  while (true) {
    error_code Cause;
    tcp::socket Socket = co_await Acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, Cause));
    if (Cause == asio::error::operation_aborted)
      co_return;
    if (Cause)
      continue;
    auto Connection = std::make_shared<PeerConnection>(std::move(Socket));
    AcceptedConnections_.insert(Connection);
    startReading(Connection);
  }
}

void PeerNetwork::Core::startReading(const ConnectionPtr &Connection) {
  auto Self = shared_from_this();
  Connection->run(
      [Self](PeerConnection &From, Frame Message) {
        Self->handleFrame(From, std::move(Message));
      },
      [Self](PeerConnection &From, const Error &Cause) {
        Self->onClosed(From, Cause);
      });
}

asio::awaitable<void> PeerNetwork::Core::connect(std::string Peer) {
  auto Self = shared_from_this();
  auto Opened = co_await connectPeer(Links_[Peer].Address_, ConnectTimeout);
  auto Found = Links_.find(Peer);
  if (Found == Links_.end())
    co_return;
  Link &To = Found->second;
  To.Connecting_ = false;
  auto Frames = std::exchange(To.UnsentFrames_, {});
  auto Requests = std::exchange(To.UnsentRequests_, {});
  if (!isOk(Opened)) {
    for (const auto &Pending : Requests) {
      Pending->Reply_ =
          Error{ErrorCode::Unavailable, Peer, errorOf(Opened).Message_, ""};
      Pending->Timer_.cancel();
    }
    co_return;
  }
  To.Connection_ = valueOf(Opened);
  To.Connection_->PeerName_ = Peer;
  startReading(To.Connection_);
  Frame Hello;
  Hello.Payload_ = packMessage(HelloMessage{Self_});
  To.Connection_->send(Hello);
  for (const auto &Pending : Requests)
    Pending->Connection_ = To.Connection_;
  for (const Frame &Message : Frames)
    To.Connection_->send(Message);
}

void PeerNetwork::Core::sendTo(const std::string &Peer, Frame Message,
                               std::shared_ptr<PendingRequest> Pending) {
  Link &To = Links_.at(Peer);
  countBytes("sent", Message);
  if (To.Connection_ && To.Connection_->isOpen()) {
    if (Pending)
      Pending->Connection_ = To.Connection_;
    To.Connection_->send(Message);
    return;
  }
  To.UnsentFrames_.push_back(std::move(Message));
  if (Pending)
    To.UnsentRequests_.push_back(std::move(Pending));
  if (std::exchange(To.Connecting_, true))
    return;
  spawn(Executor_, connect(Peer));
}

void PeerNetwork::Core::rejectFrame(PeerConnection &From,
                                    const std::string &Problem) {
  Counts_->count("anvil_peer_bad_frames_total");
  logEvent(LogLevel::Warning, "peer_bad_frame",
           {{"peer", From.PeerName_}, {"problem", Problem}});
  From.close();
}

void PeerNetwork::Core::handleFrame(PeerConnection &From, Frame Message) {
  countBytes("received", Message);
  if (Message.Type_ == MessageType::Hello) {
    auto Hello = unpackMessage<HelloMessage>(Message.Payload_);
    if (!isOk(Hello))
      return rejectFrame(From, errorOf(Hello).describe());
    From.PeerName_ = valueOf(Hello).Vm_;
    return;
  }
  if (From.PeerName_.empty())
    return rejectFrame(From, "received a message before the hello");
  if (Message.Kind_ == FrameKind::Reply) {
    auto Found = PendingRequests_.find(Message.CorrelationId_);
    if (Found == PendingRequests_.end())
      return;
    auto Envelope = unpackMessage<ReplyEnvelope>(Message.Payload_);
    if (!isOk(Envelope))
      return rejectFrame(From, errorOf(Envelope).describe());
    if (valueOf(Envelope).Succeeded_)
      Found->second->Reply_ = std::move(valueOf(Envelope).Payload_);
    else
      Found->second->Reply_ = Error{ErrorCode::Refused, From.PeerName_,
                                    valueOf(Envelope).Payload_, ""};
    Found->second->Timer_.cancel();
    return;
  }
  if (Message.Kind_ == FrameKind::Request) {
    spawn(Executor_,
          handleRequest(From.shared_from_this(), std::move(Message)));
    return;
  }
  auto Handler = NoticeHandlers_.find(Message.Type_);
  if (Handler != NoticeHandlers_.end())
    Handler->second(From.PeerName_, std::move(Message.Payload_));
}

asio::awaitable<void> PeerNetwork::Core::handleRequest(ConnectionPtr From,
                                                       Frame Message) {
  auto Self = shared_from_this();
  ReplyEnvelope Envelope{false, "no handler for this message type"};
  auto Handler = RequestHandlers_.find(Message.Type_);
  if (Handler != RequestHandlers_.end()) {
    auto Reply =
        co_await Handler->second(From->PeerName_, std::move(Message.Payload_));
    Envelope.Succeeded_ = isOk(Reply);
    Envelope.Payload_ =
        isOk(Reply) ? std::move(valueOf(Reply)) : errorOf(Reply).describe();
  }
  Frame ReplyFrame{FrameKind::Reply, Message.Type_, Message.CorrelationId_,
                   packMessage(Envelope)};
  countBytes("sent", ReplyFrame);
  From->send(ReplyFrame);
}

void PeerNetwork::Core::onClosed(PeerConnection &From, const Error &Cause) {
  if (Cause.Code_ != ErrorCode::ConnectionClosed)
    rejectFrame(From, Cause.describe());
  auto Self = From.shared_from_this();
  for (auto &[Correlation, Pending] : PendingRequests_) {
    if (Pending->Reply_ || Pending->Connection_.lock() != Self)
      continue;
    Pending->Reply_ = Error{ErrorCode::ConnectionClosed, From.PeerName_,
                            "connection closed before the reply", ""};
    Pending->Timer_.cancel();
  }
  AcceptedConnections_.erase(Self);
  for (auto &[Peer, Link] : Links_)
    if (Link.Connection_ == Self)
      Link.Connection_.reset();
}

asio::awaitable<Result<std::string>> PeerNetwork::request(std::string To,
                                                          MessageType Type,
                                                          std::string Payload,
                                                          Duration Timeout) {
  auto Core = Core_;
  if (!Core->Links_.count(To))
    co_return Error{ErrorCode::NotFound, To, "unknown VM", ""};
  auto Pending = std::make_shared<Core::PendingRequest>(Core->Executor_);
  std::uint64_t Correlation = Core->NextCorrelation_++;
  Core->PendingRequests_[Correlation] = Pending;
  Pending->Timer_.expires_after(Timeout);
  Core->sendTo(To, {FrameKind::Request, Type, Correlation, std::move(Payload)},
               Pending);
  error_code Cause;
  if (!Pending->Reply_)
    co_await Pending->Timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, Cause));
  Core->PendingRequests_.erase(Correlation);
  if (!Pending->Reply_)
    co_return Error{ErrorCode::Timeout, To, "no reply within the timeout", ""};
  co_return std::move(*Pending->Reply_);
}

void PeerNetwork::notify(const std::string &To, MessageType Type,
                         std::string Payload) {
  if (Core_->Links_.count(To))
    Core_->sendTo(To, {FrameKind::Notice, Type, 0, std::move(Payload)},
                  nullptr);
}

} // namespace anvil
