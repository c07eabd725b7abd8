#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

using clock = std::chrono::steady_clock;

bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](char aOne, char aTwo) {
                      return std::tolower(static_cast<unsigned char>(aOne)) ==
                             std::tolower(static_cast<unsigned char>(aTwo));
                    });
}

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int
NewSocket()
{
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (made < 0) {
    throw std::runtime_error("no socket");
  }
  return made;
}

/// Parses the start line and the fields of a message head.
std::string
ParseHead(const std::string& aHead, field_list& aFields)
{
  std::size_t at = aHead.find("\r\n");
  const std::string first = aHead.substr(0, at);
  while (at != std::string::npos && at + 2 < aHead.size()) {
    const std::size_t begin = at + 2;
    at = aHead.find("\r\n", begin);
    const std::string line = aHead.substr(
      begin, at == std::string::npos ? std::string::npos : at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    aFields.emplace_back(line.substr(0, colon), line.substr(value));
  }
  return first;
}

std::string
FormatFields(const field_list& aFields)
{
  std::string text;
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n";
}

/// Reads parts of a message from a socket.
class message_reader
{
public:
  message_reader(int aSocket,
                 std::string& aInput,
                 std::optional<clock::time_point> aUntil)
    : mSocket(aSocket)
    , mInput(aInput)
    , mUntil(aUntil)
  {
  }

  /// @return Whether more bytes have been read.
  bool More()
  {
    int wait = -1;
    if (mUntil) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        *mUntil - clock::now());
      wait = static_cast<int>(std::max<std::int64_t>(0, left.count()));
    }
    pollfd entry{ mSocket, POLLIN, 0 };
    if (poll(&entry, 1, wait) == 0) {
      timedOut = true;
      return false;
    }
    char buffer[16384];
    const ssize_t size = recv(mSocket, buffer, sizeof(buffer), 0);
    if (size <= 0) {
      ended = size == 0;
      return false;
    }
    mInput.append(buffer, static_cast<std::size_t>(size));
    return true;
  }

  std::optional<std::string> Head()
  {
    std::size_t end = mInput.find("\r\n\r\n");
    while (end == std::string::npos) {
      if (!More()) {
        return std::nullopt;
      }
      end = mInput.find("\r\n\r\n");
    }
    std::string head = mInput.substr(0, end);
    mInput.erase(0, end + 4);
    return head;
  }

  std::optional<std::string> Bytes(std::size_t aCount)
  {
    while (mInput.size() < aCount) {
      if (!More()) {
        return std::nullopt;
      }
    }
    std::string bytes = mInput.substr(0, aCount);
    mInput.erase(0, aCount);
    return bytes;
  }

  std::optional<std::string> Line()
  {
    std::size_t end = mInput.find("\r\n");
    while (end == std::string::npos) {
      if (!More()) {
        return std::nullopt;
      }
      end = mInput.find("\r\n");
    }
    std::string line = mInput.substr(0, end);
    mInput.erase(0, end + 2);
    return line;
  }

  /// Reads the body that the fields announce.
  std::optional<std::string> Body(const field_list& aFields, bool aUntilEnd)
  {
    if (SameName(Field(aFields, "Transfer-Encoding"), "chunked")) {
      std::string body;
      for (;;) {
        const auto size = Line();
        if (!size) {
          return std::nullopt;
        }
        const std::size_t count = std::stoul(*size, nullptr, 16);
        const auto part = Bytes(count + 2);
        if (!part) {
          return std::nullopt;
        }
        if (count == 0) {
          return body;
        }
        body += part->substr(0, count);
      }
    }
    const std::string length = Field(aFields, "Content-Length");
    if (!length.empty()) {
      return Bytes(std::stoul(length));
    }
    if (!aUntilEnd) {
      return std::string();
    }
    while (More()) {
    }
    return ended ? std::optional(std::exchange(mInput, {})) : std::nullopt;
  }

  bool timedOut = false;
  bool ended = false;

private:
  int mSocket;
  std::string& mInput;
  std::optional<clock::time_point> mUntil;
};

bool
WriteAll(int aSocket, std::string_view aText)
{
  while (!aText.empty()) {
    const ssize_t size =
      send(aSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    aText.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

} // namespace

std::string
Field(const field_list& aFields, std::string_view aName)
{
  for (const auto& [name, value] : aFields) {
    if (SameName(name, aName)) {
      return value;
    }
  }
  return {};
}

channel::~channel()
{
  close(mSocket);
}

std::optional<request>
channel::Read()
{
  message_reader reader(mSocket, mInput, std::nullopt);
  const auto head = reader.Head();
  if (!head) {
    return std::nullopt;
  }
  request received;
  const std::string first = ParseHead(*head, received.fields);
  const std::size_t space = first.find(' ');
  const std::size_t end = first.rfind(' ');
  if (space == std::string::npos || end <= space) {
    return std::nullopt;
  }
  received.method = first.substr(0, space);
  received.target = first.substr(space + 1, end - space - 1);
  auto body = reader.Body(received.fields, false);
  if (!body) {
    return std::nullopt;
  }
  received.body = std::move(*body);
  return received;
}

void
channel::Write(std::string_view aText)
{
  mBroken = mBroken || !WriteAll(mSocket, aText);
}

void
channel::Send(int aStatus, const field_list& aFields, std::string_view aBody)
{
  field_list fields = aFields;
  fields.emplace_back("Content-Length", std::to_string(aBody.size()));
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  text += FormatFields(fields);
  text += aBody;
  Write(text);
}

void
channel::Begin(int aStatus, const field_list& aFields)
{
  field_list fields = aFields;
  fields.emplace_back("Transfer-Encoding", "chunked");
  Write("HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" +
        FormatFields(fields));
}

void
channel::Chunk(std::string_view aPart)
{
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", aPart.size());
  std::string text(size);
  text += aPart;
  Write(text + "\r\n");
}

void
channel::End()
{
  Write("0\r\n\r\n");
}

void
channel::Reset()
{
  const linger now{ 1, 0 };
  setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  shutdown(mSocket, SHUT_RDWR);
  mBroken = true;
}

bool
channel::Closed()
{
  if (mBroken) {
    return true;
  }
  char byte = 0;
  const ssize_t size = recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

int
channel::PeerPort() const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  return getpeername(mSocket, reinterpret_cast<sockaddr*>(&address), &size) == 0
           ? ntohs(address.sin_port)
           : 0;
}

http_server::http_server(handler aHandler)
  : mHandler(std::move(aHandler))
  , mSocket(NewSocket())
{
  const int on = 1;
  setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (bind(mSocket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(mSocket, 512) != 0 ||
      getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("no port to listen on");
  }
  mPort = ntohs(address.sin_port);
  mAcceptor = std::thread([this] { Accept(); });
}

http_server::~http_server()
{
  mStopping = true;
  shutdown(mSocket, SHUT_RDWR);
  mAcceptor.join();
  close(mSocket);
}

void
http_server::Accept()
{
  while (!mStopping) {
    const int accepted = accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      if (!mStopping) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      continue;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    // The process ends without waiting for these threads.
    std::thread([this, accepted] {
      channel connection(accepted);
      while (const auto received = connection.Read()) {
        mHandler(*received, connection);
      }
    }).detach();
  }
}

proxy_link::proxy_link(int aTargetPort)
  : mTargetPort(aTargetPort)
  , mSocket(NewSocket())
{
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (bind(mSocket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(mSocket, 512) != 0 ||
      getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("no port to listen on");
  }
  mPort = ntohs(address.sin_port);
  // The process ends without waiting for these threads.
  std::thread([this] { Accept(); }).detach();
}

void
proxy_link::Accept()
{
  for (;;) {
    const int accepted = accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted >= 0) {
      std::thread([this, accepted] { Pass(accepted); }).detach();
    }
  }
}

void
proxy_link::Pass(int aSocket) const
{
  const int on = 1;
  const int target = NewSocket();
  const sockaddr_in address = Loopback(mTargetPort);
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bool open = connect(target,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)) == 0;
  bool wasCut = mCut;
  while (open) {
    pollfd entries[2] = { { aSocket, POLLIN, 0 }, { target, POLLIN, 0 } };
    poll(entries, 2, 20);
    wasCut = wasCut || mCut;
    if (mCut) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      continue;
    }
    if (wasCut) {
      break;
    }
    for (int side = 0; side < 2 && open; ++side) {
      if (entries[side].revents == 0) {
        continue;
      }
      char buffer[16384];
      const ssize_t size = recv(entries[side].fd, buffer, sizeof(buffer), 0);
      open = size > 0 && WriteAll(entries[1 - side].fd,
                                  { buffer, static_cast<std::size_t>(size) });
    }
  }
  close(aSocket);
  close(target);
}

call_result
Call(int aPort, const request& aRequest, int aTimeoutMs)
{
  const auto until = clock::now() + std::chrono::milliseconds(aTimeoutMs);
  call_result result;
  const int made = NewSocket();
  channel owner(made);
  const sockaddr_in address = Loopback(aPort);
  if (connect(made,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return result;
  }
  const int on = 1;
  setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  field_list fields = aRequest.fields;
  if (!aRequest.body.empty() || aRequest.method == "POST") {
    fields.emplace_back("Content-Length", std::to_string(aRequest.body.size()));
  }
  result.end = call_end::Closed;
  if (!WriteAll(made,
                aRequest.method + " " + aRequest.target + " HTTP/1.1\r\n" +
                  FormatFields(fields) + aRequest.body)) {
    return result;
  }
  std::string input;
  message_reader reader(made, input, until);
  const auto head = reader.Head();
  if (head) {
    const std::string first = ParseHead(*head, result.answer.fields);
    result.answer.status =
      first.size() > 12 ? std::stoi(first.substr(9, 3)) : 0;
    if (auto body = reader.Body(result.answer.fields, true)) {
      result.answer.body = std::move(*body);
      result.end = call_end::Answered;
      return result;
    }
  }
  if (reader.timedOut) {
    result.end = call_end::TimedOut;
  }
  return result;
}

int
FindSender(int aPeerPort, const std::vector<int>& aProcesses)
{
  char local[32];
  std::snprintf(local, sizeof(local), "0100007F:%04X", aPeerPort);
  std::ifstream table("/proc/net/tcp");
  std::string inode;
  for (std::string line; inode.empty() && std::getline(table, line);) {
    std::istringstream fields(line);
    std::string field;
    std::vector<std::string> all;
    while (fields >> field) {
      all.push_back(field);
    }
    if (all.size() > 9 && all[1] == local && all[9] != "0") {
      inode = "socket:[" + all[9] + "]";
    }
  }
  for (const int process : aProcesses) {
    std::error_code failed;
    const std::string folder = "/proc/" + std::to_string(process) + "/fd";
    for (const auto& entry :
         std::filesystem::directory_iterator(folder, failed)) {
      std::error_code gone;
      if (!inode.empty() &&
          std::filesystem::read_symlink(entry.path(), gone) == inode) {
        return process;
      }
    }
  }
  return -1;
}

int
ReservePort()
{
  // Stays bound until the process ends. A node may listen on the port since it
  // reuses addresses too.
  const int made = NewSocket();
  const int on = 1;
  setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (bind(made, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(made, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("no free port");
  }
  return ntohs(address.sin_port);
}

} // namespace review
