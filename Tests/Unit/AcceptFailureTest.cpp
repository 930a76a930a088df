#include "Http/HttpServer.h"

#include "Unit/PersistentCaller.h"
#include "Unit/SimpleResponses.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

using namespace anvil;
namespace asio = boost::asio;

/// Prevents this process from opening further descriptors during its lifetime.
class DescriptorLimit {
public:
  DescriptorLimit() {
    ::getrlimit(RLIMIT_NOFILE, &Before_);
    int Next = ::dup(STDIN_FILENO);
    ::close(Next);
    rlimit Lowered = Before_;
    Lowered.rlim_cur = static_cast<rlim_t>(Next);
    ::setrlimit(RLIMIT_NOFILE, &Lowered);
  }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &Before_); }
  DescriptorLimit(const DescriptorLimit &) = delete;
  DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
  rlimit Before_{};
};

TEST_CASE("a server without free descriptors doesn't spin") {
  asio::io_context Loop(1);
  HttpServer Server(Loop.get_executor(), {}, respondNoContent);
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  Loop.poll();
  PersistentCaller Caller(Loop, Server.port());
  {
    DescriptorLimit Limit;
    constexpr std::size_t ManyHandlers = 1000;
    CHECK(Loop.run_for(std::chrono::milliseconds(100)) < ManyHandlers);
    CHECK(Server.openConnections() == 0);
  }
  SECTION("and accepts connections once descriptors are free") {
    CHECK(Caller.sendAndReceive("/").find(" 204 ") != std::string::npos);
  }
  SECTION("and can be closed") {
    Server.close();
    CHECK(Caller.readToEnd().empty());
  }
}
