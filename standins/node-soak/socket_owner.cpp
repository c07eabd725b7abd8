#include "socket_owner.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace arbutusferry::node_soak {

namespace {

/// Returns the inode of a socket as text, or an empty text.
std::string
FindInode(std::uint16_t aLocalPort)
{
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string field;
    fields >> number >> local;
    // After the two addresses: state, queues, timer, retransmits, user and
    // timeout.
    for (int skipped = 0; skipped < 7; ++skipped) {
      fields >> field;
    }
    std::string inode;
    fields >> inode;
    const auto colon = local.find(':');
    if (colon != std::string::npos && inode != "0" &&
        std::strtoul(local.c_str() + colon + 1, nullptr, 16) == aLocalPort) {
      return inode;
    }
  }
  return {};
}

} // namespace

std::optional<std::size_t>
FindSocketOwner(std::uint16_t aLocalPort, const std::vector<pid_t>& aProcesses)
{
  const std::string inode = FindInode(aLocalPort);
  if (inode.empty()) {
    return std::nullopt;
  }
  const std::string link = "socket:[" + inode + "]";
  for (std::size_t index = 0; index < aProcesses.size(); ++index) {
    // The process may end meanwhile, so errors end the search in it.
    std::error_code failed;
    const std::filesystem::path directory =
      "/proc/" + std::to_string(aProcesses[index]) + "/fd";
    for (auto entry = std::filesystem::directory_iterator(directory, failed);
         !failed && entry != std::filesystem::directory_iterator();
         entry.increment(failed)) {
      std::error_code unreadable;
      if (std::filesystem::read_symlink(entry->path(), unreadable) == link) {
        return index;
      }
    }
  }
  return std::nullopt;
}

} // namespace arbutusferry::node_soak
