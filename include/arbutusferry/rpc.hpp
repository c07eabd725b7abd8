#pragma once

// Compiled as C++14 too: libjsonrpccpp 0.7 does not build as C++17.

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

namespace arbutusferry {

/// Failure of a remote call. `Sent` tells whether the peer may have executed
/// it.
class rpc_failure : public std::runtime_error
{
public:
  rpc_failure(const std::string& aMessage, bool aSent, int aCode)
    : std::runtime_error(aMessage)
    , mSent(aSent)
    , mCode(aCode)
  {
  }
  bool Sent() const noexcept { return mSent; }
  /// @return JSON-RPC error code, 0 for a transport failure.
  int Code() const noexcept { return mCode; }

private:
  bool mSent;
  int mCode;
};

/// Sends one JSON-RPC message and returns the answer text. Throws
/// `rpc_failure`.
using rpc_transport = std::function<std::string(const std::string&)>;

/// Client of one peer.
class rpc_client
{
public:
  virtual ~rpc_client() = default;

  /// Calls a method with named parameters. Throws `rpc_failure`.
  virtual Json::Value Call(const std::string& aMethod,
                           const Json::Value& aParams) = 0;
};

/// Method of a server: parameters in, result out. May throw `rpc_failure`.
using rpc_method = std::function<Json::Value(const Json::Value&)>;

/// Server that dispatches JSON-RPC texts to methods.
class rpc_dispatcher
{
public:
  virtual ~rpc_dispatcher() = default;

  /// Handles one request text; thread-safe.
  /// @return The answer text.
  virtual std::string Handle(const std::string& aRequest) = 0;
};

/// @return A client over libjsonrpccpp that uses the transport.
std::unique_ptr<rpc_client>
MakeRpcClient(rpc_transport aTransport);

/// @return A dispatcher over libjsonrpccpp.
std::unique_ptr<rpc_dispatcher>
MakeRpcDispatcher(std::map<std::string, rpc_method> aMethods);

} // namespace arbutusferry
