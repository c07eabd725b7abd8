#include "harness.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <future>
#include <json/reader.h>
#include <json/writer.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

/// Time of an append at the store, and bytes a second of a partition.
constexpr std::int64_t kAppendMs = 4;
constexpr std::size_t kBytesPerMs = 20'000;
/// Appends whose replies a repeat gets again.
constexpr std::size_t kKeptReplies = 5;
/// Largest page of the newest records.
constexpr std::size_t kPageRecords = 500;
constexpr std::size_t kPageBytes = 1'000'000;
constexpr std::int64_t kReportMs = 1'200;

std::string
BigEndian(std::uint64_t aNumber, int aBytes)
{
  std::string text;
  for (int shift = 8 * (aBytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>((aNumber >> static_cast<unsigned>(shift)) & 0xff);
  }
  return text;
}

std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  const auto mark = aTarget.find('?');
  if (mark == std::string::npos) {
    return {};
  }
  std::istringstream query(aTarget.substr(mark + 1));
  for (std::string pair; std::getline(query, pair, '&');) {
    if (pair.starts_with(aName + "=")) {
      return pair.substr(aName.size() + 1);
    }
  }
  return {};
}

std::uint64_t
Number(const std::string& aText)
{
  return aText.empty() ? 0 : std::strtoull(aText.c_str(), nullptr, 10);
}

node::http_response
MakeResponse(int aStatus, std::string aBody = {})
{
  node::http_response response;
  response.status = aStatus;
  if (!aBody.empty()) {
    response.headers.Add("Content-Type", "application/json");
  }
  response.body = std::move(aBody);
  return response;
}

std::string
KeyOf(const std::string& aRecord)
{
  const std::size_t size =
    aRecord.empty() ? 0 : static_cast<unsigned char>(aRecord[0]);
  return aRecord.size() < 1 + size ? std::string() : aRecord.substr(1, size);
}

std::string
ValueOf(const std::string& aRecord)
{
  const std::size_t size =
    aRecord.empty() ? 0 : static_cast<unsigned char>(aRecord[0]);
  return aRecord.size() < 1 + size ? std::string() : aRecord.substr(1 + size);
}

std::unique_ptr<node::http_listener>
ListenAt(node::asio_loop& aLoop,
         std::uint16_t aPort,
         node::request_handler& aHandler)
{
  auto made = arbutusferry::Capture([&] {
    return node::Listen(aLoop, { "127.0.0.1", aPort }, aHandler);
  });
  auto* listener = std::get_if<std::unique_ptr<node::http_listener>>(&made);
  if (!listener) {
    throw std::runtime_error("cannot listen on port " + std::to_string(aPort));
  }
  return std::move(*listener);
}

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// Node processes that run, for the handler of a signal that ends the case.
constexpr std::size_t kMostProcesses = 16;
std::array<std::atomic<pid_t>, kMostProcesses> gProcesses{};

void
ReplaceProcess(pid_t aBefore, pid_t aAfter)
{
  for (auto& entry : gProcesses) {
    pid_t expected = aBefore;
    if (entry.compare_exchange_strong(expected, aAfter)) {
      return;
    }
  }
}

extern "C" void
EndProcesses(int)
{
  for (const auto& entry : gProcesses) {
    if (entry > 0) {
      kill(entry, SIGKILL);
    }
  }
  _exit(static_cast<int>(verdict::NotRun));
}

/// Reads the responses of one connection.
class response_reader
{
public:
  response_reader(int aSocket, std::int64_t aUntil)
    : mSocket(aSocket)
    , mUntil(aUntil)
  {
  }

  answer Read()
  {
    answer result;
    std::size_t end = 0;
    while ((end = mText.find("\r\n\r\n")) == std::string::npos) {
      if (!More()) {
        return {};
      }
    }
    std::istringstream head(mText.substr(0, end));
    mText.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    if (!line.starts_with("HTTP/1.1 ")) {
      return {};
    }
    const int status = std::atoi(line.c_str() + 9);
    while (std::getline(head, line)) {
      while (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::transform(
        name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
          return static_cast<char>(std::tolower(aChar));
        });
      const auto value = line.find_first_not_of(' ', colon + 1);
      result.headers[name] =
        value == std::string::npos ? std::string() : line.substr(value);
    }
    if (status / 100 == 1) {
      return Read();
    }
    const bool complete =
      result.headers.contains("content-length")      ? ReadLength(result)
      : result.headers.contains("transfer-encoding") ? ReadChunks(result)
                                                     : ReadToEnd(result);
    if (complete) {
      result.status = status;
    }
    return result;
  }

private:
  bool More()
  {
    const std::int64_t left = mUntil - NowMs();
    pollfd waiting{ mSocket, POLLIN, 0 };
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    std::string part(65'536, '\0');
    const ssize_t size = recv(mSocket, part.data(), part.size(), 0);
    mReset = size < 0;
    if (size <= 0) {
      return false;
    }
    mText.append(part, 0, static_cast<std::size_t>(size));
    return true;
  }

  bool ReadLength(answer& aResult)
  {
    const std::size_t size = Number(aResult.headers["content-length"]);
    while (mText.size() < size) {
      if (!More()) {
        return false;
      }
    }
    aResult.body = mText.substr(0, size);
    return true;
  }

  bool ReadChunks(answer& aResult)
  {
    for (;;) {
      std::size_t end = 0;
      while ((end = mText.find("\r\n")) == std::string::npos) {
        if (!More()) {
          return false;
        }
      }
      const std::size_t size =
        std::strtoull(mText.substr(0, end).c_str(), nullptr, 16);
      while (mText.size() < end + 2 + size + 2) {
        if (!More()) {
          return false;
        }
      }
      aResult.body += mText.substr(end + 2, size);
      mText.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  bool ReadToEnd(answer& aResult)
  {
    while (More()) {
    }
    aResult.body = mText;
    return !mReset && NowMs() < mUntil;
  }

  int mSocket;
  std::int64_t mUntil;
  std::string mText;
  bool mReset = false;
};

int
ConnectTo(std::uint16_t aPort)
{
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(made, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(made);
    return -1;
  }
  const int on = 1;
  setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return made;
}

bool
SendAll(int aSocket, const std::string& aText)
{
  for (std::size_t sent = 0; sent < aText.size();) {
    const ssize_t size =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

} // namespace

bool
Trouble()
{
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

void
SleepMs(std::int64_t aMilliseconds)
{
  std::this_thread::sleep_for(milliseconds(aMilliseconds));
}

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

std::string
ToJsonText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value
FromJsonText(const std::string& aText)
{
  const Json::CharReaderBuilder builder;
  Json::Value value;
  std::string errors;
  std::istringstream text(aText);
  return Json::parseFromStream(builder, text, &value, &errors) ? value
                                                               : Json::Value();
}

std::string
Base64(const std::string& aText)
{
  static const char* sLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aText.size(); at += 3) {
    std::uint32_t bits = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      bits = bits << 8U | (at + byte < aText.size()
                             ? static_cast<unsigned char>(aText[at + byte])
                             : 0U);
    }
    for (std::size_t letter = 0; letter < 4; ++letter) {
      text += at + letter > aText.size()
                ? '='
                : sLetters[bits >> (18U - 6U * letter) & 63U];
    }
  }
  return text;
}

std::uint16_t
FreePort()
{
  // Sockets that are bound and don't listen keep their ports from others, and
  // let those listen that reuse addresses, as the nodes do.
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (bind(made, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(made, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("no free port");
  }
  return ntohs(address.sin_port);
}

void
recorder::Note(const std::string& aLine)
{
  const std::lock_guard lock(mMutex);
  mFile << (NowMs() - mStart) << " ms " << aLine << std::endl;
}

kept_channel::kept_channel(std::uint16_t aPort)
  : mSocket(ConnectTo(aPort))
  , mOpen(mSocket >= 0)
{
}

kept_channel::~kept_channel()
{
  if (mSocket >= 0) {
    close(mSocket);
  }
}

answer
kept_channel::Call(const std::string& aMethod,
                   const std::string& aTarget,
                   const header_map& aHeaders,
                   const std::string& aBody,
                   int aTimeoutMs)
{
  if (!mOpen) {
    return {};
  }
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod == "POST") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  text += "\r\n";
  answer result;
  if (SendAll(mSocket, text + aBody)) {
    result = response_reader(mSocket, NowMs() + aTimeoutMs).Read();
  }
  mOpen = result.status != 0;
  return result;
}

answer
Call(std::uint16_t aPort,
     const std::string& aMethod,
     const std::string& aTarget,
     const header_map& aHeaders,
     const std::string& aBody,
     int aTimeoutMs)
{
  return kept_channel(aPort).Call(
    aMethod, aTarget, aHeaders, aBody, aTimeoutMs);
}

void
platform_store::After(std::int64_t aMilliseconds,
                      std::function<void()> aFunction)
{
  const std::uint64_t id = ++mLastTimer;
  mTimers[id] =
    mLoop.After(milliseconds(std::max<std::int64_t>(0, aMilliseconds)),
                [this, id, function = std::move(aFunction)] {
                  const auto own = mTimers.extract(id);
                  function();
                });
}

void
platform_store::Handle(node::http_request aRequest,
                       std::shared_ptr<node::responder> aResponder)
{
  if (aRequest.target.starts_with("/log-append")) {
    Append(aRequest, aResponder);
  } else if (aRequest.target.starts_with("/log-read")) {
    const auto wait =
      static_cast<std::int64_t>(Number(QueryValue(aRequest.target, "wait-ms")));
    After(kAppendMs, [this, target = aRequest.target, wait, aResponder] {
      Read(target, NowMs() + wait, aResponder);
    });
  } else if (aRequest.target.starts_with("/log-newest")) {
    After(kAppendMs, [this, target = aRequest.target, aResponder] {
      Newest(target, *aResponder);
    });
  } else {
    aResponder->Send(MakeResponse(404));
  }
}

void
platform_store::Put(const std::string& aTopic,
                    const std::string& aKey,
                    const std::string& aValue)
{
  (void)Apply("/log-append?topic=" + aTopic + "&part=0",
              { BigEndian(aKey.size(), 1) + aKey + aValue });
}

std::string
platform_store::NewestOf(const std::string& aTopic,
                         const std::string& aKey) const
{
  const auto found = mPartitions.find(aTopic + "/0");
  if (found == mPartitions.end()) {
    return {};
  }
  const auto& records = found->second.records;
  for (auto at = records.rbegin(); at != records.rend(); ++at) {
    if (KeyOf(*at) == aKey) {
      return ValueOf(*at);
    }
  }
  return {};
}

void
platform_store::Append(const node::http_request& aRequest,
                       const std::shared_ptr<node::responder>& aResponder)
{
  const std::string& body = aRequest.body;
  std::vector<std::string> records;
  bool valid = body.size() <= kCallBytes;
  for (std::size_t at = 0; valid && at < body.size();) {
    std::size_t size = 0;
    for (std::size_t byte = 0; byte < 4 && at + byte < body.size(); ++byte) {
      size = size << 8U | static_cast<unsigned char>(body[at + byte]);
    }
    valid = at + 4 + size <= body.size() && size <= kRecordBytes;
    if (valid) {
      records.push_back(body.substr(at + 4, size));
      if (rewrite) {
        records.back() = rewrite(QueryValue(aRequest.target, "topic"),
                                 std::move(records.back()));
      }
    }
    at += 4 + size;
  }
  if (!valid) {
    if (onInvalid) {
      onInvalid(aRequest.target);
    }
    After(kAppendMs, [aResponder] { aResponder->Send(MakeResponse(400)); });
    return;
  }
  partition& where = mPartitions[QueryValue(aRequest.target, "topic") + "/" +
                                 QueryValue(aRequest.target, "part")];
  const std::int64_t start = std::max(NowMs(), where.busyUntil);
  where.busyUntil =
    start + kAppendMs + static_cast<std::int64_t>(body.size() / kBytesPerMs);
  After(where.busyUntil - NowMs(),
        [this, target = aRequest.target, records, aResponder] {
          auto [status, text] = Apply(target, records);
          aResponder->Send(MakeResponse(status, std::move(text)));
        });
}

std::pair<int, std::string>
platform_store::Apply(const std::string& aTarget,
                      const std::vector<std::string>& aRecords)
{
  partition& where = mPartitions[QueryValue(aTarget, "topic") + "/" +
                                 QueryValue(aTarget, "part")];
  const std::string name = QueryValue(aTarget, "producer");
  const std::uint64_t epoch = Number(QueryValue(aTarget, "epoch"));
  const std::uint64_t sequence = Number(QueryValue(aTarget, "seq"));
  producer* writer = nullptr;
  if (!name.empty()) {
    const bool known = where.producers.contains(name);
    writer = &where.producers[name];
    if (known && epoch < writer->epoch) {
      return { 409, R"({"why":"fenced"})" };
    }
    if (!known || epoch > writer->epoch) {
      *writer = { epoch, sequence, {} };
    }
    for (const auto& [number, reply] : writer->replies) {
      if (number == sequence && !aRecords.empty()) {
        return { 200, reply };
      }
    }
    if (!aRecords.empty() && sequence != writer->next) {
      return {
        409, R"({"why":"seq","expected":)" + std::to_string(writer->next) + "}"
      };
    }
  }
  const std::string end = std::to_string(where.records.size());
  if (const std::string at = QueryValue(aTarget, "at");
      !at.empty() && Number(at) != where.records.size()) {
    return { 412, R"({"end":)" + end + "}" };
  }
  where.records.insert(where.records.end(), aRecords.begin(), aRecords.end());
  std::string reply = R"({"offset":)" + end + R"(,"end":)" +
                      std::to_string(where.records.size()) + "}";
  if (writer && !aRecords.empty()) {
    writer->next = sequence + 1;
    writer->replies.emplace_back(sequence, reply);
    if (writer->replies.size() > kKeptReplies) {
      writer->replies.pop_front();
    }
  }
  for (const auto& wake : std::exchange(where.waiters, {})) {
    wake();
  }
  return { 200, std::move(reply) };
}

void
platform_store::Read(const std::string& aTarget,
                     std::int64_t aUntil,
                     const std::shared_ptr<node::responder>& aResponder)
{
  if (aResponder->Closed()) {
    return;
  }
  partition& where = mPartitions[QueryValue(aTarget, "topic") + "/" +
                                 QueryValue(aTarget, "part")];
  const std::uint64_t from = Number(QueryValue(aTarget, "from"));
  if (from >= where.records.size() && NowMs() < aUntil) {
    auto done = std::make_shared<bool>(false);
    const auto again = [this, aTarget, aUntil, aResponder, done] {
      if (!std::exchange(*done, true)) {
        Read(aTarget, aUntil, aResponder);
      }
    };
    where.waiters.emplace_back(again);
    After(aUntil - NowMs(), again);
    return;
  }
  const std::size_t most =
    std::max<std::uint64_t>(1, Number(QueryValue(aTarget, "max-kb"))) * 1'024;
  std::string body = BigEndian(where.records.size(), 8) + BigEndian(0, 8);
  for (std::size_t at = from; at < where.records.size(); ++at) {
    if (at > from && body.size() + where.records[at].size() > most) {
      break;
    }
    body += BigEndian(where.records[at].size(), 4) + where.records[at];
  }
  node::http_response response;
  response.status = 200;
  response.body = std::move(body);
  aResponder->Send(std::move(response));
}

void
platform_store::Newest(const std::string& aTarget, node::responder& aResponder)
{
  const partition& where = mPartitions[QueryValue(aTarget, "topic") + "/" +
                                       QueryValue(aTarget, "part")];
  const std::string after = QueryValue(aTarget, "after");
  std::map<std::string, std::size_t> newest;
  for (std::size_t at = 0; at < where.records.size(); ++at) {
    newest[KeyOf(where.records[at])] = at;
  }
  Json::Value page(Json::objectValue);
  Json::Value& items = page["items"] = Json::Value(Json::arrayValue);
  page["has-more"] = false;
  page["end"] = Json::UInt64(where.records.size());
  std::size_t bytes = 0;
  for (const auto& [key, at] : newest) {
    std::string value = ValueOf(where.records[at]);
    if (value.empty() || (!after.empty() && key <= after)) {
      continue;
    }
    if (items.size() >= kPageRecords ||
        (!items.empty() && bytes + value.size() > kPageBytes)) {
      page["has-more"] = true;
      break;
    }
    bytes += value.size();
    Json::Value item(Json::objectValue);
    item["key"] = key;
    item["offset"] = Json::UInt64(at);
    item["value"] = Base64(value);
    items.append(std::move(item));
  }
  aResponder.Send(MakeResponse(200, ToJsonText(page)));
}

void
platform_duties::Handle(node::http_request,
                        std::shared_ptr<node::responder> aResponder)
{
  aResponder->Send(MakeResponse(200));
}

sampler::sampler(node::asio_loop& aLoop,
                 platform_store& aStore,
                 recorder& aRecord,
                 std::string aId,
                 std::string aService,
                 std::string aZone,
                 int aSlots,
                 std::vector<std::string> aModels)
  : mLoop(aLoop)
  , mStore(aStore)
  , mRecord(aRecord)
  , mId(std::move(aId))
  , mService(std::move(aService))
  , mZone(std::move(aZone))
  , mSlots(aSlots)
  , mPort(FreePort())
  , mBornUnixMs(UnixMs())
{
  for (const std::string& model : aModels) {
    mVersions[model] = 1;
  }
  mListener = ListenAt(aLoop, mPort, *this);
  Report();
  mReportTimer = std::make_unique<node::periodic_timer>(
    aLoop, milliseconds(kReportMs), [this] { Report(); });
}

void
sampler::After(std::int64_t aMilliseconds, std::function<void()> aFunction)
{
  const std::uint64_t id = ++mLastTimer;
  mTimers[id] = mLoop.After(milliseconds(aMilliseconds),
                            [this, id, function = std::move(aFunction)] {
                              const auto own = mTimers.extract(id);
                              function();
                            });
}

void
sampler::Report()
{
  Json::Value report(Json::objectValue);
  report["service"] = mService;
  report["address"] = "127.0.0.1:" + std::to_string(mPort);
  report["zone"] = mZone;
  report["version"] = "v1";
  report["slots"] = mSlots;
  report["state"] = "ready";
  report["cold-left-ms"] = 0;
  report["born"] = Json::Int64(mBornUnixMs);
  report["seq"] = Json::UInt64(++mReports);
  if (!mVersions.empty()) {
    report["stage"] = "dual";
  }
  for (const auto& [model, version] : mVersions) {
    Json::Value entry(Json::objectValue);
    entry["name"] = model;
    entry["version"] = Json::Int64(version);
    entry["adapters"] = Json::Value(Json::arrayValue);
    report["models"].append(std::move(entry));
  }
  mStore.Put("keyed.servers", mId, ToJsonText(report));
}

void
sampler::Handle(node::http_request aRequest,
                std::shared_ptr<node::responder> aResponder)
{
  if (const auto expected =
        aRequest.headers.Find("Arbutusferry-Expect-Instance");
      expected && *expected != mId) {
    node::http_response wrong = MakeResponse(421);
    wrong.headers.Add("Arbutusferry-Instance-Id", mId);
    aResponder->Send(std::move(wrong));
    return;
  }
  if (aRequest.target == "/report") {
    Json::Value report(Json::objectValue);
    report["stage"] = "dual";
    report["models"] = Json::Value(Json::arrayValue);
    for (const auto& [model, version] : mVersions) {
      Json::Value entry(Json::objectValue);
      entry["name"] = model;
      entry["version"] = Json::Int64(version);
      entry["adapters"] = Json::Value(Json::arrayValue);
      report["models"].append(std::move(entry));
    }
    report["busy"] = false;
    report["seq"] = Json::UInt64(mOrders);
    report["queue-depth"] = 0;
    report["in-flight"] = 0;
    report["kv-used"] = 0;
    report["kv-total"] = 40'244;
    report["handles"] = 0;
    aResponder->Send(MakeResponse(200, ToJsonText(report)));
    return;
  }
  if (aRequest.method == "POST" && aRequest.target == "/order") {
    const Json::Value order = FromJsonText(aRequest.body);
    ++mOrders;
    mVersions[order["model"].asString()] = order["version"].asInt64();
    mRecord.Note("sampler " + mId + " takes an order: " + aRequest.body.Text());
    aResponder->Send(MakeResponse(202));
    return;
  }
  auto started = std::make_shared<run>();
  started->request = aRequest.headers.Get("Arbutusferry-Request-Id");
  started->next = Number(std::string(aRequest.headers.Get("Last-Event-Id")));
  started->responder = std::move(aResponder);
  started->plan = plan(aRequest);
  mRecord.Note("sampler " + mId + " runs " + aRequest.method + " " +
               aRequest.target + " id=" + started->request + " tenant=" +
               std::string(aRequest.headers.Get("Arbutusferry-Tenant")) +
               " after=" + std::to_string(started->next));
  if (started->plan.delayMs > 0) {
    After(started->plan.delayMs, [this, started] { Respond(started); });
  } else {
    Respond(started);
  }
}

void
sampler::Respond(const std::shared_ptr<run>& aRun)
{
  if (aRun->responder->Closed()) {
    mRecord.Note("sampler " + mId + " drops " + aRun->request +
                 ": its channel is closed");
    return;
  }
  node::http_response response;
  response.status = aRun->plan.status;
  response.headers.Add("Arbutusferry-Request-Id", aRun->request);
  response.headers.Add("Arbutusferry-Server-Stamp", mId + "." + aRun->request);
  if (!mVersions.empty()) {
    response.headers.Add("Arbutusferry-Weight-Versions",
                         std::to_string(mVersions.begin()->second));
  }
  if (aRun->plan.events.empty()) {
    response.body = aRun->plan.body;
    mRecord.Note("sampler " + mId + " answers " + aRun->request + " with " +
                 std::to_string(response.status));
    aRun->responder->Send(std::move(response));
    return;
  }
  response.headers.Add("Content-Type", "text/event-stream");
  aRun->responder->Begin(response.status, response.headers);
  SendEvent(aRun);
}

void
sampler::SendEvent(const std::shared_ptr<run>& aRun)
{
  if (aRun->responder->Closed()) {
    mRecord.Note("sampler " + mId + " drops " + aRun->request + " at event " +
                 std::to_string(aRun->next) + ": its channel is closed");
    return;
  }
  if (aRun->next >= aRun->plan.events.size()) {
    mRecord.Note("sampler " + mId + " completes " + aRun->request + " with " +
                 std::to_string(aRun->plan.events.size()) + " events");
    aRun->responder->End();
    return;
  }
  const std::string& data = aRun->plan.events[aRun->next];
  ++aRun->next;
  aRun->responder->Write("id: " + std::to_string(aRun->next) +
                         "\ndata: " + data + "\n\n");
  After(aRun->plan.eventGapMs, [this, aRun] { SendEvent(aRun); });
}

struct silent_proxy::link
{
  explicit link(boost::asio::io_context& aContext)
    : client(aContext)
    , server(aContext)
  {
  }
  void Close()
  {
    boost::system::error_code ignored;
    client.close(ignored);
    server.close(ignored);
  }
  tcp::socket client;
  tcp::socket server;
  std::string lastRequest; ///< First line of the newest request.
  bool silent = false;     ///< For good.
  bool cut = false;        ///< Until the proxy heals.
  std::vector<std::function<void()>> held;
};

silent_proxy::silent_proxy(node::asio_loop& aLoop, std::uint16_t aTo)
  : mLoop(aLoop)
  , mTo(aTo)
  , mPort(FreePort())
{
  auto acceptor = std::make_shared<tcp::acceptor>(aLoop.Context());
  acceptor->open(tcp::v4());
  acceptor->set_option(boost::asio::socket_base::reuse_address(true));
  acceptor->bind({ boost::asio::ip::address_v4::loopback(), mPort });
  acceptor->listen();
  mAcceptor = acceptor;
  Accept();
}

void
silent_proxy::Accept()
{
  auto& acceptor = *static_cast<tcp::acceptor*>(mAcceptor.get());
  auto made = std::make_shared<link>(mLoop.Context());
  acceptor.async_accept(
    made->client, [this, made](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      boost::system::error_code failed;
      made->server.connect({ boost::asio::ip::address_v4::loopback(), mTo },
                           failed);
      if (failed) {
        made->Close();
      } else {
        made->client.set_option(tcp::no_delay(true), failed);
        made->server.set_option(tcp::no_delay(true), failed);
        mLinks.push_back(made);
        Pump(made, true);
        Pump(made, false);
      }
      if (!mCut) {
        Accept();
      }
    });
}

void
silent_proxy::Cut()
{
  mCut = true;
  auto& acceptor = *static_cast<tcp::acceptor*>(mAcceptor.get());
  acceptor.cancel();
  // A full queue of new connections drops the opening packets of further ones.
  ::listen(acceptor.native_handle(), 0);
  for (int filler = 0; filler < 2; ++filler) {
    const int made =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(mPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)connect(made, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    mFillers.push_back(made);
  }
  for (const auto& weak : mLinks) {
    if (const auto known = weak.lock()) {
      known->cut = true;
    }
  }
}

void
silent_proxy::Heal()
{
  mCut = false;
  auto& acceptor = *static_cast<tcp::acceptor*>(mAcceptor.get());
  for (const int filler : std::exchange(mFillers, {})) {
    close(filler);
  }
  ::listen(acceptor.native_handle(), 128);
  for (const auto& weak : mLinks) {
    if (const auto known = weak.lock()) {
      known->cut = false;
      for (const auto& deliver : std::exchange(known->held, {})) {
        deliver();
      }
    }
  }
  Accept();
}

void
silent_proxy::Pump(const std::shared_ptr<link>& aLink, bool aToServer)
{
  auto buffer = std::make_shared<std::string>(65'536, '\0');
  tcp::socket& from = aToServer ? aLink->client : aLink->server;
  from.async_read_some(
    boost::asio::buffer(*buffer),
    [aLink, aToServer, buffer](const boost::system::error_code& aError,
                               std::size_t aSize) {
      if (aLink->silent) {
        if (aError && aToServer) {
          // The client has given up; the other end hears nothing of it.
          boost::system::error_code ignored;
          aLink->client.close(ignored);
        } else if (!aError) {
          Pump(aLink, aToServer);
        }
        return;
      }
      buffer->resize(aError ? 0 : aSize);
      Deliver(aLink, aToServer, buffer);
    });
}

void
silent_proxy::Deliver(const std::shared_ptr<link>& aLink,
                      bool aToServer,
                      const std::shared_ptr<std::string>& aBytes)
{
  if (aLink->cut) {
    aLink->held.emplace_back(
      [aLink, aToServer, aBytes] { Deliver(aLink, aToServer, aBytes); });
    return;
  }
  if (aBytes->empty()) {
    aLink->Close();
    return;
  }
  if (aToServer &&
      (aBytes->starts_with("GET ") || aBytes->starts_with("POST "))) {
    aLink->lastRequest = aBytes->substr(0, aBytes->find('\r'));
  }
  boost::asio::async_write(
    aToServer ? aLink->server : aLink->client,
    boost::asio::buffer(*aBytes),
    [aLink, aToServer, aBytes](const boost::system::error_code& aFailed,
                               std::size_t) {
      if (!aFailed) {
        Pump(aLink, aToServer);
      }
    });
}

std::pair<std::size_t, std::size_t>
silent_proxy::Silence(const std::string& aText)
{
  std::size_t silenced = 0;
  std::size_t open = 0;
  for (const auto& weak : mLinks) {
    const auto known = weak.lock();
    if (!known || !known->client.is_open()) {
      continue;
    }
    ++open;
    if (known->lastRequest.find(aText) != std::string::npos) {
      known->silent = true;
      ++silenced;
    }
  }
  return { silenced, open };
}

node_process::node_process(node_options aOptions, std::string aFolder)
  : mOptions(std::move(aOptions))
  , mFolder(std::move(aFolder))
{
  const auto address = [](std::uint16_t aPort) {
    return "127.0.0.1:" + std::to_string(aPort);
  };
  Json::Value settings(Json::objectValue);
  settings["vm"] = mOptions.vm;
  settings["zone"] = mOptions.zone;
  settings["zones"].append("zone-a");
  settings["zones"].append("zone-b");
  settings["regions"]["zone-a"] = "region";
  settings["regions"]["zone-b"] = "region";
  settings["cpu_share"] = mOptions.cpuShare;
  settings["listen_callers"] = address(mCallers);
  settings["listen_ready"] = address(mReady);
  settings["listen_peers"] = address(mPeers);
  settings["listen_metrics"] = address(mMetrics);
  settings["store"] = address(mOptions.store);
  settings["duties"] = address(mOptions.duties);
  settings["max_record_bytes"] = Json::UInt64(platform_store::kRecordBytes);
  settings["store_read_mb_s"] = 80.0;
  settings["max_call_bytes"] = Json::UInt64(platform_store::kCallBytes);
  settings["lease_ms"] = 3'000;
  settings["cancel_within_ms"] = 3'000;
  settings["fences_checked"] = true;
  settings["usage_window_s"] = 5;
  settings["usage_due_s"] = 10;
  settings["batch_readable_s"] = mOptions.readableS;
  settings["stop_within_s"] = 8;
  settings["memory_mb"] = mOptions.memoryMb;
  settings["max_descriptors"] = 8'200;
  std::ofstream(mFolder + "/" + mOptions.vm + ".json") << ToJsonText(settings);
}

node_process::~node_process()
{
  Kill();
}

void
node_process::Start()
{
  const std::string settings = mFolder + "/" + mOptions.vm + ".json";
  const std::string log = mFolder + "/" + mOptions.vm + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    const int file =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execl("target/bin/arbutusferry-node",
          "target/bin/arbutusferry-node",
          "--settings",
          settings.c_str(),
          nullptr);
    _exit(127);
  }
  mPid = pid;
  ReplaceProcess(0, pid);
}

void
node_process::Signal(int aSignal) const
{
  if (mPid > 0) {
    kill(mPid, aSignal);
  }
}

void
node_process::Kill()
{
  if (mPid > 0) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
    ReplaceProcess(mPid, 0);
    mPid = -1;
  }
}

bool
node_process::Ended()
{
  if (mPid > 0 && waitpid(mPid, nullptr, WNOHANG) == mPid) {
    ReplaceProcess(mPid, 0);
    mPid = -1;
  }
  return mPid < 0;
}

bool
node_process::Ready() const
{
  return Call(mReady, "GET", "/ready", { { "Host", "ready" } }, {}, 500)
           .status == 200;
}

bool
node_process::AwaitReady(int aTimeoutMs) const
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  while (NowMs() < until) {
    if (Ready()) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

std::int64_t
node_process::ResidentKb() const
{
  if (mPid <= 0) {
    return 0;
  }
  std::ifstream status("/proc/" + std::to_string(mPid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::atoll(line.c_str() + 6);
    }
  }
  return 0;
}

bool
node_process::Leads() const
{
  const answer metrics =
    Call(mMetrics, "GET", "/metrics", { { "Host", "metrics" } }, {}, 500);
  return metrics.body.find("ferry_leads 1") != std::string::npos;
}

rig::rig(const std::string& aFolder)
  : record(aFolder + "/record.txt")
  , store(loop)
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "ferry-review-XXXXXX").string();
  if (!mkdtemp(pattern.data())) {
    throw std::runtime_error("no temporary folder");
  }
  mFolder = pattern;
  mStorePort = FreePort();
  mDutyPort = FreePort();
  mListeners.push_back(ListenAt(loop, mStorePort, store));
  mListeners.push_back(ListenAt(loop, mDutyPort, duties));
  mThread = std::thread([this] {
    const auto guard = boost::asio::make_work_guard(loop.Context());
    loop.Run();
  });
}

rig::~rig()
{
  nodes.clear();
  loop.Context().stop();
  mThread.join();
  mSamplers.clear();
  mProxies.clear();
  mListeners.clear();
  if (const char* keep = std::getenv("KEEP_LOGS")) {
    std::filesystem::copy(mFolder,
                          keep,
                          std::filesystem::copy_options::recursive |
                            std::filesystem::copy_options::overwrite_existing);
  }
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

void
rig::OnLoop(const std::function<void()>& aFunction)
{
  std::promise<void> done;
  boost::asio::post(loop.Context(), [&] {
    aFunction();
    done.set_value();
  });
  done.get_future().wait();
}

sampler&
rig::AddSampler(const std::string& aId,
                const std::string& aService,
                const std::string& aZone,
                int aSlots,
                const std::vector<std::string>& aModels)
{
  OnLoop([&] {
    mSamplers.push_back(std::make_unique<sampler>(
      loop, store, record, aId, aService, aZone, aSlots, aModels));
  });
  return *mSamplers.back();
}

void
rig::PutRecord(const std::string& aTopic,
               const std::string& aKey,
               const std::string& aValue)
{
  OnLoop([&] { store.Put(aTopic, aKey, aValue); });
}

node_process&
rig::AddNode(const std::string& aVm, const std::string& aZone, int aMemoryMb)
{
  node_options options;
  options.vm = aVm;
  options.zone = aZone;
  options.store = mStorePort;
  options.duties = mDutyPort;
  options.memoryMb = aMemoryMb;
  options.readableS = readableS;
  nodes.push_back(std::make_unique<node_process>(options, mFolder));
  return *nodes.back();
}

node_process&
rig::AddNodeBehindProxy(const std::string& aVm,
                        const std::string& aZone,
                        silent_proxy*& aProxy)
{
  OnLoop([&] {
    mProxies.push_back(std::make_unique<silent_proxy>(loop, mStorePort));
  });
  aProxy = mProxies.back().get();
  node_options options;
  options.vm = aVm;
  options.zone = aZone;
  options.store = aProxy->Port();
  options.duties = mDutyPort;
  nodes.push_back(std::make_unique<node_process>(options, mFolder));
  return *nodes.back();
}

silent_proxy&
rig::AddPeerProxy(const node_process& aNode)
{
  OnLoop([&] {
    mProxies.push_back(std::make_unique<silent_proxy>(loop, aNode.PeerPort()));
    mPeerAddresses.emplace_back(
      "127.0.0.1:" + std::to_string(aNode.PeerPort()) + "\"",
      "127.0.0.1:" + std::to_string(mProxies.back()->Port()) + "\"");
    // Nodes learn each other's addresses from these topics.
    store.rewrite = [this](const std::string& aTopic, std::string aRecord) {
      if (aTopic == "keyed.af.nodes" || aTopic == "keyed.af.leader") {
        for (const auto& [address, proxy] : mPeerAddresses) {
          const auto found = aRecord.find(address);
          if (found != std::string::npos) {
            aRecord.replace(found, address.size(), proxy);
          }
        }
      }
      return aRecord;
    };
  });
  return *mProxies.back();
}

node_process*
rig::AwaitLeader(int aTimeoutMs)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  for (const auto& process : nodes) {
    if (!process->AwaitReady(static_cast<int>(until - NowMs()))) {
      return nullptr;
    }
  }
  while (NowMs() < until) {
    for (const auto& process : nodes) {
      if (process->Leads()) {
        return process.get();
      }
    }
    SleepMs(100);
  }
  return nullptr;
}

header_map
batch_client::Headers() const
{
  return { { "Host", mHost }, { "Authorization", "Bearer " + mKey } };
}

answer
batch_client::Submit(const node_process& aNode,
                     const Json::Value& aItems,
                     const std::string& aModel)
{
  Json::Value body(Json::objectValue);
  body["step"] = 0;
  body["model"] = aModel;
  body["min-version"] = 1;
  body["target-count"] = 1;
  body["items"] = aItems;
  header_map headers = Headers();
  headers.emplace_back("Arbutusferry-Request-Id", mId);
  headers.emplace_back("Arbutusferry-Deadline-Ms", "12000");
  headers.emplace_back("Content-Type", "application/json");
  answer result = Call(
    aNode.Port(), "POST", mPrefix + mId, headers, ToJsonText(body), 13'500);
  mRig.record.Note("client submits " + mId + " (" +
                   std::to_string(aItems.size()) + " items) at " + aNode.Vm() +
                   ": " + std::to_string(result.status));
  return result;
}

answer
batch_client::Results(const node_process& aNode, std::size_t aAfter)
{
  header_map headers = Headers();
  headers.emplace_back("Arbutusferry-Wait-Ms", "1000");
  answer result = Call(aNode.Port(),
                       "GET",
                       "/lots/" + mId + "?after=" + std::to_string(aAfter),
                       headers,
                       {},
                       4'000);
  std::string listed;
  const Json::Value parsed = FromJsonText(result.body);
  for (const Json::Value& entry : parsed["results"]) {
    const std::string text = entry["text"].asString();
    listed += " " + entry["id"].asString() + ":" + entry["state"].asString() +
              ":" + std::to_string(text.size()) + "B:\"" +
              text.substr(0, std::min<std::size_t>(24, text.find('\n'))) + "\"";
  }
  mRig.record.Note("client reads " + mId + " from " + std::to_string(aAfter) +
                   " at " + aNode.Vm() + ": " + std::to_string(result.status) +
                   listed);
  return result;
}

answer
batch_client::Body(const node_process& aNode, const std::string& aItem)
{
  answer result = Call(aNode.Port(),
                       "GET",
                       "/items/" + mId + "?id=" + aItem,
                       Headers(),
                       {},
                       4'000);
  mRig.record.Note("client asks for the body of " + aItem + " at " +
                   aNode.Vm() + ": " + std::to_string(result.status) + ", " +
                   std::to_string(result.body.size()) + " bytes");
  return result;
}

answer
batch_client::End(const node_process& aNode)
{
  answer result =
    Call(aNode.Port(), "DELETE", "/lots/" + mId, Headers(), {}, 5'000);
  mRig.record.Note("client ends " + mId + " at " + aNode.Vm() + ": " +
                   std::to_string(result.status));
  return result;
}

Json::Value
MakeItem(const std::string& aId,
         const std::string& aPath,
         const std::string& aModel,
         const std::string& aBody)
{
  Json::Value item(Json::objectValue);
  item["id"] = aId;
  item["path"] = aPath;
  item["headers"]["Arbutusferry-Model"] = aModel;
  item["headers"]["Arbutusferry-Token-Usage"] = "271,400";
  item["headers"]["Arbutusferry-Prompt-Prefix"] = "9c2e41:255,5d07b8:16";
  item["body"] = Base64(aBody);
  item["tokens"] = 671;
  item["group"] = "g-" + aId;
  return item;
}

Json::Value
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aKind,
          const std::string& aService)
{
  Json::Value route(Json::objectValue);
  route["name"] = aName;
  route["host"] = kHost;
  route["path-prefix"] = aPrefix;
  route["kind"] = aKind;
  route["service"] = aService;
  route["skip-auth"] = false;
  if (aKind == "rollout") {
    route["timeout-ms"] = 10'000;
    route["target-latency-ms"] = 400;
    route["priority"] = 0;
    route["max-attempts"] = 3;
    route["retention-s"] = 40.0;
    route["result-due-ms"] = 7'500;
    route["single-version"] = false;
    route["sticky"] = true;
    route["resumable"] = true;
  } else {
    route["timeout-ms"] = 2'000;
    route["target-latency-ms"] = 150;
    route["priority"] = 2;
    route["max-attempts"] = 2;
  }
  return route;
}

Json::Value
MakeManifest(int aVersion, const Json::Value& aRoutes)
{
  Json::Value manifest(Json::objectValue);
  manifest["version"] = aVersion;
  manifest["routes"] = aRoutes;
  Json::Value models(Json::objectValue);
  models["name"] = "models";
  models["health-path"] = "/health";
  models["max-connections"] = 160;
  models["engine"]["slots"] = 16;
  models["engine"]["kv-capacity"] = 40'244;
  models["engine"]["models"][0]["name"] = "m0";
  manifest["services"].append(models);
  Json::Value desk(Json::objectValue);
  desk["name"] = "desk";
  desk["health-path"] = "/health";
  desk["max-connections"] = 96;
  manifest["services"].append(desk);
  manifest["limits"]["max-header-bytes"] = 16'384;
  manifest["limits"]["max-body-bytes"] = 33'554'432;
  manifest["limits"]["header-timeout-ms"] = 3'000;
  manifest["limits"]["idle-timeout-ms"] = 15'000;
  for (const char* name : { "acme", "birch" }) {
    Json::Value team(Json::objectValue);
    team["name"] = name;
    team["api-keys"].append(std::string("key-") + name);
    manifest["tenants"].append(team);
  }
  return manifest;
}

int
RunCase(int aCount,
        char** aArguments,
        const std::function<verdict(rig&)>& aScenario)
{
  if (aCount != 2) {
    std::fprintf(stderr, "usage: %s FOLDER\n", aArguments[0]);
    return static_cast<int>(verdict::NotRun);
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, EndProcesses);
  std::signal(SIGINT, EndProcesses);
  try {
    rig deployment(aArguments[1]);
    const verdict result = aScenario(deployment);
    deployment.record.Note(result == verdict::Broken ? "RULE BROKEN"
                           : result == verdict::Held ? "rule held"
                                                     : "could not run");
    return static_cast<int>(result);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s: %s\n", aArguments[0], error.what());
    return static_cast<int>(verdict::NotRun);
  }
}

} // namespace review
