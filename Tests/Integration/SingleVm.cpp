#include "Integration/SingleVm.h"

#include "Integration/EntryFleet.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace anvil {

using nlohmann::json;

/// How long a VM that starts may take to open its settings file.
static constexpr Millis OpenTimeout{5000};

SingleVm::SingleVm(VmMode Mode) : Mode_(Mode) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "anvil-vm-XXXXXX").string();
  if (!::mkdtemp(Template.data()))
    throw std::runtime_error("cannot create the test's directory");
  Directory_ = Template;
  Path_ = Directory_ + "/vm.json";
  // An address of this process alone, so that no other takes the ports between
  // two lives.
  int Test = ::getpid();
  Address_ = "127." + std::to_string(1 + Test % 250) + "." +
             std::to_string(1 + Test / 250 % 250) + ".9";
  for (const char *Name : {"caller", "ready", "peer", "metrics"})
    Ports_[Name] = HeldAddress(Address_, 0, SOCK_STREAM).port();
  Store_ = std::make_unique<Process>(
      ANVIL_STANDIN,
      std::vector<std::string>{"--kind", Mode == VmMode::Entry ? "row-store"
                                                               : "platform"},
      Directory_, "store");
  Proxy_ = std::make_unique<Process>(
      ANVIL_STANDIN,
      std::vector<std::string>{"--kind", "proxy", "--link", "store"},
      Directory_, "proxy");
  if (Mode == VmMode::Entry)
    sendJson(Store_->port(), "PUT", "/row",
             {{"Table", "op"},
              {"Key", "config"},
              {"Value", json{{"Version", 1},
                             {"Routes", json::array()},
                             {"Services", json::array()},
                             {"Tenants", json::array()}}
                            .dump()}});
  setStore({{"target", "127.0.0.1:" + std::to_string(storePort())}});
}

SingleVm::~SingleVm() {
  Proxy_.reset();
  Store_.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(Directory_, Ignored);
}

json SingleVm::settings() const {
  std::string Store = "127.0.0.1:" + std::to_string(Proxy_->port("store"));
  auto At = [this](const char *Name) {
    return Address_ + ":" + std::to_string(port(Name));
  };
  json Entry = {{"mode", "entry"},
                {"vm", "vm-1"},
                {"data_centre", "north"},
                {"listen",
                 {{"callers", At("caller")},
                  {"ready", At("ready")},
                  {"address", Address_},
                  {"peer_port", port("peer")},
                  {"metrics_port", port("metrics")}}},
                {"store",
                 {{"address", Store},
                  {"timeout_ms", 300},
                  {"watch_ms", 300},
                  {"target_list_ms", 200},
                  {"renew_ms", 400}}},
                {"bounds", {{"key_withdrawal_ms", 3000}, {"stop_s", 1}}}};
  json Standalone = {
      {"vm", "vm-1"},
      {"data_centre", "north"},
      {"listen",
       {{"address", Address_},
        {"caller_port", port("caller")},
        {"admin_port", port("ready")},
        {"peer_port", port("peer")}}},
      {"platform", {{"address", Store}, {"timeout_ms", 300}}},
      {"shutdown", {{"balancer_notice_ms", 100}, {"drain_ms", 1000}}},
      {"peers", json::array()}};
  json Chosen = Mode_ == VmMode::Entry ? Entry : Standalone;
  Chosen.merge_patch(Patch_);
  return Chosen;
}

void SingleVm::change(const json &Patch) { Patch_.merge_patch(Patch); }

std::unique_ptr<Process> SingleVm::start(ProcessStart Options) {
  if (!std::filesystem::is_fifo(Path_))
    writeSettings();
  return std::make_unique<Process>(
      ANVIL_DAEMON, std::vector<std::string>{"--settings", Path_}, Directory_,
      "vm-1", MachineLimits, Options);
}

void SingleVm::holdSettings() {
  ::unlink(Path_.c_str());
  ::mkfifo(Path_.c_str(), 0600);
}

void SingleVm::writeSettings() {
  std::string Text = settings().dump();
  if (!std::filesystem::is_fifo(Path_)) {
    writeSettingsText(Text);
    return;
  }
  int Pipe = -1;
  eventually(
      [&] {
        Pipe = ::open(Path_.c_str(), O_WRONLY | O_NONBLOCK);
        return Pipe >= 0;
      },
      OpenTimeout);
  writeSettingsText(Text);
  if (Pipe >= 0 && ::write(Pipe, Text.data(), Text.size()) < 0)
    throw std::runtime_error("cannot write the settings");
  ::close(Pipe);
}

void SingleVm::writeSettingsText(const std::string &Text) const {
  std::string Temporary = Path_ + ".new";
  std::ofstream(Temporary) << Text;
  std::rename(Temporary.c_str(), Path_.c_str());
}

void SingleVm::setStore(const json &Change) {
  json Whole = {{"link", "store"}};
  Whole.merge_patch(Change);
  sendJson(Proxy_->port("admin"), "POST", "/control", Whole);
}

void SingleVm::controlStore(const json &Change) {
  sendJson(Store_->port(), "POST", "/control", Change);
}

static sockaddr_in socketAddress(const std::string &Address,
                                 std::uint16_t Port) {
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_port = htons(Port);
  ::inet_pton(AF_INET, Address.c_str(), &Local.sin_addr);
  return Local;
}

bool SingleVm::isOpen(const std::string &Name) const {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Remote = socketAddress(Address_, port(Name));
  bool IsOpen = ::connect(Socket, reinterpret_cast<sockaddr *>(&Remote),
                          sizeof(Remote)) == 0;
  ::close(Socket);
  return IsOpen;
}

bool SingleVm::isReady() const {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  timeval Limit{1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  sockaddr_in Remote = socketAddress(Address_, port("ready"));
  std::string Text = "GET /readyz HTTP/1.1\r\nHost: vm\r\n\r\n";
  char Reply[16] = {};
  bool IsRead = ::connect(Socket, reinterpret_cast<sockaddr *>(&Remote),
                          sizeof(Remote)) == 0 &&
                ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL) > 0 &&
                ::recv(Socket, Reply, 12, MSG_WAITALL) == 12;
  ::close(Socket);
  return IsRead && std::string(Reply) == "HTTP/1.1 200";
}

HeldAddress::HeldAddress(const std::string &Address, std::uint16_t Port,
                         int Kind)
    : Socket_(::socket(AF_INET, Kind | SOCK_CLOEXEC, 0)) {
  int On = 1;
  if (Kind == SOCK_STREAM)
    ::setsockopt(Socket_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Local = socketAddress(Address, Port);
  bool IsBound =
      ::bind(Socket_, reinterpret_cast<sockaddr *>(&Local), sizeof(Local)) == 0;
  if (!IsBound || (Kind == SOCK_STREAM && ::listen(Socket_, 8) != 0))
    throw std::runtime_error("cannot hold " + Address);
}

HeldAddress::~HeldAddress() { ::close(Socket_); }

std::uint16_t HeldAddress::port() const {
  sockaddr_in Local{};
  socklen_t Size = sizeof(Local);
  ::getsockname(Socket_, reinterpret_cast<sockaddr *>(&Local), &Size);
  return ntohs(Local.sin_port);
}

} // namespace anvil
