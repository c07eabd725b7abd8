#include "arbutusferry/permit.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"

#include <algorithm>

namespace arbutusferry {

namespace {

constexpr std::size_t kNonceBytes = 16;

/// Bytes of overhead counted for each stored answer.
constexpr std::size_t kAnswerOverhead = 256;

/// Hexadecimal digits of a code that are kept: 128 bits.
constexpr std::size_t kCodeDigits = 32;

/// Parts of `<instance>.<nonce>.<code>`.
struct permit_parts
{
  std::string_view instance;
  std::string_view nonce;
  std::string_view code;
};

std::optional<permit_parts>
Split(std::string_view aPermit)
{
  const std::size_t first = aPermit.find('.');
  const std::size_t second = aPermit.rfind('.');
  if (first == std::string_view::npos || first == second || first == 0) {
    return std::nullopt;
  }
  const permit_parts parts{ aPermit.substr(0, first),
                            aPermit.substr(first + 1, second - first - 1),
                            aPermit.substr(second + 1) };
  if (parts.nonce.size() != kNonceBytes * 2 ||
      parts.code.size() != kCodeDigits) {
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
  // Bodies need not be text.
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
permit_table::Code(const std::string& aInstance,
                   const std::string& aSecret,
                   std::string_view aNonce) const
{
  return HmacSha256Hex(aSecret, aInstance + "." + std::string(aNonce))
    .substr(0, kCodeDigits);
}

std::string
permit_table::IssuerOf(std::string_view aPermit)
{
  const auto parts = Split(aPermit);
  return parts ? std::string(parts->instance) : std::string();
}

bool
permit_table::Genuine(std::string_view aPermit) const
{
  const auto parts = Split(aPermit);
  const auto secret = parts ? mSecrets.find(parts->instance) : mSecrets.end();
  return secret != mSecrets.end() &&
         ConstantTimeEqual(Code(secret->first, secret->second, parts->nonce),
                           parts->code);
}

std::size_t
permit_table::Weight(const stored_answer& aAnswer)
{
  std::size_t weight = kAnswerOverhead + aAnswer.body.size();
  for (const auto& [name, value] : aAnswer.headers) {
    weight += name.size() + value.size();
  }
  return weight;
}

void
permit_table::Insert(const std::string& aPermit, permit_entry aEntry)
{
  mDropOrder.emplace(aEntry.dropAt, aPermit);
  if (aEntry.state == permit_state::Finished) {
    mBytes += Weight(aEntry.answer);
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
      mBytes >= mLimits.maxAnswerBytes) {
    return MakeError(
      error_code::Overloaded, "issue permits", "", "the permit table is full");
  }
  std::vector<std::string> permits;
  const std::string& secret = mSecrets.at(mInstance);
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::string nonce = RandomHex(kNonceBytes);
    permits.push_back(mInstance + "." + nonce + "." +
                      Code(mInstance, secret, nonce));
    permit_entry entry;
    entry.user = aUser;
    entry.dropAt = aNow + mLimits.keep;
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
  if (!Genuine(aPermit)) {
    return { permit_action::Forged, nullptr };
  }
  const auto found = mPermits.find(aPermit);
  if (found == mPermits.end()) {
    return { permit_action::Expired, nullptr };
  }
  permit_entry& entry = found->second;
  if (entry.user != aUser) {
    return { permit_action::WrongUser, nullptr };
  }
  if (!entry.requestHash.empty() && entry.requestHash != aRequestHash) {
    return { permit_action::WrongBody, nullptr };
  }
  switch (entry.state) {
    case permit_state::Running:
      return { permit_action::Wait, nullptr };
    case permit_state::Finished:
      return { permit_action::Replay, &entry.answer };
    case permit_state::Unused:
      break;
  }
  if (!aMayRun || mBytes >= mLimits.maxAnswerBytes) {
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
  entry.dropAt = aNow + mLimits.keep;
  mBytes += Weight(entry.answer);
  mDropOrder.emplace(entry.dropAt, found->first);
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
  while (!mDropOrder.empty() && mDropOrder.begin()->first <= aNow) {
    const auto due = mDropOrder.begin();
    const auto found = mPermits.find(due->second);
    if (found != mPermits.end() && found->second.dropAt == due->first) {
      if (found->second.state == permit_state::Running) {
        // The request still runs: its permit stays until it was answered.
        found->second.dropAt = aNow + mLimits.keep;
        mDropOrder.emplace(found->second.dropAt, found->first);
      } else {
        if (found->second.state == permit_state::Finished) {
          mBytes -= Weight(found->second.answer);
        }
        mPermits.erase(found);
      }
    }
    mDropOrder.erase(due);
  }
}

Json::Value
permit_table::Export(time_point aNow) const
{
  Json::Value table;
  table["instance"] = mInstance;
  Json::Value secrets(Json::objectValue);
  for (const auto& [instance, secret] : mSecrets) {
    secrets[instance] = secret;
  }
  table["secrets"] = secrets;
  Json::Value permits(Json::arrayValue);
  for (const auto& [permit, entry] : mPermits) {
    Json::Value value;
    value["permit"] = permit;
    value["user"] = entry.user;
    value["request_hash"] = entry.requestHash;
    value["left_ms"] = static_cast<Json::Int64>(
      std::max<std::int64_t>(1, ToMilliseconds(entry.dropAt - aNow)));
    if (entry.state == permit_state::Finished) {
      value["answer"] = WriteAnswer(entry.answer);
    } else if (entry.state == permit_state::Running) {
      stored_answer unknown;
      unknown.status = 502;
      unknown.contentType = "application/json";
      unknown.body = R"({"error":{"outcome":"unknown","code":)"
                     R"("broken_exchange","step":"permit","peer":"",)"
                     R"("message":"the entry stopped during the request"}})";
      value["answer"] = WriteAnswer(unknown);
    }
    permits.append(value);
  }
  table["permits"] = permits;
  return table;
}

result<void>
permit_table::Import(const Json::Value& aTable,
                     const std::string& aPeer,
                     time_point aNow)
{
  object_reader reader(aTable, aPeer);
  const std::string sender = reader.String("instance");
  const Json::Value& secrets = reader.Object("secrets");
  std::vector<std::pair<std::string, permit_entry>> incoming;
  std::size_t index = 0;
  for (const Json::Value& value : reader.Array("permits")) {
    object_reader item(
      value, aPeer, "permits[" + std::to_string(index++) + "]");
    const std::string permit = item.String("permit");
    const std::string issuer = IssuerOf(permit);
    permit_entry entry;
    entry.user = item.String("user");
    entry.requestHash = item.String("request_hash", "");
    const std::int64_t left =
      item.Integer("left_ms", 1, ToMilliseconds(mLimits.keep));
    entry.dropAt = aNow + std::chrono::milliseconds(left);
    if (issuer.empty() || !secrets.isMember(issuer)) {
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
    incoming.emplace_back(permit, std::move(entry));
  }
  for (const std::string& instance : secrets.getMemberNames()) {
    if (!secrets[instance].isString() || instance == mInstance) {
      reader.Fail("secrets", "expected texts by the ids of other instances");
    }
  }
  if (!reader.Failed() && !secrets.isMember(sender)) {
    reader.Fail("secrets", "expected the secret of the sender");
  }
  if (auto read = reader.Finish(); !read) {
    return read.error();
  }
  if (mPermits.size() + incoming.size() > 2 * mLimits.maxPermits) {
    return MakeError(error_code::Overloaded,
                     "take over permits",
                     aPeer,
                     "the permit table is full");
  }
  // A permit that is here already was taken over before; its state here is
  // newer.
  for (auto& [permit, entry] : incoming) {
    if (mPermits.find(permit) == mPermits.end() &&
        mSecrets.find(IssuerOf(permit)) == mSecrets.end()) {
      Insert(permit, std::move(entry));
    }
  }
  for (const std::string& instance : secrets.getMemberNames()) {
    mSecrets.emplace(instance, secrets[instance].asString());
  }
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
