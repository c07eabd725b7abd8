#pragma once

#include "arbutusferry/time.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutusferry {

/// One duty of the control process. It runs on a thread of its own.
class duty
{
public:
  virtual ~duty() = default;

  /// Does one step; may block for the length of a held request. An exception
  /// ends the duty, and the supervisor starts a new one.
  /// @return Time until the next step.
  virtual duration Step() = 0;
};

/// Creates a duty anew at every start.
struct duty_factory
{
  std::string name;
  std::function<std::unique_ptr<duty>()> make;
};

/// Supervisor of all duties over CAF: one detached actor for each duty. A duty
/// that fails is restarted after a second; the others continue.
class supervisor
{
public:
  virtual ~supervisor() = default;

  /// Ends all duties after their current steps.
  virtual void Stop() = 0;
};

/// @param aOnFailure Called with the name of a duty that failed and why.
[[nodiscard]] std::unique_ptr<supervisor>
StartSupervisor(
  std::vector<duty_factory> aDuties,
  std::function<void(const std::string&, const std::string&)> aOnFailure);

} // namespace arbutusferry
