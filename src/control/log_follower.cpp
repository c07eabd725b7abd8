#include "control/log_follower.hpp"

#include "arbutusferry/logging.hpp"

#include <optional>

namespace arbutusferry {

namespace {

constexpr std::size_t kReadLimitRecords = 256;
/// A view is complete as of the time before a read was sent, so its age
/// reaches up to two waits at the relay, one sync interval more at a member and
/// one request hold more at an entry. With a wait of 1 s, views of members of a
/// small zone reached an age of 2.8 s.
constexpr std::chrono::milliseconds kReadWait{ 500 };
constexpr std::chrono::milliseconds kRetryDelay{ 300 };
constexpr std::chrono::milliseconds kIdleWait{ 1000 };
/// A target change must reach every entry within 3 s; syncs forward it without
/// delay. A list of 100 targets has 15 KB, so a shorter interval would cost too
/// much on a platform without conditional reads.
constexpr std::chrono::milliseconds kListInterval{ 1000 };
/// Entries also use targets of other zones and must learn within 3 s that one
/// is leaving. The list of 1,200 targets in 12 zones has 177 KB, so it is read
/// less often than the list of the process's own zone.
constexpr std::chrono::milliseconds kOtherZonesInterval{ 2000 };

class log_follower final : public duty
{
public:
  log_follower(node_state& aState, std::shared_ptr<platform_log> aLog)
    : mState(aState)
    , mLog(std::move(aLog))
  {
  }

  duration Step() override
  {
    if (!mState.WaitToReadLog(kIdleWait)) {
      return mState.Stopping() ? duration(kRetryDelay) : duration{};
    }
    const log_offset from = mState.WithFeed(
      [](const config_feed& aFeed) { return aFeed.ReadFrom(); });
    const time_point sent = mState.Clock().Now();
    auto read =
      Capture([&] { return mLog->Read(from, kReadLimitRecords, kReadWait); });
    if (const auto* failure = std::get_if<error_info>(&read)) {
      if (mLogReachable) {
        LogError(log_level::Warning, "log_unreachable", *failure);
      }
      mLogReachable = false;
      mState.SetLogReachable(false);
      return kRetryDelay;
    }
    const time_point now = mState.Clock().Now();
    mLogReachable = true;
    mState.SetLogReachable(true);
    const auto& batch = std::get<log_batch>(read);
    mState.UpdateFeed([&](config_feed& aFeed) {
      return aFeed.OnLogBatch(batch, kReadLimitRecords, sent, now);
    });
    return {};
  }

private:
  node_state& mState;
  std::shared_ptr<platform_log> mLog;
  bool mLogReachable = true;
};

class directory_reader final : public duty
{
public:
  directory_reader(node_state& aState, std::shared_ptr<vm_directory> aDirectory)
    : mState(aState)
    , mDirectory(std::move(aDirectory))
  {
  }

  duration Step() override
  {
    if (!mState.WaitToReadLog(kIdleWait)) {
      return kListInterval;
    }
    auto vms = Capture([&] { return mDirectory->ListVms(); });
    if (auto* list = std::get_if<std::vector<vm_info>>(&vms)) {
      mState.WithZoneView(
        [&](zone_view& aZoneView) { aZoneView.SetVms(std::move(*list)); });
    }
    ReadTargets();
    return kListInterval;
  }

private:
  void ReadTargets()
  {
    const std::string& zone = mState.Options().zone;
    const time_point now = mState.Clock().Now();
    const bool all =
      !mAllZonesReadAt || now - *mAllZonesReadAt >= kOtherZonesInterval;
    auto read = Capture(
      [&] { return mDirectory->ListTargets(all ? std::string() : zone); });
    auto* list = std::get_if<std::vector<target_info>>(&read);
    if (list == nullptr) {
      return;
    }
    if (all) {
      mAllZonesReadAt = now;
    }
    mState.WithZoneView([&](zone_view& aZoneView) {
      if (all) {
        aZoneView.SetTargets(std::move(*list));
      } else {
        aZoneView.SetZoneTargets(std::move(*list));
      }
    });
  }

  node_state& mState;
  std::shared_ptr<vm_directory> mDirectory;
  std::optional<time_point> mAllZonesReadAt; ///< Last read of all zones.
};

} // namespace

std::unique_ptr<duty>
MakeLogFollower(node_state& aState, std::shared_ptr<platform_log> aLog)
{
  return std::make_unique<log_follower>(aState, std::move(aLog));
}

std::unique_ptr<duty>
MakeDirectoryReader(node_state& aState,
                    std::shared_ptr<vm_directory> aDirectory)
{
  return std::make_unique<directory_reader>(aState, std::move(aDirectory));
}

} // namespace arbutusferry
