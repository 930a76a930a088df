#include "Standins/RepeatingTarget.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <istream>
#include <string_view>
#include <utility>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct RepeatingTarget::Caller {
  explicit Caller(asio::io_context &Loop) : Socket_(Loop) {}

  tcp::socket Socket_;
  asio::streambuf Buffer_;
  std::thread Thread_;
};

RepeatingTarget::RepeatingTarget(std::string Id)
    : Id_(std::move(Id)), Loop_(1),
      Acceptor_(Loop_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      Thread_([this] { accept(); }) {}

RepeatingTarget::~RepeatingTarget() {
  {
    std::lock_guard Lock(Mutex_);
    Stopped_ = true;
  }
  // A connection of its own ends the blocking accept.
  error_code Ignored;
  tcp::socket Waker(Loop_);
  Waker.connect(Acceptor_.local_endpoint(), Ignored);
  Thread_.join();
  for (const auto &From : Callers_) {
    From->Socket_.shutdown(tcp::socket::shutdown_both, Ignored);
    From->Thread_.join();
  }
}

void RepeatingTarget::refuse(int Count, bool HasId) {
  std::lock_guard Lock(Mutex_);
  Refusals_ = Count;
  RefusalsHaveId_ = HasId;
}

int RepeatingTarget::runCount(const std::string &RequestId) const {
  std::lock_guard Lock(Mutex_);
  auto Found = Runs_.find(RequestId);
  return Found == Runs_.end() ? 0 : Found->second;
}

int RepeatingTarget::repeatCount() const {
  std::lock_guard Lock(Mutex_);
  return Repeats_;
}

void RepeatingTarget::accept() {
  while (true) {
    error_code Cause;
    auto From = std::make_unique<Caller>(Loop_);
    Acceptor_.accept(From->Socket_, Cause);
    std::lock_guard Lock(Mutex_);
    if (Stopped_)
      return;
    if (Cause)
      continue;
    Caller &Accepted = *From;
    Accepted.Thread_ = std::thread([this, &Accepted] { serve(Accepted); });
    Callers_.push_back(std::move(From));
  }
}

std::string RepeatingTarget::replyTo(const std::string &Target,
                                     const std::string &RequestId,
                                     std::string &Refusal) {
  if (Target == "/api/report") {
    std::string Body = R"({"Models":[{"Name":"base","Version":1,)"
                       R"("Adapters":[]}],"Busy":false,"Seq":0,"Pending":[]})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  }
  std::string Id = "X-Request-Id: " + RequestId + "\r\n";
  std::lock_guard Lock(Mutex_);
  if (Refusals_ > 0) {
    --Refusals_;
    Refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" +
              (RefusalsHaveId_ ? Id : "") + "Content-Length: 0\r\n\r\n";
    return Refusal;
  }
  ++Runs_[RequestId];
  std::string Event = "id: 1\ndata: one\n\n";
  return "HTTP/1.1 200 OK\r\nX-Server-Seal: seal-of-" + Id_ + "\r\n" + Id +
         "Content-Type: text/event-stream\r\nContent-Length: " +
         std::to_string(Event.size()) + "\r\n\r\n" + Event;
}

void RepeatingTarget::serve(Caller &From) {
  std::string Refusal;
  error_code Cause;
  while (!Cause) {
    asio::read_until(From.Socket_, From.Buffer_, "\r\n\r\n", Cause);
    if (Cause)
      break;
    std::istream Head(&From.Buffer_);
    std::string Method;
    std::string Target;
    std::string Line;
    Head >> Method >> Target;
    std::getline(Head, Line);
    std::string RequestId;
    std::size_t BodyBytes = 0;
    auto ValueOf = [&](std::string_view Name) -> std::string {
      return Line.starts_with(Name)
                 ? Line.substr(Name.size(), Line.size() - Name.size() - 1)
                 : "";
    };
    while (std::getline(Head, Line) && Line != "\r") {
      if (auto Value = ValueOf("X-Request-Id: "); !Value.empty())
        RequestId = Value;
      if (auto Value = ValueOf("Content-Length: "); !Value.empty())
        BodyBytes = std::stoul(Value);
    }
    if (From.Buffer_.size() < BodyBytes)
      asio::read(From.Socket_, From.Buffer_,
                 asio::transfer_exactly(BodyBytes - From.Buffer_.size()),
                 Cause);
    From.Buffer_.consume(BodyBytes);
    std::string Repeated = std::exchange(Refusal, {});
    if (!Repeated.empty()) {
      std::lock_guard Lock(Mutex_);
      ++Repeats_;
    }
    asio::write(From.Socket_,
                asio::buffer(Repeated + replyTo(Target, RequestId, Refusal)),
                Cause);
  }
  From.Socket_.shutdown(tcp::socket::shutdown_both, Cause);
}

} // namespace anvil
