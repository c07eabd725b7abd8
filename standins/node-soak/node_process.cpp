#include "soak.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace arbutusferry::node_soak {

std::uint16_t
FreePort()
{
  namespace asio = boost::asio;
  using asio::ip::tcp;
  // Sockets that are bound and don't listen keep their ports from other
  // processes, and let those listen that reuse addresses, as nodes do.
  static asio::io_context sContext;
  static std::vector<std::unique_ptr<tcp::acceptor>> sReserved;
  auto reserved = std::make_unique<tcp::acceptor>(sContext, tcp::v4());
  reserved->set_option(asio::socket_base::reuse_address(true));
  reserved->bind({ asio::ip::address_v4::loopback(), 0 });
  const std::uint16_t port = reserved->local_endpoint().port();
  sReserved.push_back(std::move(reserved));
  return port;
}

void
node_process::Spawn(const soak_options& aOptions)
{
  const std::string log =
    aOptions.logDirectory.empty()
      ? "/dev/null"
      : aOptions.logDirectory + "/node-" + std::to_string(index) + ".log";
  pid = fork();
  if (pid == 0) {
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    // The stand-ins' ports must close when a stand-in ends.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execl(aOptions.nodeProgram.c_str(),
          "arbutusferry-node",
          "--settings",
          settingsPath.c_str(),
          nullptr);
    _exit(127);
  }
}

void
node_process::Signal(int aSignal) const
{
  if (pid > 0) {
    kill(pid, aSignal);
  }
}

bool
node_process::ReapIfExited()
{
  if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid) {
    pid = -1;
    paused = false;
    stopping = false;
  }
  return pid < 0;
}

} // namespace arbutusferry::node_soak
