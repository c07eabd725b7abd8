#include "arbutusferry/rpc.hpp"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/server.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <utility>

namespace arbutusferry {

namespace {

/// Passes messages of libjsonrpccpp to an `rpc_transport`. Stores a transport
/// failure, because the library's exception cannot tell whether data was sent.
class transport_connector final : public jsonrpc::IClientConnector
{
public:
  explicit transport_connector(rpc_transport aTransport)
    : mTransport(std::move(aTransport))
  {
  }

  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    mFailure.reset();
    try {
      aResult = mTransport(aMessage);
    } catch (const rpc_failure& failure) {
      mFailure = std::make_unique<rpc_failure>(failure);
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      failure.what());
    }
  }

  const rpc_failure* Failure() const noexcept { return mFailure.get(); }

private:
  rpc_transport mTransport;
  std::unique_ptr<rpc_failure> mFailure;
};

class jsonrpccpp_client final : public rpc_client
{
public:
  explicit jsonrpccpp_client(rpc_transport aTransport)
    : mConnector(std::move(aTransport))
    , mClient(mConnector)
  {
  }

  Json::Value Call(const std::string& aMethod,
                   const Json::Value& aParams) override
  {
    try {
      return mClient.CallMethod(aMethod, aParams);
    } catch (const jsonrpc::JsonRpcException& exception) {
      if (mConnector.Failure() != nullptr) {
        throw *mConnector.Failure();
      }
      throw rpc_failure(exception.GetMessage(), true, exception.GetCode());
    }
  }

private:
  transport_connector mConnector;
  jsonrpc::Client mClient;
};

/// Connector that does not listen: libjsonrpccpp requires one, but requests
/// arrive through `rpc_dispatcher::Handle`.
class passive_connector final : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void* aInfo) override
  {
    *static_cast<std::string*>(aInfo) = aResponse;
    return true;
  }
};

class jsonrpccpp_dispatcher final
  : public rpc_dispatcher
  , private jsonrpc::AbstractServer<jsonrpccpp_dispatcher>
{
public:
  jsonrpccpp_dispatcher(std::unique_ptr<passive_connector> aConnector,
                        std::map<std::string, rpc_method> aMethods)
    : jsonrpc::AbstractServer<jsonrpccpp_dispatcher>(*aConnector,
                                                     jsonrpc::JSONRPC_SERVER_V2)
    , mConnector(std::move(aConnector))
    , mMethods(std::move(aMethods))
  {
    for (const auto& method : mMethods) {
      bindAndAddMethod(
        jsonrpc::Procedure(
          method.first, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL),
        &jsonrpccpp_dispatcher::IgnoreCall);
    }
  }

  std::string Handle(const std::string& aRequest) override
  {
    std::string answer;
    mConnector->OnRequest(aRequest, &answer);
    return answer;
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    try {
      aOutput = mMethods.at(aProcedure.GetProcedureName())(aInput);
    } catch (const rpc_failure& failure) {
      throw jsonrpc::JsonRpcException(failure.Code(), failure.what());
    } catch (const std::exception& exception) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                      exception.what());
    }
  }

private:
  void IgnoreCall(const Json::Value&, Json::Value&) {}

  std::unique_ptr<passive_connector> mConnector;
  std::map<std::string, rpc_method> mMethods;
};

} // namespace

std::unique_ptr<rpc_client>
MakeRpcClient(rpc_transport aTransport)
{
  return std::unique_ptr<rpc_client>(
    new jsonrpccpp_client(std::move(aTransport)));
}

std::unique_ptr<rpc_dispatcher>
MakeRpcDispatcher(std::map<std::string, rpc_method> aMethods)
{
  return std::unique_ptr<rpc_dispatcher>(new jsonrpccpp_dispatcher(
    std::unique_ptr<passive_connector>(new passive_connector),
    std::move(aMethods)));
}

} // namespace arbutusferry
