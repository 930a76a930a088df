#ifndef ANVIL_REVIEW_COMMON_PLATFORM_H
#define ANVIL_REVIEW_COMMON_PLATFORM_H

#include "Net.h"

#include <nlohmann/json.hpp>

#include <signal.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>

/// The platform around the programs under test: its store, the record of the
/// run, and the entry VMs as processes.
namespace review {

using nlohmann::json;

/// The file `record.txt`: one line per event, with its time in seconds.
class Record {
public:
  explicit Record(const std::string &Path) : File_(Path) {}

  void line(const std::string &Text) {
    std::lock_guard Lock(Mutex_);
    char At[32];
    std::snprintf(At, sizeof(At), "%9.3f ", now());
    File_ << At << Text << "\n";
    File_.flush();
  }

private:
  std::mutex Mutex_;
  std::ofstream File_;
};

inline std::string base64(const std::string &Bytes) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    unsigned Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group = Group << 8 | (At + Index < Bytes.size()
                                ? static_cast<unsigned char>(Bytes[At + Index])
                                : 0U);
    for (int Shift = 18; Shift >= 0; Shift -= 6)
      Text += Digits[Group >> Shift & 63U];
    if (At + 1 >= Bytes.size())
      Text[Text.size() - 2] = '=';
    if (At + 2 >= Bytes.size())
      Text.back() = '=';
  }
  return Text;
}

inline std::string unbase64(const std::string &Text) {
  std::string Bytes;
  unsigned Group = 0;
  int Bits = 0;
  for (char Letter : Text) {
    const char *Digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    const char *Found = Letter == '=' ? nullptr : std::strchr(Digits, Letter);
    if (!Found)
      break;
    Group = Group << 6 | static_cast<unsigned>(Found - Digits);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Bytes += static_cast<char>(Group >> Bits & 255U);
  }
  return Bytes;
}

/// The platform's store: rows in tables with an empty `part`, conditional
/// transactions and the feed of changes.
class Store {
public:
  void listen(const std::string &Address) {
    Server_.listen(Address, [this](Channel &Caller) { serve(Caller); });
  }

  std::string endpoint() const { return Server_.endpoint(); }

  /// Writes a row as the operator or an engine does. Its return is the
  /// confirmation.
  void put(const std::string &Table, const std::string &Key,
           const json &Value) {
    std::lock_guard Lock(Mutex_);
    ++Version_;
    Tables_[Table][Key] = {base64(Value.dump()), Version_, false};
    Changed_.notify_all();
  }

  void drop(const std::string &Table, const std::string &Key) {
    std::lock_guard Lock(Mutex_);
    ++Version_;
    Tables_[Table][Key] = {"", Version_, true};
    Changed_.notify_all();
  }

  /// The value of a row as it lies in the store, in base64; empty if there is
  /// none.
  std::string value(const std::string &Table, const std::string &Key) {
    std::lock_guard Lock(Mutex_);
    auto Found = Tables_[Table].find(Key);
    bool Exists = Found != Tables_[Table].end() && !Found->second.Deleted_;
    return Exists ? Found->second.Value_ : std::string();
  }

private:
  struct Row {
    std::string Value_;
    std::uint64_t Version_ = 0;
    bool Deleted_ = false;
  };

  static json rowJson(const std::string &Table, const std::string &Key,
                      const Row &Item) {
    json Encoded = {{"Table", Table},
                    {"part", ""},
                    {"Key", Key},
                    {"RowVersion", Item.Version_}};
    if (Item.Deleted_)
      Encoded["Deleted"] = true;
    else
      Encoded["Value"] = Item.Value_;
    return Encoded;
  }

  json envelope() const {
    return {{"RowVersion", Version_},
            {"NowMs", static_cast<std::int64_t>(now() * 1000) + 50000}};
  }

  json get(const Request &Asked) {
    std::lock_guard Lock(Mutex_);
    std::string Table = Asked.query("Table");
    std::string From = Asked.query("From");
    std::string To = Asked.query("To");
    std::string Limit = Asked.query("Limit");
    std::size_t Most = Limit.empty() ? 500 : std::stoul(Limit);
    json Body = envelope();
    Body["Rows"] = json::array();
    Body["HasMore"] = false;
    for (const auto &[Key, Item] : Tables_[Table]) {
      if (Item.Deleted_ || Key < From || (!To.empty() && Key >= To))
        continue;
      if (Body["Rows"].size() == Most) {
        Body["HasMore"] = true;
        break;
      }
      Body["Rows"].push_back(rowJson(Table, Key, Item));
    }
    return Body;
  }

  json feed(const Request &Asked) {
    std::string Table = Asked.query("Table");
    auto After = std::stoull(Asked.query("after"));
    auto Until = Clock::now() +
                 std::chrono::milliseconds(std::stol(Asked.query("WaitMs")));
    std::unique_lock Lock(Mutex_);
    while (true) {
      std::map<std::uint64_t, json> Newer;
      for (const auto &[Key, Item] : Tables_[Table])
        if (Item.Version_ > After)
          Newer.emplace(Item.Version_, rowJson(Table, Key, Item));
      if (!Newer.empty() || Clock::now() >= Until) {
        json Body = envelope();
        Body["Rows"] = json::array();
        for (auto &[Version, Row] : Newer)
          Body["Rows"].push_back(std::move(Row));
        return Body;
      }
      Changed_.wait_until(Lock, Until);
    }
  }

  std::pair<int, json> transact(const Request &Asked) {
    json Body = json::parse(Asked.Body_, nullptr, false);
    if (!Body.is_object())
      return {400, json::object()};
    std::lock_guard Lock(Mutex_);
    json Current = json::array();
    bool Holds = true;
    for (const json &Check : Body["Precondition"]) {
      std::string Table = Check["Table"];
      std::string Key = Check["Key"];
      auto &Rows = Tables_[Table];
      auto Found = Rows.find(Key);
      bool Exists = Found != Rows.end() && !Found->second.Deleted_;
      std::uint64_t Version = Exists ? Found->second.Version_ : 0;
      Holds = Holds && Version == Check["RowVersion"].get<std::uint64_t>();
      if (Exists)
        Current.push_back(rowJson(Table, Key, Found->second));
    }
    if (!Holds) {
      json Reply = envelope();
      Reply["Rows"] = Current;
      return {412, Reply};
    }
    ++Version_;
    for (const json &Put : Body["Put"])
      Tables_[Put["Table"]][Put["Key"]] = {Put["Value"], Version_, false};
    for (const json &Drop : Body["Drop"])
      Tables_[Drop["Table"]][Drop["Key"]] = {"", Version_, true};
    Changed_.notify_all();
    return {200, envelope()};
  }

  void serve(Channel &Caller) {
    const Headers Json{{"Content-Type", "application/json"}};
    while (auto Asked = Caller.readRequest(now() + 600)) {
      std::pair<int, json> Reply{404, json::object()};
      if (Asked->path() == "/api/rows-get")
        Reply = {200, get(*Asked)};
      else if (Asked->path() == "/api/rows-feed")
        Reply = {200, feed(*Asked)};
      else if (Asked->path() == "/api/rows-tx")
        Reply = transact(*Asked);
      if (!Caller.send(answer(Reply.first, Json, Reply.second.dump())))
        return;
    }
  }

  Server Server_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, std::map<std::string, Row>> Tables_;
  std::uint64_t Version_ = 0;
};

/// A loopback address of this run alone.
inline std::string ownAddress(int Index) {
  int Run = static_cast<int>(::getpid());
  return "127." + std::to_string(20 + Run % 200) + "." +
         std::to_string(1 + Run / 200 % 250) + "." + std::to_string(Index);
}

/// An entry VM: the program of the deploy file with its command, and the
/// settings that the deploy file's template gives for the small sites.
class EntryVm {
public:
  EntryVm(const std::string &Directory, const std::string &Name, int Index,
          const std::string &Zone, const std::string &StoreEndpoint)
      : Address_(ownAddress(Index)), CallerPort_(freePort(Address_)),
        ReadyPort_(freePort(Address_)), Path_(Directory + "/" + Name + ".json"),
        LogPath_(Directory + "/" + Name + ".log") {
    json Settings = {
        {"mode", "entry"},
        {"vm", Name},
        {"data_centre", Zone},
        {"bootstrap", true},
        {"listen",
         {{"callers", Address_ + ":" + std::to_string(CallerPort_)},
          {"ready", Address_ + ":" + std::to_string(ReadyPort_)},
          {"address", Address_},
          {"peer_port", freePort(Address_)},
          {"metrics_port", freePort(Address_)}}},
        {"store", {{"address", StoreEndpoint}}},
        {"bounds",
         {{"key_withdrawal_ms", 5000},
          {"adapter_version_ms", 5000},
          {"order_handover_ms", 3000},
          {"retry_ratio", 0.2},
          {"retry_extra", 56},
          {"retry_window_s", 10},
          {"quota_window_s", 8},
          {"quota_overage", 0.1},
          {"quota_slack", 17000},
          {"stop_s", 8}}}};
    std::ofstream(Path_) << Settings.dump(2);
    start();
  }
  EntryVm(const EntryVm &) = delete;
  EntryVm &operator=(const EntryVm &) = delete;
  ~EntryVm() { kill(); }

  void start() {
    Child_ = ::fork();
    if (Child_ != 0)
      return;
    int Log = ::open(LogPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Log, 1);
    ::dup2(Log, 2);
    ::setenv("ANVILJUNCTION_BOOT", Path_.c_str(), 1);
    ::execl("target/bin/anvild", "target/bin/anvild", "--settings-from",
            "ANVILJUNCTION_BOOT", static_cast<char *>(nullptr));
    ::_exit(127);
  }

  void signal(int Number) const {
    if (Child_ > 0)
      ::kill(Child_, Number);
  }

  void kill() {
    if (Child_ <= 0)
      return;
    ::kill(Child_, SIGKILL);
    ::waitpid(Child_, nullptr, 0);
    Child_ = -1;
  }

  /// Whether the process has ended by itself; its wait status is kept.
  bool hasEnded() {
    if (Child_ <= 0)
      return true;
    if (::waitpid(Child_, &WaitStatus_, WNOHANG) != Child_)
      return false;
    Child_ = -1;
    return true;
  }

  int waitStatus() const { return WaitStatus_; }

  bool isReady() const {
    Channel Check;
    if (!Check.open(Address_, ReadyPort_, 0.5) ||
        !Check.send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
      return false;
    return Check.readResponse(now() + 0.5).Status_ == 200;
  }

  const std::string &address() const { return Address_; }
  int callerPort() const { return CallerPort_; }
  const std::string &logPath() const { return LogPath_; }

private:
  std::string Address_;
  int CallerPort_;
  int ReadyPort_;
  std::string Path_;
  std::string LogPath_;
  pid_t Child_ = -1;
  int WaitStatus_ = 0;
};

/// A temporary directory that is removed at the end, unless KEEP=1.
class TemporaryDirectory {
public:
  TemporaryDirectory() {
    Path_ = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(Path_.data()))
      throw std::runtime_error("no temporary directory");
  }
  TemporaryDirectory(const TemporaryDirectory &) = delete;
  TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;
  ~TemporaryDirectory() {
    const char *Keep = std::getenv("KEEP");
    std::error_code Ignored;
    if (!Keep || std::strcmp(Keep, "1") != 0)
      std::filesystem::remove_all(Path_, Ignored);
  }
  const std::string &path() const { return Path_; }

private:
  std::string Path_;
};

/// Whether the disruption is to be brought about.
inline bool isTroubled() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::strcmp(Text, "0") != 0;
}

/// Waits until a condition holds; false if it doesn't within `Seconds`.
inline bool eventually(double Seconds, const std::function<bool()> &Holds) {
  double Until = now() + Seconds;
  while (now() < Until) {
    if (Holds())
      return true;
    sleepFor(0.1);
  }
  return false;
}

} // namespace review

#endif // ANVIL_REVIEW_COMMON_PLATFORM_H
