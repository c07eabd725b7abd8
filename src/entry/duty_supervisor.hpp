#pragma once

#include <functional>
#include <memory>
#include <stop_token>
#include <string>

namespace arbutusferry {

/// Runs background duties on one thread each and restarts a duty that ended
/// with an exception. Decisions are made by one CAF actor.
class duty_supervisor
{
public:
  /// Runs until the token asks it to stop.
  using duty = std::function<void(const std::stop_token&)>;

  duty_supervisor();
  ~duty_supervisor();
  duty_supervisor(const duty_supervisor&) = delete;
  duty_supervisor& operator=(const duty_supervisor&) = delete;

  /// Starts a duty.
  void Start(const std::string& aName, duty aDuty);

  /// Stops and joins all duties.
  void Stop();

  /// @return Restarts since the start, of all duties.
  [[nodiscard]] std::size_t Restarts() const;

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry
