#include "Http/AcknowledgedBytes.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace anvil {

std::uint64_t acknowledgedBytes(int Socket) {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (getsockopt(Socket, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0)
    return 0;
  return Info.tcpi_bytes_acked;
}

} // namespace anvil
