#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace arbutusferry::standin {

/// Plain service: echoes every request and records what it received.
/// `PUT /admin/behavior` takes `delay_ms`, `status`, `drop_answers` (number of
/// answers that are lost after the request ran), `wrong_id` and `answer_bytes`
/// (0 echoes the request body).
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
  /// @return Requests that run.
  [[nodiscard]] std::int64_t InFlight() const;
  /// Closes the listener and all connections at once.
  void Halt();

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry::standin
