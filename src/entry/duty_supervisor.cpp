#include "entry/duty_supervisor.hpp"

#include "arbutusferry/logging.hpp"

#include <atomic>
#include <caf/all.hpp>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace arbutusferry {

namespace {

using failed_atom = caf::atom_constant<caf::atom("failed")>;
using restart_atom = caf::atom_constant<caf::atom("restart")>;
using stop_atom = caf::atom_constant<caf::atom("stop")>;

/// Pause before a restart, so that a duty that fails immediately does not
/// occupy a core.
constexpr auto kRestartPause = std::chrono::milliseconds(100);

/// CAF starts one thread per core by default; the supervisor needs only one.
caf::actor_system_config&
Configure(caf::actor_system_config& aConfig)
{
  aConfig.set("scheduler.max-threads", 1);
  return aConfig;
}

} // namespace

struct duty_supervisor::impl
{
  struct running_duty
  {
    std::string name;
    duty run;
    std::jthread thread;
  };

  impl()
    : system(Configure(config))
  {
    actor = system.spawn([this](caf::event_based_actor* aSelf) {
      return caf::behavior{
        [aSelf](failed_atom, std::uint64_t aIndex) {
          aSelf->delayed_send(
            aSelf, kRestartPause, restart_atom::value, aIndex);
        },
        [this](restart_atom, std::uint64_t aIndex) { Launch(aIndex); },
        [aSelf](stop_atom) { aSelf->quit(); },
      };
    });
  }

  void Launch(std::size_t aIndex)
  {
    const std::lock_guard lock(mutex);
    if (stopping) {
      return;
    }
    running_duty& duty = *duties[aIndex];
    if (duty.thread.joinable()) {
      duty.thread.join();
      ++restarts;
    }
    duty.thread =
      std::jthread([this, aIndex, &duty](const std::stop_token& aStop) {
        try {
          duty.run(aStop);
          return;
        } catch (const std::exception& exception) {
          Log(log_level::Error,
              "duty_failed",
              { { "duty", duty.name }, { "message", exception.what() } });
        } catch (...) {
          Log(log_level::Error, "duty_failed", { { "duty", duty.name } });
        }
        caf::anon_send(
          actor, failed_atom::value, static_cast<std::uint64_t>(aIndex));
      });
  }

  caf::actor_system_config config;
  caf::actor_system system;
  caf::actor actor;
  std::mutex mutex;
  bool stopping = false;
  std::atomic<std::size_t> restarts{ 0 };
  std::vector<std::unique_ptr<running_duty>> duties;
};

duty_supervisor::duty_supervisor()
  : mImpl(std::make_unique<impl>())
{
}

duty_supervisor::~duty_supervisor()
{
  Stop();
}

void
duty_supervisor::Start(const std::string& aName, duty aDuty)
{
  std::size_t index = 0;
  {
    const std::lock_guard lock(mImpl->mutex);
    index = mImpl->duties.size();
    mImpl->duties.push_back(std::make_unique<impl::running_duty>());
    mImpl->duties.back()->name = aName;
    mImpl->duties.back()->run = std::move(aDuty);
  }
  mImpl->Launch(index);
}

void
duty_supervisor::Stop()
{
  {
    const std::lock_guard lock(mImpl->mutex);
    if (mImpl->stopping) {
      return;
    }
    mImpl->stopping = true;
  }
  for (auto& duty : mImpl->duties) {
    duty->thread.request_stop();
  }
  for (auto& duty : mImpl->duties) {
    if (duty->thread.joinable()) {
      duty->thread.join();
    }
  }
  caf::anon_send(mImpl->actor, stop_atom::value);
  mImpl->actor = nullptr;
}

std::size_t
duty_supervisor::Restarts() const
{
  return mImpl->restarts;
}

} // namespace arbutusferry
