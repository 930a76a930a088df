#ifndef ANVIL_REVIEW_COMMON_NET_H
#define ANVIL_REVIEW_COMMON_NET_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

/// Blocking HTTP/1.1 over loopback sockets, one thread per channel.
namespace review {

using Clock = std::chrono::steady_clock;

inline Clock::time_point startTime() {
  static const Clock::time_point Start = Clock::now();
  return Start;
}

/// Seconds since the program started, on the steady clock.
inline double now() {
  return std::chrono::duration<double>(Clock::now() - startTime()).count();
}

inline void sleepFor(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string headerOf(const Headers &All, const char *Name) {
  for (const auto &[Known, Value] : All)
    if (strcasecmp(Known.c_str(), Name) == 0)
      return Value;
  return {};
}

struct Request {
  std::string Method_;
  std::string Target_;
  Headers Headers_;
  std::string Body_;

  std::string header(const char *Name) const {
    return headerOf(Headers_, Name);
  }
  std::string path() const { return Target_.substr(0, Target_.find('?')); }

  /// A parameter of the query, without percent escapes.
  std::string query(const std::string &Name) const {
    auto Begin = Target_.find('?');
    if (Begin == std::string::npos)
      return {};
    std::string Rest = "&" + Target_.substr(Begin + 1);
    auto Found = Rest.find("&" + Name + "=");
    if (Found == std::string::npos)
      return {};
    Found += Name.size() + 2;
    std::string Raw = Rest.substr(Found, Rest.find('&', Found) - Found);
    std::string Text;
    for (std::size_t Index = 0; Index < Raw.size(); ++Index) {
      if (Raw[Index] == '%' && Index + 2 < Raw.size()) {
        Text += static_cast<char>(
            std::strtol(Raw.substr(Index + 1, 2).c_str(), nullptr, 16));
        Index += 2;
      } else {
        Text += Raw[Index];
      }
    }
    return Text;
  }
};

/// An answer as a client saw it. Status 0 means that the channel ended or the
/// wait was over before a head was complete.
struct Response {
  int Status_ = 0;
  Headers Headers_;
  std::string Body_;
  /// Whether the body is complete by its framing.
  bool Whole_ = false;

  std::string header(const char *Name) const {
    return headerOf(Headers_, Name);
  }
};

/// One TCP channel with a read buffer.
class Channel {
public:
  explicit Channel(int Fd = -1) : Fd_(Fd) {}
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;
  ~Channel() { close(); }

  bool open(const std::string &Address, int Port, double Timeout = 1.0) {
    close();
    Fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, Address.c_str(), &To.sin_addr);
    timeval Limit{};
    Limit.tv_sec = static_cast<time_t>(Timeout);
    Limit.tv_usec = static_cast<suseconds_t>(
        (Timeout - static_cast<double>(Limit.tv_sec)) * 1e6);
    ::setsockopt(Fd_, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
    if (::connect(Fd_, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0) {
      close();
      return false;
    }
    setNoDelay();
    return true;
  }

  void setNoDelay() const {
    int One = 1;
    ::setsockopt(Fd_, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  }

  bool isOpen() const { return Fd_ >= 0; }

  void close() {
    if (Fd_ >= 0)
      ::close(Fd_);
    Fd_ = -1;
    Buffer_.clear();
  }

  /// Closes with a reset.
  void reset() {
    linger Hard{1, 0};
    if (Fd_ >= 0)
      ::setsockopt(Fd_, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
    close();
  }

  bool send(std::string_view Bytes) const {
    while (!Bytes.empty()) {
      ssize_t Sent = ::send(Fd_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
    }
    return true;
  }

  /// Whether the peer has closed or reset the channel.
  bool peerClosed() const {
    char Byte = 0;
    ssize_t Got = ::recv(Fd_, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Got == 0 || (Got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /// Reads more bytes before `Until`. False at the end of the channel.
  bool fill(double Until) {
    while (true) {
      double Left = Until - now();
      if (Left <= 0 || Fd_ < 0)
        return false;
      pollfd Wait{Fd_, POLLIN, 0};
      int Ready = ::poll(&Wait, 1, static_cast<int>(Left * 1000) + 1);
      if (Ready < 0 && errno != EINTR)
        return false;
      if (Ready <= 0)
        continue;
      char Piece[16384];
      ssize_t Got = ::recv(Fd_, Piece, sizeof(Piece), 0);
      if (Got <= 0)
        return false;
      Buffer_.append(Piece, static_cast<std::size_t>(Got));
      return true;
    }
  }

  std::optional<Request> readRequest(double Until) {
    auto Lines = readHead(Until);
    if (!Lines)
      return std::nullopt;
    Request Read;
    const std::string &First = Lines->front().first;
    auto Space = First.find(' ');
    auto Second = First.find(' ', Space + 1);
    Read.Method_ = First.substr(0, Space);
    Read.Target_ = First.substr(Space + 1, Second - Space - 1);
    Read.Headers_.assign(Lines->begin() + 1, Lines->end());
    if (!readBody(Read.Headers_, Read.Body_, Until, false))
      return std::nullopt;
    return Read;
  }

  /// Reads one answer. `OnHead` is called once the head is complete.
  Response
  readResponse(double Until,
               const std::function<void(const Response &)> &OnHead = {}) {
    Response Read;
    auto Lines = readHead(Until);
    if (!Lines)
      return Read;
    const std::string &First = Lines->front().first;
    Read.Status_ = std::atoi(First.substr(First.find(' ') + 1, 3).c_str());
    Read.Headers_.assign(Lines->begin() + 1, Lines->end());
    if (OnHead)
      OnHead(Read);
    Read.Whole_ = readBody(Read.Headers_, Read.Body_, Until, true);
    return Read;
  }

private:
  /// The first line without its end, then the headers.
  std::optional<Headers> readHead(double Until) {
    while (Buffer_.find("\r\n\r\n") == std::string::npos)
      if (!fill(Until))
        return std::nullopt;
    auto End = Buffer_.find("\r\n\r\n");
    std::string Head = Buffer_.substr(0, End + 2);
    Buffer_.erase(0, End + 4);
    Headers Lines;
    std::size_t At = 0;
    while (At < Head.size()) {
      auto Stop = Head.find("\r\n", At);
      std::string Line = Head.substr(At, Stop - At);
      At = Stop + 2;
      auto Colon = Line.find(':');
      if (Lines.empty() || Colon == std::string::npos) {
        Lines.emplace_back(Line, "");
        continue;
      }
      auto Value = Line.find_first_not_of(' ', Colon + 1);
      Lines.emplace_back(Line.substr(0, Colon),
                         Value == std::string::npos ? "" : Line.substr(Value));
    }
    return Lines;
  }

  bool take(std::size_t Count, std::string &To, double Until) {
    while (Buffer_.size() < Count)
      if (!fill(Until))
        return false;
    To += Buffer_.substr(0, Count);
    Buffer_.erase(0, Count);
    return true;
  }

  bool readBody(const Headers &All, std::string &To, double Until,
                bool IsResponse) {
    if (headerOf(All, "Transfer-Encoding") == "chunked") {
      while (true) {
        while (Buffer_.find("\r\n") == std::string::npos)
          if (!fill(Until))
            return false;
        auto End = Buffer_.find("\r\n");
        auto Size = std::strtoul(Buffer_.c_str(), nullptr, 16);
        Buffer_.erase(0, End + 2);
        std::string LineEnd;
        if (!take(Size, To, Until) || !take(2, LineEnd, Until))
          return false;
        if (Size == 0)
          return true;
      }
    }
    std::string Length = headerOf(All, "Content-Length");
    if (!Length.empty())
      return take(std::stoul(Length), To, Until);
    if (!IsResponse)
      return true;
    while (fill(Until)) {
    }
    To += std::exchange(Buffer_, {});
    return true;
  }

  int Fd_;
  std::string Buffer_;
};

/// The bytes of an answer with a length.
inline std::string answer(int Status, const Headers &All,
                          const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " X\r\n";
  for (const auto &[Name, Value] : All) {
    Text += Name;
    Text += ": " + Value + "\r\n";
  }
  Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  return Text + Body;
}

inline std::string requestBytes(const Request &Sent) {
  std::string Text = Sent.Method_ + " " + Sent.Target_ + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Sent.Headers_) {
    Text += Name;
    Text += ": " + Value + "\r\n";
  }
  if (!Sent.Body_.empty() || Sent.Method_ == "POST")
    Text += "Content-Length: " + std::to_string(Sent.Body_.size()) + "\r\n";
  return Text + "\r\n" + Sent.Body_;
}

/// Listens on a free port, or on `Port`, and serves each channel on a thread of
/// its own. The threads end with the program.
class Server {
public:
  using Handler = std::function<void(Channel &)>;

  void listen(const std::string &Address, Handler Serve, int Port = 0) {
    Fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int One = 1;
    ::setsockopt(Fd_, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, Address.c_str(), &At.sin_addr);
    socklen_t Size = sizeof(At);
    if (::bind(Fd_, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
        ::listen(Fd_, 512) != 0 ||
        ::getsockname(Fd_, reinterpret_cast<sockaddr *>(&At), &Size) != 0)
      throw std::runtime_error("can't listen on " + Address);
    Address_ = Address;
    Port_ = ntohs(At.sin_port);
    std::thread([this, Listening = Fd_, Serve = std::move(Serve)] {
      while (true) {
        int Client = ::accept4(Listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (Client < 0 && (errno == EINVAL || errno == EBADF))
          return;
        if (Client < 0) {
          sleepFor(0.01);
          continue;
        }
        std::thread([this, Client, Serve] {
          {
            std::lock_guard Lock(Mutex_);
            Clients_.insert(Client);
          }
          Channel Opened(Client);
          Opened.setNoDelay();
          Serve(Opened);
          std::lock_guard Lock(Mutex_);
          Clients_.erase(Client);
          Opened.close();
        }).detach();
      }
    }).detach();
  }

  /// Ends all channels and refuses new ones, as a process that has crashed.
  void stop() {
    ::shutdown(Fd_, SHUT_RDWR);
    ::close(Fd_);
    std::lock_guard Lock(Mutex_);
    for (int Client : Clients_)
      ::shutdown(Client, SHUT_RDWR);
  }

  int port() const { return Port_; }
  std::string endpoint() const {
    return Address_ + ":" + std::to_string(Port_);
  }

private:
  int Fd_ = -1;
  std::string Address_;
  int Port_ = 0;
  std::mutex Mutex_;
  std::set<int> Clients_;
};

/// A port that is free at this address now.
inline int freePort(const std::string &Address) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  inet_pton(AF_INET, Address.c_str(), &At.sin_addr);
  socklen_t Size = sizeof(At);
  bool IsBound =
      ::bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) == 0 &&
      ::getsockname(Fd, reinterpret_cast<sockaddr *>(&At), &Size) == 0;
  ::close(Fd);
  if (!IsBound)
    throw std::runtime_error("no free port on " + Address);
  return ntohs(At.sin_port);
}

} // namespace review

#endif // ANVIL_REVIEW_COMMON_NET_H
