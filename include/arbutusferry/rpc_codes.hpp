#pragma once

namespace arbutusferry {

/// JSON-RPC error codes of calls that changed nothing. The codes -32001 and
/// -32003 are not used: libjsonrpccpp reports them for answers that it could
/// not parse or receive, after which the outcome is unknown.
inline constexpr int kRpcCodeInvalidRequest = -32600;
inline constexpr int kRpcCodeNoMethod = -32601;
inline constexpr int kRpcCodeInvalidParams = -32602;
inline constexpr int kRpcCodeNotFound = -32004;
inline constexpr int kRpcCodeUnavailable = -32011; ///< Try again later.

/// @return True if the code proves that the request changed nothing.
[[nodiscard]] constexpr bool
ProvesNoEffect(int aCode) noexcept
{
  return aCode == kRpcCodeInvalidRequest || aCode == kRpcCodeNoMethod ||
         aCode == kRpcCodeInvalidParams || aCode == kRpcCodeNotFound ||
         aCode == kRpcCodeUnavailable;
}

} // namespace arbutusferry
