#include "control/duty.hpp"

#include <caf/all.hpp>

namespace arbutusferry {

namespace {

using step_atom = caf::atom_constant<caf::atom("step")>;
using start_atom = caf::atom_constant<caf::atom("start")>;

constexpr std::chrono::seconds kRestartDelay{ 1 };

using failure_handler =
  std::function<void(const std::string&, const std::string&)>;

caf::behavior
DutyBehavior(caf::event_based_actor* aSelf,
             const duty_factory& aFactory,
             const failure_handler& aOnFailure)
{
  std::shared_ptr<duty> work;
  try {
    work = aFactory.make();
  } catch (const std::exception& exception) {
    aOnFailure(aFactory.name, exception.what());
    aSelf->quit(caf::exit_reason::unhandled_exception);
    return {};
  }
  aSelf->send(aSelf, step_atom::value);
  return { [aSelf, work, name = aFactory.name, aOnFailure](step_atom) {
    try {
      aSelf->delayed_send(aSelf, work->Step(), step_atom::value);
    } catch (const std::exception& exception) {
      aOnFailure(name, exception.what());
      aSelf->quit(caf::exit_reason::unhandled_exception);
    }
  } };
}

struct supervisor_state
{
  std::vector<duty_factory> factories;
  std::map<caf::actor_addr, std::size_t> running;
};

caf::behavior
SupervisorBehavior(caf::stateful_actor<supervisor_state>* aSelf,
                   std::vector<duty_factory> aDuties,
                   const failure_handler& aOnFailure)
{
  aSelf->state.factories = std::move(aDuties);
  const auto start = [aSelf, aOnFailure](std::size_t aIndex) {
    const auto child =
      aSelf->spawn<caf::linked + caf::monitored + caf::detached>(
        DutyBehavior, aSelf->state.factories[aIndex], aOnFailure);
    aSelf->state.running[child.address()] = aIndex;
  };
  // The supervisor is linked to its duties: it ignores their exits and quits,
  // ending all of them, only when it is itself shut down.
  aSelf->set_exit_handler([aSelf](const caf::exit_msg& aMessage) {
    if (aMessage.reason == caf::exit_reason::user_shutdown) {
      aSelf->quit(caf::exit_reason::user_shutdown);
    }
  });
  aSelf->set_down_handler([aSelf](const caf::down_msg& aMessage) {
    const auto found = aSelf->state.running.find(aMessage.source);
    if (found == aSelf->state.running.end()) {
      return;
    }
    const std::uint64_t index = found->second;
    aSelf->state.running.erase(found);
    aSelf->delayed_send(aSelf, kRestartDelay, start_atom::value, index);
  });
  for (std::size_t index = 0; index < aSelf->state.factories.size(); ++index) {
    start(index);
  }
  return { [start](start_atom, std::uint64_t aIndex) { start(aIndex); } };
}

class caf_supervisor final : public supervisor
{
public:
  caf_supervisor(std::vector<duty_factory> aDuties, failure_handler aOnFailure)
    : mSystem(Configure(mConfig))
    , mRoot(mSystem.spawn(SupervisorBehavior,
                          std::move(aDuties),
                          std::move(aOnFailure)))
  {
  }

  ~caf_supervisor() override { Stop(); }

  void Stop() override
  {
    if (mRoot) {
      caf::anon_send_exit(mRoot, caf::exit_reason::user_shutdown);
      mRoot = nullptr;
      mSystem.await_all_actors_done();
    }
  }

private:
  /// Each duty has its own thread, so two scheduler threads are enough for the
  /// supervisor and keep memory use low.
  static caf::actor_system_config& Configure(caf::actor_system_config& aConfig)
  {
    aConfig.set("scheduler.max-threads", std::size_t{ 2 });
    return aConfig;
  }

  caf::actor_system_config mConfig;
  caf::actor_system mSystem;
  caf::actor mRoot;
};

} // namespace

std::unique_ptr<supervisor>
StartSupervisor(
  std::vector<duty_factory> aDuties,
  std::function<void(const std::string&, const std::string&)> aOnFailure)
{
  return std::make_unique<caf_supervisor>(std::move(aDuties),
                                          std::move(aOnFailure));
}

} // namespace arbutusferry
