#pragma once

#include "soak_servers.hpp"

#include <deque>

namespace arbutusferry::node_soak {

/// A plain target that is cold for a time after each start, and counts the
/// requests of all nodes in sliding seconds.
class zone_target final : public node::request_handler
{
public:
  /// Requests per second that it takes while cold, and how long it is cold.
  static constexpr double kPerSecond = 7.8;
  static constexpr std::chrono::seconds kColdStart{ 4 };

  zone_target(node::asio_loop& aLoop,
              fake_store& aStore,
              std::string aId,
              std::string aZone,
              std::uint16_t aPort)
    : mLoop(aLoop)
    , mStore(aStore)
    , mId(std::move(aId))
    , mZone(std::move(aZone))
    , mPort(aPort)
  {
  }
  void Start();
  /// Ends the process; it starts again under the same id after a time.
  void Restart(duration aDownTime);
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;

  [[nodiscard]] const std::string& Zone() const noexcept { return mZone; }
  [[nodiscard]] std::uint64_t Requests() const noexcept { return mRequests; }
  [[nodiscard]] std::size_t ColdPeak() const noexcept { return mColdPeak; }
  [[nodiscard]] std::uint64_t ColdRequests() const noexcept
  {
    return mColdRequests;
  }

  /// Called with each request that the target takes.
  std::function<void(zone_target&, const node::responder&)> onRequest;
  /// Called with the requests of the last second when they are too many for a
  /// cold target.
  std::function<void(zone_target&, std::size_t)> onTooMany;

private:
  [[nodiscard]] std::chrono::milliseconds ColdLeft() const;
  void WriteRecord();
  void CountRequest();

  node::asio_loop& mLoop;
  fake_store& mStore;
  std::string mId;
  std::string mZone;
  std::uint16_t mPort;
  std::int64_t mBorn = 0;
  time_point mColdUntil;
  std::deque<time_point> mLastSecond; ///< Arrivals while cold.
  std::uint64_t mRequests = 0;
  std::uint64_t mColdRequests = 0;
  std::size_t mColdPeak = 0;
  std::unique_ptr<node::http_listener> mListener;
  std::unique_ptr<node::timer> mTimer;
  std::vector<std::unique_ptr<node::timer>> mResponses;
};

} // namespace arbutusferry::node_soak
