#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace arbutusferry::standin {

/// Fake HTTP service: records every request and echoes it.
/// `PUT /admin/behavior` takes `delay_ms`, `status`, `drop_answers` (number of
/// requests that are processed but get no response), `wrong_id` and
/// `answer_bytes` (0 echoes the request body).
class fake_service
{
public:
  fake_service();
  fake_service(const fake_service&) = delete;
  fake_service& operator=(const fake_service&) = delete;
  ~fake_service();

  /// @return False if the address cannot be bound.
  [[nodiscard]] bool Start(const std::string& aListen);
  [[nodiscard]] std::string Address() const;
  /// @return Number of requests in progress.
  [[nodiscard]] std::int64_t InFlight() const;
  /// Closes the listener and all connections immediately.
  void Halt();

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry::standin
