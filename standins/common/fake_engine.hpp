#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace arbutusferry::standin {

/// Settings of a fake engine, apart from injected faults.
struct engine_options
{
  std::int64_t slots = 8;          ///< Requests that run at once.
  double tokensPerSecond = 400;    ///< Of each running stream.
  double prefillPerSecond = 40000; ///< Prompt tokens that are not cached.
  std::int64_t eventTokens = 4;    ///< Tokens in one event.
  std::int64_t version = 1;        ///< Weight version at the start.
  bool checksFencing = true;       ///< Rejects swaps with an old token.
  std::int64_t loadLagMs = 0;      ///< Age of load reports.
  std::int64_t cacheLagMs = 0;     ///< Delay of cache events.
  std::int64_t cacheGapEvery = 0;  ///< Every nth event is lost; 0 for none.
  std::int64_t swapMs = 0;         ///< Time that a weight swap takes.
};

/// Fake model engine with continuous batching: admits requests in arrival
/// order, up to its slots, and streams tokens at a fixed rate. Serves
/// `POST /v1/completions`, `GET /load`, `GET /cache_events` and
/// `POST /admin/weights` as in section 10.2 of the design page.
///
/// `PUT /admin/behavior` takes, besides the fields of `engine_options` in snake
/// case, `drop_version_labels`, `truncate_after`, `wrong_id`,
/// `crash_after_tokens`, `swap_after_tokens`, `hang_after`, `fail_swaps`,
/// `fail_status` and `fault_count` (requests that truncation, wrong ids,
/// hanging, failure statuses and dropped labels apply to; -1 for all).
class fake_engine
{
public:
  explicit fake_engine(const engine_options& aOptions);
  fake_engine(const fake_engine&) = delete;
  fake_engine& operator=(const fake_engine&) = delete;
  ~fake_engine();

  /// Called instead of closing all connections when the engine is told to
  /// crash. Set before `Start`.
  void OnCrash(std::function<void()> aAction);

  /// @return False if the address cannot be bound.
  [[nodiscard]] bool Start(const std::string& aListen);
  [[nodiscard]] std::string Address() const;

  /// @return Number of waiting and running requests.
  [[nodiscard]] std::int64_t InFlight() const;

  /// Closes the listener and all connections immediately.
  void Halt();

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry::standin
