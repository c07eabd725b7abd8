#pragma once

#include "arbutusferry/time.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutusferry {

/// Background task of the control process; it runs on its own thread.
class duty
{
public:
  virtual ~duty() = default;

  /// Runs one step; may block for as long as a peer holds a request open. An
  /// exception ends the duty, and the supervisor starts a new one.
  /// @return Time until the next step.
  virtual duration Step() = 0;
};

/// Creates a new instance of a duty at every start and restart.
struct duty_factory
{
  std::string name;
  std::function<std::unique_ptr<duty>()> make;
};

/// Runs each duty as a detached CAF actor. A duty that fails is restarted after
/// a second; the others continue.
class supervisor
{
public:
  virtual ~supervisor() = default;

  /// Ends all duties after their current steps.
  virtual void Stop() = 0;
};

/// @param aOnFailure Called with the name of a failed duty and the reason.
[[nodiscard]] std::unique_ptr<supervisor>
StartSupervisor(
  std::vector<duty_factory> aDuties,
  std::function<void(const std::string&, const std::string&)> aOnFailure);

} // namespace arbutusferry
