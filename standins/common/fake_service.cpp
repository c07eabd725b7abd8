#include "common/fake_service.hpp"

#include "arbutusferry/json.hpp"
#include "common/http_record.hpp"
#include "common/standin_server.hpp"

#include <atomic>
#include <chrono>

namespace arbutusferry::standin {

struct fake_service::impl
{
  void Serve(const httplib::Request& aRequest, httplib::Response& aResponse);
  bool SetBehavior(const Json::Value& aValue, std::string& aError);

  recorder seen;
  std::atomic<std::int64_t> inFlight{ 0 };
  std::atomic<std::int64_t> delayMs{ 0 };
  std::atomic<std::int64_t> status{ 200 };
  std::atomic<std::int64_t> dropAnswers{ 0 };
  std::atomic<std::int64_t> answerBytes{ 0 };
  std::atomic<bool> wrongId{ false };
  std::atomic<bool> halted{ false };

  // Declared last: its threads use all other members.
  standin_server server;
};

void
fake_service::impl::Serve(const httplib::Request& aRequest,
                          httplib::Response& aResponse)
{
  if (halted) {
    server.DropConnection(aRequest);
    return;
  }
  ++inFlight;
  const std::uint64_t number = seen.Add(ToSeenRequest(aRequest));
  const auto due =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(delayMs);
  while (!halted && std::chrono::steady_clock::now() < due) {
    std::this_thread::sleep_for(std::min<std::chrono::steady_clock::duration>(
      due - std::chrono::steady_clock::now(), std::chrono::milliseconds(20)));
  }
  --inFlight;
  if (dropAnswers > 0) {
    --dropAnswers;
    server.DropConnection(aRequest);
    return;
  }
  std::string id = aRequest.get_header_value("X-Request-Id");
  if (wrongId) {
    id += "x";
  }
  aResponse.set_header("X-Request-Id", id);
  Json::Value answer(Json::objectValue);
  answer["method"] = aRequest.method;
  answer["path"] = aRequest.target;
  answer["number"] = Json::UInt64(number);
  if (answerBytes > 0) {
    answer["padding"] = std::string(static_cast<std::size_t>(answerBytes), 'x');
  } else {
    answer["body"] = aRequest.body;
  }
  seen.Finish(number);
  Reply(aResponse, static_cast<int>(status), WriteJson(answer));
}

bool
fake_service::impl::SetBehavior(const Json::Value& aValue, std::string& aError)
{
  const auto checked = Capture([&]() -> result<void> {
    object_reader reader(aValue, "behavior");
    const auto delay = reader.Integer("delay_ms", 0, 600'000, delayMs);
    const auto code = reader.Integer("status", 200, 599, status);
    const auto drop = reader.Integer("drop_answers", 0, 1'000'000, dropAnswers);
    const auto bytes =
      reader.Integer("answer_bytes", 0, 100'000'000, answerBytes);
    const bool wrong = reader.Boolean("wrong_id", wrongId);
    BOOST_LEAF_CHECK(reader.Finish());
    delayMs = delay;
    status = code;
    dropAnswers = drop;
    answerBytes = bytes;
    wrongId = wrong;
    return {};
  });
  if (const auto* error = std::get_if<error_info>(&checked)) {
    aError = FormatError(*error);
    return false;
  }
  return true;
}

fake_service::fake_service()
  : mImpl(std::make_unique<impl>())
{
  httplib::Server& http = mImpl->server.Http();
  impl* self = mImpl.get();
  http.Get("/admin/seen",
           [self](const httplib::Request&, httplib::Response& aAnswer) {
             Reply(aAnswer, 200, WriteJson(self->seen.Save()));
           });
  http.Get("/load",
           [self](const httplib::Request&, httplib::Response& aAnswer) {
             Reply(aAnswer,
                   200,
                   R"({"running":)" + std::to_string(self->inFlight) +
                     R"(,"waiting":0})");
           });
  http.Put(
    "/admin/behavior",
    [self](const httplib::Request& aRequest, httplib::Response& aAnswer) {
      const auto parsed =
        Capture([&] { return ParseJson(aRequest.body, "behavior"); });
      std::string error = "behavior: expected JSON";
      const auto* value = std::get_if<Json::Value>(&parsed);
      const bool done = value != nullptr && self->SetBehavior(*value, error);
      Json::Value answer(Json::objectValue);
      answer[done ? "set" : "error"] = done ? "true" : error;
      Reply(aAnswer, done ? 200 : 400, WriteJson(answer));
    });
  const auto serve = [self](const httplib::Request& aRequest,
                            httplib::Response& aResponse) {
    self->Serve(aRequest, aResponse);
  };
  http.Get(".*", serve);
  http.Post(".*", serve);
  http.Put(".*", serve);
  http.Patch(".*", serve);
  http.Delete(".*", serve);
  http.Options(".*", serve);
}

fake_service::~fake_service()
{
  Halt();
}

bool
fake_service::Start(const std::string& aListen)
{
  return mImpl->server.Start(aListen);
}

std::string
fake_service::Address() const
{
  return mImpl->server.Address();
}

std::int64_t
fake_service::InFlight() const
{
  return mImpl->inFlight;
}

void
fake_service::Halt()
{
  mImpl->halted = true;
  mImpl->server.Halt();
}

} // namespace arbutusferry::standin
