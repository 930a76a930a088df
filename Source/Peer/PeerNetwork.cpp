#include "Peer/PeerNetwork.h"

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

/// How long a connection to a peer may take to open.
static constexpr Duration ConnectTimeout = std::chrono::seconds(1);

/// The first message on each connection that a VM opens.
struct HelloMessage {
  static constexpr MessageType Type = MessageType::Hello;
  std::string Vm_;
  MSGPACK_DEFINE(Vm_)
};

/// A reply's payload: the answer, or why there is none.
struct ReplyEnvelope {
  bool Good_ = true;
  std::string Payload_;
  MSGPACK_DEFINE(Good_, Payload_)
};

struct PeerNetwork::Core : std::enable_shared_from_this<PeerNetwork::Core> {
  using ConnectionPtr = std::shared_ptr<PeerConnection>;

  /// A request whose reply has not come.
  struct Waiting {
    explicit Waiting(const asio::any_io_executor &Executor)
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
    std::vector<Frame> Unsent_;
    std::vector<std::shared_ptr<Waiting>> UnsentWaiting_;
  };

  Core(asio::any_io_executor Executor, std::string Self, Endpoint Listen,
       std::shared_ptr<Metrics> Counts)
      : Executor_(std::move(Executor)), Acceptor_(Executor_),
        Self_(std::move(Self)), Listen_(std::move(Listen)),
        Counts_(std::move(Counts)) {}

  asio::awaitable<void> accept();
  asio::awaitable<void> connect(std::string Peer);
  void attach(const ConnectionPtr &Connection);
  void receive(PeerConnection &From, Frame Given);
  void closed(PeerConnection &From, const Error &Cause);
  void badFrame(PeerConnection &From, const std::string &What);
  void sendTo(const std::string &Peer, Frame Given,
              std::shared_ptr<Waiting> Wait);
  asio::awaitable<void> answer(ConnectionPtr From, Frame Given);
  void countBytes(const char *Direction, const Frame &Given);

  asio::any_io_executor Executor_;
  tcp::acceptor Acceptor_;
  std::string Self_;
  Endpoint Listen_;
  std::shared_ptr<Metrics> Counts_;
  std::map<std::string, Link> Links_;
  std::set<ConnectionPtr> Accepted_;
  std::map<MessageType, RequestHandler> RequestHandlers_;
  std::map<MessageType, NoticeHandler> NoticeHandlers_;
  std::map<std::uint64_t, std::shared_ptr<Waiting>> Waiting_;
  std::uint64_t NextCorrelation_ = 1;
};

PeerNetwork::PeerNetwork(asio::any_io_executor Executor, std::string Self,
                         Endpoint Listen, std::shared_ptr<Metrics> Counts)
    : Core_(std::make_shared<Core>(std::move(Executor), std::move(Self),
                                   std::move(Listen), std::move(Counts))) {}

PeerNetwork::~PeerNetwork() { stop(); }

Status PeerNetwork::start() {
  error_code Cause;
  auto Address = asio::ip::make_address(Core_->Listen_.Address_, Cause);
  tcp::endpoint Local(Address, Core_->Listen_.Port_);
  if (!Cause)
    Core_->Acceptor_.open(Local.protocol(), Cause);
  if (!Cause)
    Core_->Acceptor_.set_option(tcp::acceptor::reuse_address(true), Cause);
  if (!Cause)
    Core_->Acceptor_.bind(Local, Cause);
  if (!Cause)
    Core_->Acceptor_.listen(asio::socket_base::max_listen_connections, Cause);
  if (Cause)
    return Error{ErrorCode::Unavailable, Core_->Listen_.text(),
                 "can't listen for peers: " + Cause.message(),
                 "choose a free port of this VM"};
  spawn(Core_->Executor_, Core_->accept());
  return std::monostate{};
}

void PeerNetwork::stop() {
  error_code Ignored;
  Core_->Acceptor_.close(Ignored);
  for (const auto &Connection : Core_->Accepted_)
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

void PeerNetwork::Core::countBytes(const char *Direction, const Frame &Given) {
  Counts_->count("anvil_peer_bytes_total",
                 {{"direction", Direction},
                  {"type", std::string(messageTypeName(Given.Type_))}},
                 static_cast<double>(FrameHeadBytes + Given.Payload_.size()));
}

asio::awaitable<void> PeerNetwork::Core::accept() {
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
    Accepted_.insert(Connection);
    attach(Connection);
  }
}

void PeerNetwork::Core::attach(const ConnectionPtr &Connection) {
  auto Self = shared_from_this();
  Connection->run(
      [Self](PeerConnection &From, Frame Given) {
        Self->receive(From, std::move(Given));
      },
      [Self](PeerConnection &From, const Error &Cause) {
        Self->closed(From, Cause);
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
  auto Unsent = std::exchange(To.Unsent_, {});
  auto Waits = std::exchange(To.UnsentWaiting_, {});
  if (!isOk(Opened)) {
    for (const auto &Wait : Waits) {
      Wait->Reply_ =
          Error{ErrorCode::Unavailable, Peer, errorOf(Opened).Message_, ""};
      Wait->Timer_.cancel();
    }
    co_return;
  }
  To.Connection_ = valueOf(Opened);
  To.Connection_->Peer_ = Peer;
  attach(To.Connection_);
  Frame Hello;
  Hello.Payload_ = packMessage(HelloMessage{Self_});
  To.Connection_->send(Hello);
  for (const auto &Wait : Waits)
    Wait->Connection_ = To.Connection_;
  for (const Frame &Given : Unsent)
    To.Connection_->send(Given);
}

void PeerNetwork::Core::sendTo(const std::string &Peer, Frame Given,
                               std::shared_ptr<Waiting> Wait) {
  Link &To = Links_.at(Peer);
  countBytes("sent", Given);
  if (To.Connection_ && To.Connection_->isOpen()) {
    if (Wait)
      Wait->Connection_ = To.Connection_;
    To.Connection_->send(Given);
    return;
  }
  To.Unsent_.push_back(std::move(Given));
  if (Wait)
    To.UnsentWaiting_.push_back(std::move(Wait));
  if (std::exchange(To.Connecting_, true))
    return;
  spawn(Executor_, connect(Peer));
}

void PeerNetwork::Core::badFrame(PeerConnection &From,
                                 const std::string &What) {
  Counts_->count("anvil_peer_bad_frames_total");
  logEvent(LogLevel::Warning, "peer_bad_frame",
           {{"peer", From.Peer_}, {"problem", What}});
  From.close();
}

void PeerNetwork::Core::receive(PeerConnection &From, Frame Given) {
  countBytes("received", Given);
  if (Given.Type_ == MessageType::Hello) {
    auto Hello = unpackMessage<HelloMessage>(Given.Payload_);
    if (!isOk(Hello))
      return badFrame(From, errorOf(Hello).describe());
    From.Peer_ = valueOf(Hello).Vm_;
    return;
  }
  if (From.Peer_.empty())
    return badFrame(From, "a message came before the hello");
  if (Given.Kind_ == FrameKind::Reply) {
    auto Found = Waiting_.find(Given.Correlation_);
    if (Found == Waiting_.end())
      return;
    auto Envelope = unpackMessage<ReplyEnvelope>(Given.Payload_);
    if (!isOk(Envelope))
      return badFrame(From, errorOf(Envelope).describe());
    if (valueOf(Envelope).Good_)
      Found->second->Reply_ = std::move(valueOf(Envelope).Payload_);
    else
      Found->second->Reply_ =
          Error{ErrorCode::Refused, From.Peer_, valueOf(Envelope).Payload_, ""};
    Found->second->Timer_.cancel();
    return;
  }
  if (Given.Kind_ == FrameKind::Request) {
    spawn(Executor_, answer(From.shared_from_this(), std::move(Given)));
    return;
  }
  auto Handler = NoticeHandlers_.find(Given.Type_);
  if (Handler != NoticeHandlers_.end())
    Handler->second(From.Peer_, std::move(Given.Payload_));
}

asio::awaitable<void> PeerNetwork::Core::answer(ConnectionPtr From,
                                                Frame Given) {
  auto Self = shared_from_this();
  ReplyEnvelope Envelope{false, "this VM has no handler for the message"};
  auto Handler = RequestHandlers_.find(Given.Type_);
  if (Handler != RequestHandlers_.end()) {
    auto Reply =
        co_await Handler->second(From->Peer_, std::move(Given.Payload_));
    Envelope.Good_ = isOk(Reply);
    Envelope.Payload_ =
        isOk(Reply) ? std::move(valueOf(Reply)) : errorOf(Reply).describe();
  }
  Frame Answer{FrameKind::Reply, Given.Type_, Given.Correlation_,
               packMessage(Envelope)};
  countBytes("sent", Answer);
  From->send(Answer);
}

void PeerNetwork::Core::closed(PeerConnection &From, const Error &Cause) {
  if (Cause.Code_ != ErrorCode::ConnectionClosed)
    badFrame(From, Cause.describe());
  auto Self = From.shared_from_this();
  for (auto &[Correlation, Wait] : Waiting_) {
    if (Wait->Reply_ || Wait->Connection_.lock() != Self)
      continue;
    Wait->Reply_ = Error{ErrorCode::ConnectionClosed, From.Peer_,
                         "the connection closed before the reply", ""};
    Wait->Timer_.cancel();
  }
  Accepted_.erase(Self);
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
    co_return Error{ErrorCode::NotFound, To, "is not a known VM", ""};
  auto Wait = std::make_shared<Core::Waiting>(Core->Executor_);
  std::uint64_t Correlation = Core->NextCorrelation_++;
  Core->Waiting_[Correlation] = Wait;
  Wait->Timer_.expires_after(Timeout);
  Core->sendTo(To, {FrameKind::Request, Type, Correlation, std::move(Payload)},
               Wait);
  error_code Cause;
  if (!Wait->Reply_)
    co_await Wait->Timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, Cause));
  Core->Waiting_.erase(Correlation);
  if (!Wait->Reply_)
    co_return Error{ErrorCode::Timeout, To, "no reply in time", ""};
  co_return std::move(*Wait->Reply_);
}

void PeerNetwork::notify(const std::string &To, MessageType Type,
                         std::string Payload) {
  if (Core_->Links_.count(To))
    Core_->sendTo(To, {FrameKind::Notice, Type, 0, std::move(Payload)},
                  nullptr);
}

} // namespace anvil
