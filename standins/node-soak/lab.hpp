#pragma once

#include "arbutusferry/node/asio_net.hpp"

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Stand-ins of the users' platform, as its published protocol describes it:
/// the store, ordering and billing, samplers and a plain service.
namespace arbutusferry::lab {

/// What was broken, in words; a run without entries keeps the promises.
using findings = std::vector<std::string>;

/// The platform's store, with the troubles it may have.
class lab_store final : public node::request_handler
{
public:
  explicit lab_store(node::event_loop& aLoop)
    : mLoop(aLoop)
  {
  }
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;
  /// Writes a record of the operator or of a target; no text drops the key.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aText);

  bool busy = false; ///< Answers 503.
  int loseOf10 = 0;  ///< Appends in ten that are done and not answered.
  int lateOf10 = 0;  ///< Appends in ten that are done 1 s later, unanswered.

private:
  struct partition
  {
    std::vector<std::string> payloads;
    struct producer
    {
      std::uint64_t epoch = 0;
      std::uint64_t next = 0;
      std::string lastAnswer;
    };
    std::map<std::string, producer> producers;
    std::vector<std::function<void()>> waiting;
  };
  struct append_call
  {
    std::string partition;
    std::vector<std::string> payloads;
    std::optional<std::uint64_t> at;
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
  };

  [[nodiscard]] std::pair<int, std::string> Append(const append_call& aCall);
  void HandleAppend(const node::http_request& aRequest,
                    const std::shared_ptr<node::responder>& aResponder);
  void HandleRead(const std::string& aTarget,
                  time_point aUntil,
                  const std::shared_ptr<node::responder>& aResponder);
  void HandleNewest(const std::string& aTarget, node::responder& aResponder);
  [[nodiscard]] int Roll() { return static_cast<int>(++mCalls * 7 % 10); }

  node::event_loop& mLoop;
  std::map<std::string, partition> mPartitions;
  std::vector<std::unique_ptr<node::timer>> mTimers;
  std::uint64_t mCalls = 0;
};

/// Ordering and billing: notes reports that contradict each other.
class lab_duties final : public node::request_handler
{
public:
  explicit lab_duties(findings& aFindings)
    : mFindings(aFindings)
  {
  }
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;

private:
  findings& mFindings;
  std::map<std::int64_t, std::string> mReports; ///< Counts by window.
  std::uint64_t mFence = 0;
  std::map<std::uint64_t, std::string> mHolders; ///< By fence.
};

/// A model sampler. Its events name the item, their number and the version, so
/// that texts and labels can be checked.
class lab_sampler final : public node::request_handler
{
public:
  lab_sampler(node::event_loop& aLoop, findings& aFindings, std::string aId);
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;
  /// The registry's record of this sampler.
  [[nodiscard]] std::string Record(const std::string& aAddress,
                                   const std::string& aZone,
                                   bool aDraining) const;
  /// Ends all runs and answers nothing, until it is lit again.
  void SetDark(bool aDark);

  std::chrono::milliseconds pace{ 15 };
  /// Called for each item that begins, with its id and version.
  std::function<void(const std::string&, std::int64_t)> onRun;

private:
  void Order(const node::http_request& aRequest, node::responder& aResponder);
  void Produce(const std::shared_ptr<node::responder>& aResponder,
               const std::string& aItem,
               std::size_t aNumber,
               std::int64_t aVersion);

  node::event_loop& mLoop;
  findings& mFindings;
  std::string mId;
  std::map<std::string, std::int64_t> mVersions{ { "m0", 1 }, { "m1", 1 } };
  std::uint64_t mOrders = 0;
  std::uint64_t mFence = 0;
  std::map<std::uint64_t, std::string> mHolders;
  bool mDark = false;
  std::vector<std::shared_ptr<node::responder>> mRunning;
  std::map<std::uint64_t, std::unique_ptr<node::timer>> mTimers;
  std::uint64_t mNextTimer = 0;
};

/// Number of events of an item, known from its id.
[[nodiscard]] std::size_t
EventsOf(const std::string& aItem);

/// A plain service, some of whose calls may not be repeated.
class lab_desk final : public node::request_handler
{
public:
  explicit lab_desk(node::event_loop& aLoop)
    : mLoop(aLoop)
  {
  }
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;

  std::string id;
  std::map<std::string, int>* runs = nullptr; ///< By request, of all desks.
  int failOf20 = 0; ///< Answers in twenty that are cut off after the run.

private:
  node::event_loop& mLoop;
  std::map<std::uint64_t, std::unique_ptr<node::timer>> mTimers;
  std::uint64_t mNextTimer = 0;
};

} // namespace arbutusferry::lab
