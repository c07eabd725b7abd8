#pragma once

#include "arbutusferry/node/asio_net.hpp"
#include "holder_rule.hpp"

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// In-process servers that follow the platform's published protocol: the store
/// and the duty endpoint (ordering and billing).
namespace arbutusferry::node_soak {

/// Descriptions of violated guarantees; empty if a run passes.
using finding_list = std::vector<std::string>;

/// The platform's store, with faults that can be switched on.
class fake_store final : public node::request_handler
{
public:
  explicit fake_store(node::event_loop& aLoop)
    : mLoop(aLoop)
  {
  }
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;
  /// Appends a keyed record to partition 0; an empty text deletes the key.
  void PutRecord(const std::string& aTopic,
                 const std::string& aKey,
                 const std::string& aText);

  /// Answers every request with 503.
  bool unavailable = false;
  /// Appends per ten that are executed without a reply.
  int lostRepliesPer10 = 0;
  /// Appends per ten that are executed 1 s late and without a reply.
  int delayedAppendsPer10 = 0;

private:
  struct partition
  {
    std::vector<std::string> payloads;
    struct producer
    {
      std::uint64_t epoch = 0;
      std::uint64_t nextSequence = 0;
      std::string lastReply;
    };
    std::map<std::string, producer> producers;
    std::vector<std::function<void()>> waiters;
  };
  struct append_request
  {
    std::string partition;
    std::vector<std::string> payloads;
    std::optional<std::uint64_t> expectedEnd;
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
  };

  [[nodiscard]] std::pair<int, std::string> Append(
    const append_request& aRequest);
  void HandleAppend(const node::http_request& aRequest,
                    const std::shared_ptr<node::responder>& aResponder);
  void HandleRead(const std::string& aTarget,
                  time_point aUntil,
                  const std::shared_ptr<node::responder>& aResponder);
  void HandleNewest(const std::string& aTarget, node::responder& aResponder);
  /// Deterministic sequence that takes each value from 0 to 9 equally often.
  [[nodiscard]] int NextDraw()
  {
    return static_cast<int>(++mDrawCount * 7 % 10);
  }

  node::event_loop& mLoop;
  std::map<std::string, partition> mPartitions;
  std::vector<std::unique_ptr<node::timer>> mTimers;
  std::uint64_t mDrawCount = 0;
};

/// Lease of a duty's holder.
inline constexpr std::chrono::milliseconds kDutyLease{ 3'000 };

/// Accepts duty reports and records those that contradict each other.
class fake_duty_service final : public node::request_handler
{
public:
  fake_duty_service(node::event_loop& aLoop, finding_list& aFindings)
    : mLoop(aLoop)
    , mFindings(aFindings)
  {
  }
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;

  bool checksFences = true;
  /// Whether the sender of a call is excused from the rule on holders.
  std::function<bool(const node::responder&)> excused;

private:
  node::event_loop& mLoop;
  holder_rule mHolders{ kDutyLease };
  finding_list& mFindings;
  std::map<std::int64_t, std::string> mCountsByWindow;
  std::uint64_t mHighestFence = 0;
  std::map<std::uint64_t, std::string> mHolderByFence;
};

} // namespace arbutusferry::node_soak
