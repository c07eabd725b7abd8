#pragma once

#include "arbutusferry/enum_names.hpp"

#include <boost/leaf.hpp>
#include <string>
#include <variant>

namespace arbutusferry {

namespace leaf = boost::leaf;

/// Kind of a failure.
enum class error_code
{
  InvalidArgument, ///< Input from outside is malformed or not allowed.
  InvalidSettings, ///< A settings file or command line is wrong.
  Unauthorized,    ///< The key is missing, unknown or withdrawn.
  NotFound,        ///< The named thing does not exist.
  Conflict,        ///< Another writer was first, or the fencing token is old.
  Unreachable,     ///< Nothing was sent, or a read-only call got no response.
  /// A deadline passed or the peer sent no response. A request that was sent
  /// may have been executed.
  Timeout,
  BrokenExchange, ///< The connection broke or the response is not valid.
  Overloaded,     ///< A bound was reached; nothing was run.
  Unavailable,    ///< Cannot be served now; nothing was run.
  LeaseLost,      ///< The process no longer holds the role.
  Internal,       ///< A defect of this program.
};

template<>
inline constexpr enum_name_table<error_code, 12> kEnumNames<error_code>{ {
  { error_code::InvalidArgument, "invalid_argument" },
  { error_code::InvalidSettings, "invalid_settings" },
  { error_code::Unauthorized, "unauthorized" },
  { error_code::NotFound, "not_found" },
  { error_code::Conflict, "conflict" },
  { error_code::Unreachable, "unreachable" },
  { error_code::Timeout, "timeout" },
  { error_code::BrokenExchange, "broken_exchange" },
  { error_code::Overloaded, "overloaded" },
  { error_code::Unavailable, "unavailable" },
  { error_code::LeaseLost, "lease_lost" },
  { error_code::Internal, "internal" },
} };

/// Error object carried by every failed `result`: what failed, in which step,
/// and with which peer (an address, a file name, or empty).
struct error_info
{
  error_code code = error_code::Internal;
  std::string step;
  std::string peer;
  std::string message;
};

/// Result of an operation that may fail.
template<typename T>
using result = leaf::result<T>;

/// Creates an error.
/// @param aCode Kind of the failure.
/// @param aStep Step at which it arose, such as "connect".
/// @param aPeer Peer it arose with, or empty.
/// @param aMessage What was wrong; never contains a key.
/// @return The error id to return from a function that returns `result`.
[[nodiscard]] inline leaf::error_id
MakeError(error_code aCode,
          std::string aStep,
          std::string aPeer,
          std::string aMessage)
{
  return leaf::new_error(error_info{
    aCode, std::move(aStep), std::move(aPeer), std::move(aMessage) });
}

namespace detail {

template<typename T>
struct result_value
{
};

template<typename T>
struct result_value<result<T>>
{
  using type = T;
};

template<>
struct result_value<result<void>>
{
  using type = std::monostate;
};

} // namespace detail

/// Calls a function that returns `result<T>` and turns the outcome into a
/// value: the result or the error object.
/// @param aFunction Function without arguments.
/// @return The value (`std::monostate` for `result<void>`) or the error.
template<typename Function>
[[nodiscard]] auto
Capture(Function&& aFunction)
{
  using result_type = std::decay_t<decltype(aFunction())>;
  using value_type = typename detail::result_value<result_type>::type;
  using captured = std::variant<value_type, error_info>;
  return leaf::try_handle_all(
    [&]() -> leaf::result<captured> {
      auto outcome = aFunction();
      if (!outcome) {
        return outcome.error();
      }
      if constexpr (std::is_same_v<value_type, std::monostate>) {
        return captured(std::in_place_index<0>);
      } else {
        return captured(std::in_place_index<0>, std::move(*outcome));
      }
    },
    [](const error_info& aError) {
      return captured(std::in_place_index<1>, aError);
    },
    [] {
      return captured(std::in_place_index<1>,
                      error_info{ error_code::Internal, "", "", "unknown" });
    });
}

/// @return One line for display: "step: peer: message (code)".
[[nodiscard]] std::string
FormatError(const error_info& aError);

} // namespace arbutusferry
