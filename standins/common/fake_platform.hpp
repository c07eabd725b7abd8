#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace arbutusferry::standin {

/// Fake platform: log, lists of VMs and targets, target orders and usage
/// reports, with the interface of section 10.1 and the administration of
/// section 14 of the design page.
///
/// A view is an additional listener that replaces addresses in its lists, so
/// that each availability zone can use its own fault-injecting proxies:
/// `PUT /admin/rewrites` `{"view":n,"rewrites":{"IP:port":"IP:port"}}`; view 0
/// is the main listener.
///
/// Further administration: `PUT /admin/classes` `{"classes":[{"class","kind",
/// "slots","tokens_per_s","start_ms","version","checks_fencing"}]}`,
/// `PUT /admin/target_state` `{"id","state"}`, `PUT /admin/available`
/// `{"zone","pool","count"}`, `POST /admin/reclaim` `{"zone","notice_ms"}`, and
/// in `PUT /admin/faults` also `order_answers_lost`, `usage_answers_lost`,
/// `orders`, `usage` and `lists` (each "up" or "down"), `list_lag_ms` and
/// `appends_per_s`.
class fake_platform
{
public:
  fake_platform();
  fake_platform(const fake_platform&) = delete;
  fake_platform& operator=(const fake_platform&) = delete;
  ~fake_platform();

  /// @param aViews Number of listeners besides the main one.
  /// @return False if an address cannot be bound.
  [[nodiscard]] bool Start(const std::string& aListen, std::size_t aViews);
  [[nodiscard]] std::string Address() const;
  /// @return Addresses of the views.
  [[nodiscard]] std::vector<std::string> ViewAddresses() const;

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry::standin
