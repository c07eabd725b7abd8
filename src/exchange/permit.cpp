#include "arbutusferry/permit.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"

#include <algorithm>
#include <iterator>

namespace arbutusferry {

namespace {

constexpr std::size_t kNonceBytes = 16;

/// Bytes of overhead counted for each stored answer.
constexpr std::size_t kAnswerOverheadBytes = 256;

/// Hexadecimal digits kept of the HMAC: 128 bits.
constexpr std::size_t kMacDigits = 32;

/// Maximum number of parts of a table.
constexpr std::int64_t kMaxParts = 65'536;

/// Maximum number of senders with an incomplete table. A sender that fails
/// during the transfer never sends the rest.
constexpr std::size_t kMaxStagedTables = 8;

/// Components of `<instance>.<nonce>.<mac>`.
struct permit_parts
{
  std::string_view instance;
  std::string_view nonce;
  std::string_view mac;
};

std::optional<permit_parts>
SplitPermit(std::string_view aPermit)
{
  const std::size_t first = aPermit.find('.');
  const std::size_t second = aPermit.rfind('.');
  if (first == std::string_view::npos || first == second || first == 0) {
    return std::nullopt;
  }
  const permit_parts parts{ aPermit.substr(0, first),
                            aPermit.substr(first + 1, second - first - 1),
                            aPermit.substr(second + 1) };
  if (parts.nonce.size() != kNonceBytes * 2 || parts.mac.size() != kMacDigits) {
    return std::nullopt;
  }
  return parts;
}

Json::Value
WriteAnswer(const stored_answer& aAnswer)
{
  Json::Value value;
  value["outcome"] = std::string(EnumName(aAnswer.result));
  value["status"] = aAnswer.status;
  value["content_type"] = aAnswer.contentType;
  Json::Value headers(Json::arrayValue);
  for (const auto& [name, text] : aAnswer.headers) {
    Json::Value header(Json::arrayValue);
    header.append(name);
    header.append(text);
    headers.append(header);
  }
  value["headers"] = headers;
  // Bodies may be binary.
  value["body"] = EncodeBase64Url(aAnswer.body);
  return value;
}

stored_answer
ReadAnswer(object_reader& aReader)
{
  stored_answer answer;
  answer.result = aReader.Enumerator<outcome>("outcome");
  answer.status = static_cast<int>(aReader.Integer("status", 100, 599));
  answer.contentType = aReader.String("content_type", "");
  for (const Json::Value& header : aReader.Array("headers")) {
    if (!header.isArray() || header.size() != 2 || !header[0].isString() ||
        !header[1].isString()) {
      aReader.Fail("headers", "expected pairs of strings");
      break;
    }
    answer.headers.emplace_back(header[0].asString(), header[1].asString());
  }
  const auto body = DecodeBase64Url(aReader.String("body", ""));
  if (!body) {
    aReader.Fail("body", "expected base64url text");
  } else {
    answer.body = *body;
  }
  return answer;
}

} // namespace

permit_table::permit_table(std::string aInstance,
                           std::string aSecret,
                           const permit_limits& aLimits)
  : mInstance(std::move(aInstance))
  , mLimits(aLimits)
{
  mSecrets.emplace(mInstance, std::move(aSecret));
}

std::string
permit_table::ComputeMac(const std::string& aInstance,
                         const std::string& aSecret,
                         std::string_view aNonce) const
{
  return HmacSha256Hex(aSecret, aInstance + "." + std::string(aNonce))
    .substr(0, kMacDigits);
}

std::string
permit_table::IssuerOf(std::string_view aPermit)
{
  const auto parts = SplitPermit(aPermit);
  return parts ? std::string(parts->instance) : std::string();
}

bool
permit_table::IsAuthentic(std::string_view aPermit) const
{
  const auto parts = SplitPermit(aPermit);
  const auto secret = parts ? mSecrets.find(parts->instance) : mSecrets.end();
  return secret != mSecrets.end() &&
         ConstantTimeEqual(
           ComputeMac(secret->first, secret->second, parts->nonce), parts->mac);
}

std::size_t
permit_table::StoredBytes(const stored_answer& aAnswer)
{
  std::size_t bytes = kAnswerOverheadBytes + aAnswer.body.size();
  for (const auto& [name, value] : aAnswer.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

void
permit_table::Insert(const std::string& aPermit, permit_entry aEntry)
{
  mExpiryQueue.emplace(aEntry.expiresAt, aPermit);
  if (aEntry.state == permit_state::Finished) {
    mAnswerBytes += StoredBytes(aEntry.answer);
  }
  mPermits.emplace(aPermit, std::move(aEntry));
}

result<std::vector<std::string>>
permit_table::Issue(std::size_t aCount,
                    const std::string& aUser,
                    time_point aNow)
{
  Expire(aNow);
  if (mPermits.size() + aCount > mLimits.maxPermits ||
      mAnswerBytes >= mLimits.maxAnswerBytes) {
    return MakeError(
      error_code::Overloaded, "issue permits", "", "the permit table is full");
  }
  std::vector<std::string> permits;
  const std::string& secret = mSecrets.at(mInstance);
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::string nonce = RandomHex(kNonceBytes);
    permits.push_back(mInstance + "." + nonce + "." +
                      ComputeMac(mInstance, secret, nonce));
    permit_entry entry;
    entry.user = aUser;
    entry.expiresAt = aNow + mLimits.retention;
    Insert(permits.back(), std::move(entry));
  }
  return permits;
}

permit_decision
permit_table::Claim(std::string_view aPermit,
                    const std::string& aUser,
                    const std::string& aRequestHash,
                    time_point aNow,
                    bool aMayRun)
{
  Expire(aNow);
  const std::string issuer = IssuerOf(aPermit);
  if (issuer.empty()) {
    return { permit_action::Forged, nullptr };
  }
  if (mSecrets.find(issuer) == mSecrets.end()) {
    return { permit_action::Foreign, nullptr };
  }
  if (!IsAuthentic(aPermit)) {
    return { permit_action::Forged, nullptr };
  }
  const auto found = mPermits.find(aPermit);
  if (found == mPermits.end()) {
    return { permit_action::Expired, nullptr };
  }
  permit_entry& entry = found->second;
  if (entry.user != aUser) {
    return { permit_action::OwnerMismatch, nullptr };
  }
  if (!entry.requestHash.empty() && entry.requestHash != aRequestHash) {
    return { permit_action::RequestMismatch, nullptr };
  }
  switch (entry.state) {
    case permit_state::Running:
      return { permit_action::Wait, nullptr };
    case permit_state::Finished:
      return { permit_action::Replay, &entry.answer };
    case permit_state::Unused:
      break;
  }
  if (!aMayRun || mAnswerBytes >= mLimits.maxAnswerBytes) {
    return { permit_action::Full, nullptr };
  }
  entry.requestHash = aRequestHash;
  entry.state = permit_state::Running;
  return { permit_action::Run, nullptr };
}

void
permit_table::Finish(std::string_view aPermit,
                     stored_answer aAnswer,
                     time_point aNow)
{
  const auto found = mPermits.find(aPermit);
  if (found == mPermits.end() || found->second.state != permit_state::Running) {
    return;
  }
  permit_entry& entry = found->second;
  entry.state = permit_state::Finished;
  entry.answer = std::move(aAnswer);
  entry.expiresAt = aNow + mLimits.retention;
  mAnswerBytes += StoredBytes(entry.answer);
  mExpiryQueue.emplace(entry.expiresAt, found->first);
}

void
permit_table::Release(std::string_view aPermit)
{
  const auto found = mPermits.find(aPermit);
  if (found != mPermits.end() && found->second.state == permit_state::Running) {
    found->second.state = permit_state::Unused;
  }
}

void
permit_table::Expire(time_point aNow)
{
  while (!mExpiryQueue.empty() && mExpiryQueue.begin()->first <= aNow) {
    const auto due = mExpiryQueue.begin();
    const auto found = mPermits.find(due->second);
    if (found != mPermits.end() && found->second.expiresAt == due->first) {
      if (found->second.state == permit_state::Running) {
        // The permit of a running request stays until it is answered.
        found->second.expiresAt = aNow + mLimits.retention;
        mExpiryQueue.emplace(found->second.expiresAt, found->first);
      } else {
        if (found->second.state == permit_state::Finished) {
          mAnswerBytes -= StoredBytes(found->second.answer);
        }
        mPermits.erase(found);
      }
    }
    mExpiryQueue.erase(due);
  }
}

Json::Value
permit_table::WriteEntry(const std::string& aPermit,
                         const permit_entry& aEntry,
                         time_point aNow,
                         std::size_t aMaxPartBytes) const
{
  Json::Value value;
  value["permit"] = aPermit;
  value["user"] = aEntry.user;
  value["request_hash"] = aEntry.requestHash;
  value["left_ms"] = static_cast<Json::Int64>(
    std::max<std::int64_t>(1, ToMilliseconds(aEntry.expiresAt - aNow)));
  const bool fits = StoredBytes(aEntry.answer) * 4 / 3 < aMaxPartBytes;
  if (aEntry.state == permit_state::Finished && fits) {
    value["answer"] = WriteAnswer(aEntry.answer);
  } else if (aEntry.state != permit_state::Unused) {
    stored_answer unknown;
    unknown.status = 502;
    unknown.contentType = "application/json";
    unknown.headers = { { kOutcomeHeader,
                          std::string(EnumName(outcome::Unknown)) } };
    unknown.body = R"({"error":{"outcome":"unknown","code":)"
                   R"("broken_exchange","step":"permit","peer":"",)"
                   R"("message":"the entry stopped during the request"}})";
    value["answer"] = WriteAnswer(unknown);
  }
  return value;
}

std::vector<Json::Value>
permit_table::Export(time_point aNow, std::size_t aMaxPartBytes) const
{
  Json::Value secrets(Json::objectValue);
  for (const auto& [instance, secret] : mSecrets) {
    secrets[instance] = secret;
  }
  std::vector<Json::Value> parts;
  std::size_t bytes = aMaxPartBytes;
  for (const auto& [permit, entry] : mPermits) {
    const Json::Value value = WriteEntry(permit, entry, aNow, aMaxPartBytes);
    const std::size_t size = WriteJson(value).size();
    if (bytes + size > aMaxPartBytes) {
      Json::Value part;
      part["instance"] = mInstance;
      part["secrets"] = secrets;
      part["part"] = static_cast<Json::UInt64>(parts.size());
      part["permits"] = Json::Value(Json::arrayValue);
      parts.push_back(part);
      bytes = 0;
    }
    parts.back()["permits"].append(value);
    bytes += size;
  }
  for (Json::Value& part : parts) {
    part["parts"] = static_cast<Json::UInt64>(parts.size());
  }
  return parts;
}

result<std::pair<std::string, permit_table::permit_entry>>
permit_table::ReadEntry(const Json::Value& aValue,
                        const std::string& aPeer,
                        const std::string& aPath,
                        const Json::Value& aSecrets,
                        const permit_limits& aLimits,
                        time_point aNow)
{
  object_reader item(aValue, aPeer, aPath);
  const std::string permit = item.String("permit");
  const std::string issuer = IssuerOf(permit);
  permit_entry entry;
  entry.user = item.String("user");
  entry.requestHash = item.String("request_hash", "");
  const std::int64_t remainingMs =
    item.Integer("left_ms", 1, ToMilliseconds(aLimits.retention));
  entry.expiresAt = aNow + std::chrono::milliseconds(remainingMs);
  if (issuer.empty() || !aSecrets.isMember(issuer)) {
    item.Fail("permit", "expected a permit of an instance in \"secrets\"");
  }
  if (item.Has("answer")) {
    object_reader answer(item.Object("answer"), aPeer, item.Path("answer"));
    entry.answer = ReadAnswer(answer);
    entry.state = permit_state::Finished;
    if (auto read = answer.Finish(); !read) {
      return read.error();
    }
  }
  if (auto read = item.Finish(); !read) {
    return read.error();
  }
  return std::pair(permit, std::move(entry));
}

result<void>
permit_table::Import(const Json::Value& aTable,
                     const std::string& aPeer,
                     time_point aNow)
{
  object_reader reader(aTable, aPeer);
  const std::string sender = reader.String("instance");
  const std::int64_t parts = reader.Integer("parts", 1, kMaxParts);
  const std::int64_t part = reader.Integer("part", 0, parts - 1);
  const Json::Value& secrets = reader.Object("secrets");
  for (const std::string& instance : secrets.getMemberNames()) {
    if (!secrets[instance].isString() || instance == mInstance) {
      reader.Fail("secrets",
                  "expected strings keyed by the ids of other instances");
    }
  }
  if (!secrets.isMember(sender)) {
    reader.Fail("secrets", "expected the secret of the sender");
  }
  std::vector<std::pair<std::string, permit_entry>> incoming;
  for (const Json::Value& value : reader.Array("permits")) {
    const std::string path = "permits[" + std::to_string(incoming.size()) + "]";
    BOOST_LEAF_AUTO(entry,
                    ReadEntry(value, aPeer, path, secrets, mLimits, aNow));
    incoming.push_back(std::move(entry));
  }
  if (auto read = reader.Finish(); !read) {
    return read.error();
  }
  if (mSecrets.find(sender) != mSecrets.end()) {
    return {}; // Already taken over; the local state is newer.
  }
  if (mStaged.size() >= kMaxStagedTables && mStaged.count(sender) == 0) {
    mStaged.erase(mStaged.begin());
  }
  staged_table& staged = mStaged[sender];
  if (!staged.parts.insert(part).second) {
    return {};
  }
  if (mPermits.size() + staged.permits.size() + incoming.size() >
      2 * mLimits.maxPermits) {
    mStaged.erase(sender);
    return MakeError(error_code::Overloaded,
                     "take over permits",
                     aPeer,
                     "the permit table is full");
  }
  std::move(
    incoming.begin(), incoming.end(), std::back_inserter(staged.permits));
  for (const std::string& instance : secrets.getMemberNames()) {
    staged.secrets[instance] = secrets[instance].asString();
  }
  if (static_cast<std::int64_t>(staged.parts.size()) < parts) {
    return {};
  }
  for (auto& [permit, entry] : staged.permits) {
    if (mSecrets.find(IssuerOf(permit)) == mSecrets.end()) {
      Insert(permit, std::move(entry));
    }
  }
  mSecrets.merge(staged.secrets);
  mStaged.erase(sender);
  return {};
}

std::vector<std::string>
permit_table::Adopted() const
{
  std::vector<std::string> adopted;
  for (const auto& [instance, secret] : mSecrets) {
    if (instance != mInstance) {
      adopted.push_back(instance);
    }
  }
  return adopted;
}

} // namespace arbutusferry
