#pragma once

#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_listener.hpp"
#include "registry/feed_message.hpp"

#include <functional>
#include <list>
#include <memory>

namespace arbutusferry::node {

/// Answers the nodes of the zone that follow this one.
class feed_service
{
public:
  /// Polls that wait at most: all nodes of a deployment of 330 in one zone.
  static constexpr std::size_t kMaxWaiting = 400;

  /// This node's own view.
  struct view
  {
    const target_changes* changes = nullptr; ///< Null: no feed here.
    bool starting = false;
    std::uint64_t next = 0;
    std::chrono::milliseconds age{ 0 };
  };
  struct parts
  {
    event_loop& loop;
    std::function<view()> look;
  };

  explicit feed_service(parts aParts)
    : mParts(std::move(aParts))
  {
  }

  [[nodiscard]] static bool IsFeedPath(std::string_view aPath)
  {
    return aPath == kFeedPath;
  }
  void Serve(const http_request& aRequest,
             const std::shared_ptr<responder>& aResponder);
  /// Notes that there may be changes for those that wait. They get all changes
  /// of a short time together.
  void NoteChange();
  [[nodiscard]] std::size_t Waiting() const noexcept { return mWaiting.size(); }

private:
  struct waiting_poll
  {
    std::shared_ptr<responder> out;
    feed_cursor cursor;
    time_point deadline;
  };

  /// Answers those that have waited long enough or for which there is news.
  void Flush();
  void ArmDeadline();
  static void Answer(const view& aView,
                     const feed_cursor& aCursor,
                     responder& aResponder);

  parts mParts;
  std::list<waiting_poll> mWaiting;
  std::unique_ptr<timer> mChangeTimer;
  std::unique_ptr<timer> mDeadlineTimer;
};

} // namespace arbutusferry::node
