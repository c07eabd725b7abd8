#pragma once

#include "memory_budget.hpp"
#include "message_parser.hpp"
#include "server_connection.hpp"

namespace arbutusferry::node {

/// Responder to one request of a connection. It accounts for the request's
/// memory, since a handler keeps both until the response is complete, also when
/// the caller has disconnected.
class connection_responder final : public responder
{
public:
  connection_responder(std::shared_ptr<server_connection> aConnection,
                       std::uint64_t aRequestNumber,
                       std::shared_ptr<memory_budget> aBudget)
    : mConnection(std::move(aConnection))
    , mRequestNumber(aRequestNumber)
    , mRequestMemory(std::move(aBudget))
  {
  }
  /// Closes the connection if the response is not complete.
  ~connection_responder() override
  {
    WithoutThrowing([this] { mConnection->Abort(mRequestNumber); });
  }
  connection_responder(const connection_responder&) = delete;
  connection_responder& operator=(const connection_responder&) = delete;
  void Send(http_response aResponse) override
  {
    mConnection->Send(mRequestNumber, std::move(aResponse));
  }
  void Begin(int aStatus, const header_list& aHeaders) override
  {
    mConnection->Begin(mRequestNumber, aStatus, aHeaders);
  }
  void Write(std::string_view aPart) override
  {
    mConnection->Write(mRequestNumber, aPart);
  }
  void End() override { mConnection->End(mRequestNumber); }
  void Abort() override { mConnection->Abort(mRequestNumber); }
  [[nodiscard]] bool Closed() const override
  {
    return mConnection->ResponseClosed(mRequestNumber);
  }
  [[nodiscard]] std::size_t UnsentBytes() const override
  {
    return mConnection->UnsentBytes();
  }
  [[nodiscard]] std::uint16_t PeerPort() const override
  {
    return mConnection->PeerPort();
  }
  void OnDisconnect(std::function<void()> aFunction) override
  {
    mConnection->OnDisconnect(mRequestNumber, std::move(aFunction));
  }
  [[nodiscard]] bool ReserveMemory(std::size_t aBytes) override
  {
    return mRequestMemory.Resize(mRequestMemory.Bytes() + aBytes);
  }

private:
  std::shared_ptr<server_connection> mConnection;
  std::uint64_t mRequestNumber;
  memory_account mRequestMemory;
};

} // namespace arbutusferry::node
