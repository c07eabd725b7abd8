#pragma once

#include "arbutusferry/time.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace arbutusferry::node {

/// Divides the share of requests that may be sent among priorities and teams:
/// higher priorities first, within a priority max-min fairly among teams, and a
/// small share for each class in any case.
class class_shares
{
public:
  /// Priority and team.
  using request_class = std::pair<int, std::string>;

  /// Counts an offered request; its class earns part of the right to send one.
  /// @param aShare Share of all offered requests that may be sent.
  void NoteOffered(const request_class& aClass, double aShare, time_point aNow);
  /// Takes the right to send one request of a class.
  /// @param aOverdraft Part of a request that the class may lack.
  /// @return False if the class has not earned it yet.
  [[nodiscard]] bool TryTake(const request_class& aClass, double aOverdraft);
  /// @return The time in which a class earns the rights to send requests, going
  /// by its recent rate.
  /// @param aRequests Number of requests to send.
  [[nodiscard]] duration TimeToEarn(const request_class& aClass,
                                    double aRequests,
                                    time_point aNow) const;
  /// @return Requests offered per second of late.
  [[nodiscard]] double OfferedPerSecond(time_point aNow) const;
  [[nodiscard]] std::size_t Classes() const noexcept { return mClasses.size(); }

private:
  struct usage
  {
    double offered = 0; ///< Decaying count.
    time_point counted;
    double credit = 1;
    double fraction = 1; ///< Share of its requests that may be sent.
  };

  [[nodiscard]] static double Offered(const usage& aUsage, time_point aNow);
  void Divide(double aShare, time_point aNow);

  std::map<request_class, usage> mClasses;
};

} // namespace arbutusferry::node
