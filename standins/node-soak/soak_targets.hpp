#pragma once

#include "arbutusferry/node/asio_net.hpp"
#include "common/limit_rule.hpp"
#include "holder_rule.hpp"
#include "soak_servers.hpp"

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// In-process targets that follow the platform's published protocol: model
/// samplers and a plain service.
namespace arbutusferry::node_soak {

/// A target's limit on requests, and its check of the requests that it gets.
class limited_requests
{
public:
  /// Finds the node that sent a request.
  using sender_lookup = std::function<std::string(const node::responder&)>;

  limited_requests(node::event_loop& aLoop, finding_list& aFindings)
    : mLoop(aLoop)
    , mFindings(aFindings)
  {
  }
  void SetLimit(std::optional<double> aPerSecond)
  {
    mRule.SetLimit(aPerSecond, mLoop.Now());
  }
  /// Counts a request, and adds the limit to the headers of its response.
  void Apply(const std::string& aTarget,
             const node::responder& aResponder,
             node::header_list& aHeaders);
  void Excuse(const std::string& aSender, time_point aUntil)
  {
    mRule.Excuse(aSender, aUntil);
  }
  [[nodiscard]] std::size_t Peak() const noexcept { return mRule.Peak(); }

  sender_lookup findSender;

private:
  node::event_loop& mLoop;
  finding_list& mFindings;
  standin::limit_rule mRule;
};

/// A model sampler. Each event contains the item, the event number, the model
/// version and the sampler's software, so that texts can be checked.
class fake_sampler final : public node::request_handler
{
public:
  fake_sampler(node::event_loop& aLoop,
               finding_list& aFindings,
               std::string aId);
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;
  /// Returns the registry record of this sampler.
  [[nodiscard]] std::string Record(const std::string& aAddress,
                                   const std::string& aZone,
                                   bool aDraining) const;
  [[nodiscard]] bool Offline() const noexcept { return mOffline; }
  /// While offline, aborts all responses and answers no requests.
  void SetOffline(bool aOffline);

  std::string service = "models";
  std::string software = "s1";
  std::chrono::milliseconds eventInterval{ 15 };
  limited_requests limit;
  bool checksFences = true;
  /// Whether some weight orders get no answer and are carried out late.
  bool delaysOrders = false;
  /// Whether the sender of an order is excused from the rule on holders.
  std::function<bool(const node::responder&)> excused;
  /// Called with each request that it takes, weight orders and requests for
  /// reports among them.
  std::function<void(const node::responder&)> onRequest;
  /// Called when an item starts, with its id and model version.
  std::function<void(const std::string&, std::int64_t)> onItemStarted;
  /// Called when the last event of an item was made.
  std::function<void(const std::string&)> onItemFinished;

private:
  void HandleOrder(const node::http_request& aRequest,
                   const std::shared_ptr<node::responder>& aResponder);
  /// @return The status of the answer.
  [[nodiscard]] int TakeOrder(const Json::Value& aOrder);
  /// Loads the weights of an order, once the runs have ended if it says so.
  void Load(const Json::Value& aOrder);
  void SendNextEvent(const std::shared_ptr<node::responder>& aResponder,
                     const std::string& aItem,
                     std::size_t aEventNumber,
                     std::int64_t aVersion);

  node::event_loop& mLoop;
  finding_list& mFindings;
  std::string mId;
  std::map<std::string, std::int64_t> mVersions{ { "m0", 1 }, { "m1", 1 } };
  std::uint64_t mOrderCount = 0;
  std::uint64_t mReceivedOrders = 0;
  bool mLoading = false; ///< An order waits until the runs have ended.
  holder_rule mHolders{ kDutyLease };
  std::uint64_t mHighestFence = 0;
  std::map<std::uint64_t, std::string> mHolderByFence;
  bool mOffline = false;
  std::vector<std::shared_ptr<node::responder>> mOpenResponses;
  std::map<std::uint64_t, std::unique_ptr<node::timer>> mTimers;
  std::uint64_t mNextTimerId = 0;
};

/// Returns the number of events of an item, which is derived from its id.
[[nodiscard]] std::size_t
EventCount(const std::string& aItem);

/// @return The body of the error with which samplers answer a new stream, or
/// nothing if they serve it; derived from the request's id.
[[nodiscard]] std::optional<std::string>
StreamRejection(const std::string& aRequest);

/// Begin of the ids of reward calls; the id of their item follows.
inline constexpr std::string_view kRewardPrefix = "w-";

/// @return Whether the reward calls of an item always fail.
[[nodiscard]] bool
RewardAlwaysFails(const std::string& aItem);

/// How a target's reply can be faulty after the request has run.
enum class faulty_reply
{
  Aborted,      ///< The connection closes before the reply.
  BrokenOff,    ///< It closes in the middle of the body.
  NoHttpStatus, ///< The status is none of HTTP.
  FalseRefusal, ///< 503, which doesn't say that the request hasn't run.
  Unsigned,     ///< The target's signature is missing.
};

/// A plain service that counts how often each request is executed, and scores
/// texts.
class fake_plain_service final : public node::request_handler
{
public:
  fake_plain_service(node::event_loop& aLoop, finding_list& aFindings)
    : limit(aLoop, aFindings)
    , mLoop(aLoop)
  {
  }
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;

  std::string id;
  limited_requests limit;
  /// Called when a reward call begins, and with the score that it gets; empty
  /// if it fails.
  std::function<void(const std::string&, const node::responder&)> onRewardCall;
  std::function<void(const std::string&, const std::string&)> onScored;
  /// Executions by request id; shared by all services, not owned.
  std::map<std::string, int>* runCounts = nullptr;
  /// Replies per twenty that are faulty after execution, unless the request has
  /// run before.
  int faultyRepliesPer20 = 0;
  /// Longest execution; each request takes a part of it, by its id.
  std::chrono::milliseconds longestRun{ 0 };

private:
  void SendFaulty(node::http_response aResponse,
                  faulty_reply aKind,
                  const std::shared_ptr<node::responder>& aResponder);

  node::event_loop& mLoop;
  std::map<std::uint64_t, std::unique_ptr<node::timer>> mTimers;
  std::uint64_t mNextTimerId = 0;
};

} // namespace arbutusferry::node_soak
