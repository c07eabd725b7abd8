#include "arbutusferry/address.hpp"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <netinet/in.h>

namespace arbutusferry {

std::optional<socket_address>
ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon + 1 == aText.size()) {
    return std::nullopt;
  }
  std::string_view ip = aText.substr(0, colon);
  int family = AF_INET;
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    family = AF_INET6;
    ip = ip.substr(1, ip.size() - 2);
  }
  socket_address address;
  address.ip = std::string(ip);
  const char* const end = aText.data() + aText.size();
  const auto [stop, problem] =
    std::from_chars(aText.data() + colon + 1, end, address.port);
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (problem != std::errc() || stop != end ||
      inet_pton(family, address.ip.c_str(), bytes.data()) != 1) {
    return std::nullopt;
  }
  return address;
}

std::string
FormatAddress(const socket_address& aAddress)
{
  const bool brackets = aAddress.ip.find(':') != std::string::npos;
  return (brackets ? "[" + aAddress.ip + "]" : aAddress.ip) + ":" +
         std::to_string(aAddress.port);
}

} // namespace arbutusferry
