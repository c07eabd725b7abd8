#pragma once

#include "arbutusferry/node/http_message.hpp"
#include "arbutusferry/node/request_limit.hpp"
#include "arbutusferry/node/reward_call.hpp"
#include "arbutusferry/node/target_view.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace arbutusferry::node {

/// How a request ended, as told by the target's response.
enum class response_class
{
  Genuine,     ///< The target's own response, to be passed on.
  NotRun,      ///< The target did not run the request.
  WrongTarget, ///< Reached another target or weight version; not run.
  Failed,      ///< It ran, or may have run, and failed.
  Impossible,  ///< The request can never be done.
};

/// A sample to generate.
struct item_call
{
  std::string id;
  std::string path;
  std::string host;
  std::string team;
  header_list headers;
  std::string body;
  std::string model;
  std::string group;                ///< Items of a group share their prompt.
  std::int64_t expectedVersion = 0; ///< Weights the target must have.
  std::size_t resumeAfter = 0;      ///< Number of events received before.
  std::chrono::milliseconds timeLeft{ 0 };
  home_regions homes = {}; ///< Regions that it may reach.
};

/// An order to load a weight version.
struct weight_order
{
  std::string model;
  std::int64_t version = 0;
  /// Whether runs continue under the new version, or finish first.
  bool keepRuns = true;
  std::string holder;
  std::uint64_t fence = 0;
  std::uint64_t expectedOrders = 0;
};

enum class order_result
{
  Accepted,
  Holds,   ///< The target has that version already.
  Busy,    ///< Another order is in progress, or `expectedOrders` is wrong.
  Fenced,  ///< The target has seen a higher fencing token.
  Wrong,   ///< Another target has the address.
  Refused, ///< Rejected for another reason.
};

/// State of a target as it reports it.
struct target_report
{
  std::map<std::string, std::int64_t> modelVersions;
  std::uint64_t ordersAccepted = 0;
  bool busy = false;
};

/// Builds requests to targets and interprets their responses.
class target_protocol
{
public:
  virtual ~target_protocol() = default;
  /// Adds the headers of a plain request to a target.
  virtual void Prepare(http_request& aRequest,
                       const target_entry& aTarget,
                       std::chrono::milliseconds aTimeLeft) const = 0;
  [[nodiscard]] virtual response_class ClassifyResponse(
    int aStatus,
    const header_list& aHeaders) const = 0;
  /// @return Whether a response tells a caller that its request failed, and
  /// neither that it was served nor that it hasn't run.
  [[nodiscard]] virtual bool IsFailure(int aStatus,
                                       const header_list& aHeaders) const = 0;
  [[nodiscard]] virtual limit_notice ReadLimit(
    const header_list& aHeaders) const = 0;
  /// @return Name of the response header that repeats the id of the request.
  [[nodiscard]] virtual std::string EchoHeader() const = 0;
  [[nodiscard]] virtual http_request MakeItemRequest(
    const item_call& aCall,
    const target_entry& aTarget) const = 0;
  [[nodiscard]] virtual http_request MakeRewardRequest(
    const reward_request& aRequest) const = 0;
  /// @return The score that a response to a reward call gives, if it is a
  /// target's success.
  [[nodiscard]] virtual std::optional<std::string> ReadScore(
    const http_response& aResponse) const = 0;
  /// @return The weight version that a response or event line names.
  [[nodiscard]] virtual std::optional<std::int64_t> WeightVersion(
    const header_list& aHeaders) const = 0;
  [[nodiscard]] virtual std::optional<std::int64_t> WeightVersionOfLine(
    std::string_view aLine) const = 0;
  [[nodiscard]] virtual http_request MakeOrder(
    const weight_order& aOrder,
    const target_entry& aTarget) const = 0;
  [[nodiscard]] virtual order_result ClassifyOrderResponse(
    int aStatus) const = 0;
  [[nodiscard]] virtual http_request MakeReportRequest() const = 0;
  [[nodiscard]] virtual std::optional<target_report> ReadReport(
    const http_response& aResponse) const = 0;
};

} // namespace arbutusferry::node
