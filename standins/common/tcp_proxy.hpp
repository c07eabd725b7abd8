#pragma once

#include "arbutusferry/enum_names.hpp"

#include <cstdint>
#include <json/value.h>
#include <memory>
#include <string>

namespace arbutusferry::standin {

/// Fault that a proxy injects into connections.
enum class fault_mode
{
  Pass,
  Cut,         ///< Network partition: forwards and accepts nothing.
  CutToServer, ///< Stops forwarding from client to server.
  CutToClient, ///< Stops forwarding from server to client.
  Delay,       ///< Forwards data `delayMs` after receiving it.
  ResetAfter,  ///< Resets both sides after `bytes` in one direction.
  Truncate,    ///< Closes both sides with FIN after `bytes` to the client.
  LoseAnswer,  ///< Closes with FIN when the response arrives; discards it.
  Refuse,      ///< Closes the listener and resets open connections.
};

} // namespace arbutusferry::standin

namespace arbutusferry {

template<>
inline constexpr enum_name_table<standin::fault_mode, 9>
  kEnumNames<standin::fault_mode>{ {
    { standin::fault_mode::Pass, "pass" },
    { standin::fault_mode::Cut, "cut" },
    { standin::fault_mode::CutToServer, "cut_to_server" },
    { standin::fault_mode::CutToClient, "cut_to_client" },
    { standin::fault_mode::Delay, "delay" },
    { standin::fault_mode::ResetAfter, "reset_after" },
    { standin::fault_mode::Truncate, "truncate" },
    { standin::fault_mode::LoseAnswer, "lose_answer" },
    { standin::fault_mode::Refuse, "refuse" },
  } };

} // namespace arbutusferry

namespace arbutusferry::standin {

struct fault_setting
{
  fault_mode mode = fault_mode::Pass;
  std::int64_t bytes = 0;
  std::int64_t delayMs = 0;
  bool toClient = false; ///< Direction in which `ResetAfter` counts.
  /// Number of new connections the fault applies to; -1 for all connections,
  /// including open ones.
  std::int64_t count = -1;
};

/// TCP proxy that forwards to one address and injects faults.
class tcp_proxy
{
public:
  tcp_proxy();
  tcp_proxy(const tcp_proxy&) = delete;
  tcp_proxy& operator=(const tcp_proxy&) = delete;
  ~tcp_proxy();

  /// @param aListen "IP:port"; port 0 selects a free port.
  /// @param aTo "IP:port" to forward to.
  /// @return False if an address is malformed or cannot be bound.
  [[nodiscard]] bool Start(const std::string& aListen,
                           const std::string& aServer);
  [[nodiscard]] std::string Address() const;

  /// Replaces the fault and restarts its byte counts.
  void Set(const fault_setting& aSetting);

  /// @return `{"accepted","open","to_server","to_client","faults"}`: counts of
  /// connections, bytes in each direction, and connections ended by a byte
  /// limit or a discarded response.
  [[nodiscard]] Json::Value Stats() const;

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry::standin
