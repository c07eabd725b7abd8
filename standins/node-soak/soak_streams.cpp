#include "soak.hpp"

#include <algorithm>

namespace arbutusferry::node_soak {

namespace {

using std::chrono::milliseconds;

constexpr int kMaxAttempts = 8;
/// Streams taken up again from which on the share that goes on is judged, and
/// the least part of the share of new streams (the platform's rule).
constexpr std::size_t kJudgedStreams = 12;
constexpr double kLeastPart = 0.5;

/// Reads one response of a stream.
class stream_reader final : public node::response_sink
{
public:
  using event = node::event_stream_parser::event;

  stream_reader(std::function<void(const event&)> aOnEvent,
                std::function<void(const stream_outcome&)> aOnEnd)
    : mOnEvent(std::move(aOnEvent))
    , mOnEnd(std::move(aOnEnd))
  {
  }
  void OnHead(int aStatus, const node::header_list&) override
  {
    mOutcome.status = aStatus;
  }
  void OnBody(std::string_view aPart) override
  {
    if (mOutcome.status != 200) {
      mOutcome.body += aPart;
      return;
    }
    for (const event& entry : mParser.Feed(aPart)) {
      mOutcome.served = true;
      mOnEvent(entry);
    }
  }
  void OnEnd() override
  {
    mOutcome.complete =
      mOutcome.status != 200 || (mOutcome.served && mParser.AtBoundary());
    mOnEnd(mOutcome);
  }
  void OnFailure(node::exchange_failure) override { mOnEnd(mOutcome); }

private:
  std::function<void(const event&)> mOnEvent;
  std::function<void(const stream_outcome&)> mOnEnd;
  node::event_stream_parser mParser;
  stream_outcome mOutcome;
};

} // namespace

std::size_t
soak_test::StreamSamplers(const std::string& aSoftware) const
{
  return static_cast<std::size_t>(
    std::count_if(mSamplers.begin(), mSamplers.end(), [&](const auto& aEntry) {
      return aEntry->service == "streams" && !aEntry->Offline() &&
             (aSoftware.empty() || aEntry->software == aSoftware);
    }));
}

void
soak_test::StartStream()
{
  if (mFaultsCleared) {
    return;
  }
  ++mStreamCount;
  SendStream(std::make_shared<caller_stream>());
  RunAfter(milliseconds(60 + RandomBelow(120)), [this] { StartStream(); });
}

void
soak_test::BreakStreams()
{
  if (mFaultsCleared) {
    return;
  }
  fake_sampler& sampler = *mSamplers[RandomBelow(mSamplers.size())];
  if (sampler.service == "streams" && !sampler.Offline()) {
    sampler.SetOffline(true);
    sampler.SetOffline(false);
  }
  RunAfter(milliseconds(50 + RandomBelow(250)), [this] { BreakStreams(); });
}

void
soak_test::SendStream(const std::shared_ptr<caller_stream>& aStream)
{
  if (++aStream->attempts > kMaxAttempts || mFaultsCleared) {
    return;
  }
  const bool resumes = aStream->events > 0;
  // The second character of a stream's id is the index of its model.
  const std::string id = "q0" + std::to_string(mStreamCount) + "-" +
                         std::to_string(aStream->attempts) + "-" +
                         std::to_string(RandomBelow(1'000'000'000));
  node::http_request request{ "POST",
                              "/s/x",
                              { { "Host", "lab.example" },
                                { "Authorization", "Bearer key" },
                                { "Arbutusferry-Request-Id", id },
                                { "Arbutusferry-Deadline-Ms", "6000" } },
                              "body" };
  if (resumes) {
    request.headers.Add("Last-Event-Id", std::to_string(aStream->events));
    request.headers.Add("Resumes", aStream->origin);
  }
  const node_process& node = *mNodes[RandomBelow(mNodes.size())];
  stream_counts* counts = nullptr;
  if (mLoop.Now() >= node.excusedUntil &&
      StreamSamplers(aStream->software) >= 2) {
    counts = resumes ? &mResumedStreams : &mNewStreams;
  }
  node::exchange_options options;
  options.connectTimeout = milliseconds(500);
  options.readTimeout = milliseconds(1'500);
  mClient->Send(LoopbackAddress(node.callerPort),
                std::move(request),
                options,
                std::make_shared<stream_reader>(
                  [this, aStream, id](const stream_reader::event& aEvent) {
                    OnStreamEvent(*aStream, id, aEvent);
                  },
                  [this, aStream, id, counts](const stream_outcome& aOutcome) {
                    OnStreamEnd(aStream, id, counts, aOutcome);
                  }));
}

void
soak_test::OnStreamEvent(caller_stream& aStream,
                         const std::string& aRequest,
                         const node::event_stream_parser::event& aEvent)
{
  const std::string software = aEvent.data.substr(aEvent.data.rfind('.') + 1);
  if (aStream.events == 0) {
    aStream.origin = aRequest;
    aStream.software = software;
  }
  if (software != aStream.software) {
    AddFinding(aStream.origin + ": stream of two software versions");
  }
  if (aEvent.id != aStream.events + 1) {
    AddFinding(aStream.origin + ": event " + std::to_string(aEvent.id) +
               " after event " + std::to_string(aStream.events));
  }
  aStream.events = aEvent.id;
}

void
soak_test::OnStreamEnd(const std::shared_ptr<caller_stream>& aStream,
                       const std::string& aRequest,
                       stream_counts* aCounts,
                       const stream_outcome& aOutcome)
{
  if (aOutcome.status == 400) {
    ++mRejectedStreams;
    const auto rejection = StreamRejection(aRequest);
    if (!rejection || !aOutcome.complete || aOutcome.body != *rejection) {
      AddFinding(aRequest +
                 ": a sampler's error isn't whole: " + aOutcome.body);
    }
    return; // It would be rejected again.
  }
  if (aCounts) {
    ++aCounts->sent;
    aCounts->served += aOutcome.served ? 1 : 0;
  }
  if (aOutcome.status != 200 || !aOutcome.complete) {
    RunAfter(milliseconds(20 + RandomBelow(400)),
             [this, aStream] { SendStream(aStream); });
  }
}

void
soak_test::CheckResumedStreams()
{
  if (mResumedStreams.sent < kJudgedStreams || mNewStreams.sent == 0) {
    return;
  }
  const auto share = [](const stream_counts& aCounts) {
    return static_cast<double>(aCounts.served) /
           static_cast<double>(aCounts.sent);
  };
  if (share(mResumedStreams) < kLeastPart * share(mNewStreams)) {
    AddFinding("of " + std::to_string(mResumedStreams.sent) +
               " resumed streams only " +
               std::to_string(mResumedStreams.served) + " went on");
  }
}

} // namespace arbutusferry::node_soak
