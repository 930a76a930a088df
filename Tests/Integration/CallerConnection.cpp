#include "Integration/CallerConnection.h"

#include <algorithm>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace anvil {

using Clock = std::chrono::steady_clock;

nlohmann::json CallerReply::json() const {
  auto Parsed = nlohmann::json::parse(Body_, nullptr, false);
  return Parsed.is_discarded() ? nlohmann::json() : Parsed;
}

std::string CallerReply::problem(const std::string &Field) const {
  nlohmann::json Body = json();
  if (!Body.is_object() || !Body.contains("error"))
    return "";
  nlohmann::json Value = Body["error"].value(Field, nlohmann::json());
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

bool CallerReply::isCompleteStream() const {
  return Complete_ && Status_ == 200 && Body_.ends_with("data: [DONE]\n\n");
}

CallerConnection::CallerConnection(std::uint16_t Port,
                                   const std::string &Address) {
  Socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Server{};
  Server.sin_family = AF_INET;
  Server.sin_port = htons(Port);
  ::inet_pton(AF_INET, Address.c_str(), &Server.sin_addr);
  Closed_ = ::connect(Socket_, reinterpret_cast<sockaddr *>(&Server),
                      sizeof(Server)) != 0;
}

CallerConnection::~CallerConnection() { ::close(Socket_); }

void CallerConnection::sendRaw(std::string_view Text) {
  while (!Text.empty()) {
    ssize_t Sent = ::send(Socket_, Text.data(), Text.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return;
    Text.remove_prefix(static_cast<std::size_t>(Sent));
  }
}

void CallerConnection::send(const CallerRequest &Request) {
  Received_.clear();
  Reply_ = {};
  std::string Text = Request.Method_ + " " + Request.Target_ + " HTTP/1.1\r\n";
  Text += "Host: anvil\r\n";
  for (const auto &[Name, Value] : Request.Headers_)
    Text += Name + ": " + Value + "\r\n";
  Text += "Content-Length: " + std::to_string(Request.Body_.size()) + "\r\n";
  sendRaw(Text + "\r\n" + Request.Body_);
}

bool CallerConnection::receive(Millis Timeout) {
  if (Closed_)
    return false;
  pollfd Readable{Socket_, POLLIN, 0};
  auto WaitMs = std::max<Millis::rep>(0, Timeout.count());
  if (::poll(&Readable, 1, static_cast<int>(WaitMs)) <= 0)
    return false;
  char Buffer[16384];
  ssize_t Read = ::recv(Socket_, Buffer, sizeof(Buffer), 0);
  Closed_ = Read <= 0;
  if (Read > 0)
    Received_.append(Buffer, static_cast<std::size_t>(Read));
  decode();
  return !Closed_;
}

void CallerConnection::decode() {
  std::size_t HeadEnd = Received_.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return;
  Reply_ = {};
  std::string_view Head(Received_.data(), HeadEnd + 2);
  Reply_.Status_ = std::atoi(Received_.c_str() + Received_.find(' '));
  Head.remove_prefix(Head.find("\r\n") + 2);
  while (!Head.empty()) {
    std::string Line(Head.substr(0, Head.find("\r\n")));
    Head.remove_prefix(Line.size() + 2);
    std::size_t Colon = Line.find(':');
    std::string Name = Line.substr(0, Colon);
    std::ranges::transform(Name, Name.begin(), ::tolower);
    std::size_t Value = Line.find_first_not_of(" ", Colon + 1);
    Reply_.Headers_[Name] =
        Value == std::string::npos ? "" : Line.substr(Value);
  }
  std::string_view Body = std::string_view(Received_).substr(HeadEnd + 4);
  if (Reply_.Headers_.contains("transfer-encoding")) {
    decodeChunks(Body);
  } else if (Reply_.Headers_.contains("content-length")) {
    std::size_t Length = std::stoul(Reply_.Headers_["content-length"]);
    Reply_.Body_ = Body.substr(0, Length);
    Reply_.Complete_ = Body.size() >= Length;
  } else {
    Reply_.Body_ = Body;
    Reply_.Complete_ = Closed_;
  }
}

void CallerConnection::decodeChunks(std::string_view Text) {
  while (true) {
    std::size_t LineEnd = Text.find("\r\n");
    if (LineEnd == std::string_view::npos)
      return;
    std::size_t Size =
        std::stoul(std::string(Text.substr(0, LineEnd)), nullptr, 16);
    Text.remove_prefix(LineEnd + 2);
    Reply_.Body_ += Text.substr(0, std::min(Size, Text.size()));
    if (Text.size() < Size + 2)
      return;
    Text.remove_prefix(Size + 2);
    if (Size == 0) {
      Reply_.Complete_ = true;
      return;
    }
  }
}

CallerReply CallerConnection::finish(Millis Timeout) {
  auto End = Clock::now() + Timeout;
  while (!Reply_.Complete_ && !Closed_ && Clock::now() < End)
    receive(std::chrono::ceil<Millis>(End - Clock::now()));
  return Reply_;
}

bool CallerConnection::readUntil(const std::string &Text, Millis Timeout) {
  auto End = Clock::now() + Timeout;
  auto ContainsText = [&] {
    return Reply_.Body_.find(Text) != std::string::npos;
  };
  while (!ContainsText() && !Reply_.Complete_ && !Closed_ && Clock::now() < End)
    receive(std::chrono::ceil<Millis>(End - Clock::now()));
  return ContainsText();
}

bool CallerConnection::closedWithin(Millis Timeout) {
  auto End = Clock::now() + Timeout;
  while (!Closed_ && Clock::now() < End)
    receive(std::chrono::ceil<Millis>(End - Clock::now()));
  return Closed_;
}

CallerReply callOnce(std::uint16_t Port, const CallerRequest &Request,
                     Millis Timeout) {
  CallerConnection Connection(Port);
  Connection.send(Request);
  return Connection.finish(Timeout);
}

CallerReply sendJson(std::uint16_t Port, const std::string &Method,
                     const std::string &Target, const nlohmann::json &Body) {
  return callOnce(Port, {Method, Target, {}, Body.dump()});
}

} // namespace anvil
