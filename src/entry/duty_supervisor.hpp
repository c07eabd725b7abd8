#pragma once

#include <functional>
#include <memory>
#include <stop_token>
#include <string>

namespace arbutusferry {

/// Runs each background duty on its own thread and restarts it after an
/// exception. A CAF actor schedules the restarts.
class duty_supervisor
{
public:
  /// Function that runs until a stop is requested.
  using duty = std::function<void(const std::stop_token&)>;

  duty_supervisor();
  ~duty_supervisor();
  duty_supervisor(const duty_supervisor&) = delete;
  duty_supervisor& operator=(const duty_supervisor&) = delete;

  void Start(const std::string& aName, duty aDuty);

  /// Stops and joins all duties.
  void Stop();

  /// @return Total number of restarts of all duties.
  [[nodiscard]] std::size_t Restarts() const;

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry
