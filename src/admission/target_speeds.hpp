#pragma once

#include "arbutusferry/node/target_view.hpp"

#include <map>
#include <string>

namespace arbutusferry::node {

/// Response times of targets as this node sees them; ranks targets under
/// pressure. A target gets requests in proportion to its speed, so one that is
/// slow gets few, which show when it is fast again.
class target_speeds final : public target_ranking
{
public:
  /// Notes the time of a response, or an estimate of it after a refusal.
  void Note(const std::string& aTarget, duration aTaken, time_point aNow);
  [[nodiscard]] double Rank(const target_entry& aTarget,
                            int aOutstanding,
                            std::uint64_t aSalt) const override;

private:
  struct speed
  {
    double seconds = 0; ///< Mean response time.
    time_point noted;
  };
  std::map<std::string, speed> mSpeeds;
  /// Of all targets; taken for those without responses. 1 s at first.
  double mMeanSeconds = 1;
};

} // namespace arbutusferry::node
