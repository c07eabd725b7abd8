#pragma once

#include "arbutusferry/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// Decides which samplers get which model's new weights, and when.
class version_plan
{
public:
  struct sampler
  {
    std::string id;
    std::map<std::string, std::int64_t> versions; ///< As last reported.
    bool usable = true;
    bool loading = false;
    int running = 0;
    time_point notBefore; ///< Pause after a refused order.
  };

  struct order
  {
    std::string sampler;
    std::string model;
    std::int64_t version = 0;
  };

  /// Notes the version that a trainer named; versions never go back.
  /// @return Whether it is new.
  bool Name(const std::string& aModel, std::int64_t aVersion);
  [[nodiscard]] std::int64_t Named(const std::string& aModel) const;

  /// Divides samplers among the models that are in use, in equal parts, and
  /// moves as few as possible.
  void Assign(const std::vector<sampler>& aSamplers,
              const std::set<std::string>& aModels);
  /// @return The model whose new versions a sampler gets, or empty.
  [[nodiscard]] std::string Home(const std::string& aSampler) const;

  /// @return The orders to send now.
  [[nodiscard]] std::vector<order> Orders(const std::vector<sampler>& aSamplers,
                                          time_point aNow) const;

private:
  std::map<std::string, std::int64_t> mNamed;
  std::map<std::string, std::string> mHome; ///< Model by sampler.
};

} // namespace arbutusferry::node
