#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <json/value.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace arbutusferry::standin {

struct step_group
{
  std::string id;
  std::int64_t count = 1;
  std::string prompt;
  std::int64_t seed = 0;
  std::int64_t maxTokens = 16;
};

/// One training step: the samples to request and their limits.
struct step_plan
{
  std::string step;
  std::string model;
  std::int64_t deadlineMs = 60'000;
  std::int64_t stalenessBound = 0;
  std::vector<step_group> groups;
};

/// Returns a step with pseudorandom prompts and lengths.
/// @param aGroupSize Samples per group.
/// @param aMaxTokens Length of the longest samples. One group in 8 on average
/// has it, to model stragglers that stall real steps; the others are a quarter
/// as long.
[[nodiscard]] step_plan
MakeStep(const std::string& aName,
         const std::string& aModel,
         std::int64_t aGroups,
         std::int64_t aGroupSize,
         std::int64_t aMaxTokens,
         std::uint64_t aSeed);

/// Result of a step as the trainer observed it.
struct step_report
{
  bool finished = false;
  std::int64_t posts = 0;      ///< POST requests sent.
  std::int64_t duplicates = 0; ///< Repeated deliveries of samples.
  std::int64_t unexpected = 0; ///< Samples that the step did not request.
  std::int64_t unlabelled = 0; ///< Samples whose segments miss tokens.
  std::int64_t overBound = 0;  ///< Samples beyond the staleness bound.
  std::int64_t wrongText = 0;  ///< Samples with a text other than expected.
  std::map<std::pair<std::string, std::int64_t>, Json::Value> samples;
  std::map<std::int64_t, std::int64_t> tokensByVersion;
  std::vector<std::string> failures; ///< Errors of requests that ended early.
  std::string cursor;
  double seconds = 0;

  /// @return True if every sample was delivered exactly once, complete, with a
  /// weight version for each token and within the staleness bound.
  [[nodiscard]] bool Correct(const step_plan& aPlan) const;
};

struct trainer_options
{
  std::vector<std::string> entries; ///< "IP:port", tried in rotation.
  std::string key;
  std::string stage; ///< Empty for the default stage.
  int timeoutSeconds = 60;
  std::int64_t maxPosts = 20;
  /// Weight version of the trainer, read at each request and delivery; without
  /// it, requests carry version 0 and staleness is not checked.
  const std::atomic<std::int64_t>* version = nullptr;
  /// Called after each delivery with the number of distinct samples so far.
  std::function<void(std::size_t)> onSample;
  std::string cursor; ///< Initial cursor; empty to start from the beginning.
};

/// Runs one step to its end. If a request fails or the stream breaks, resumes
/// at the next entry from the last cursor, up to `maxPosts` requests.
[[nodiscard]] step_report
RunStep(const step_plan& aPlan, const trainer_options& aOptions);

/// @return Request body of the step, without a cursor.
[[nodiscard]] Json::Value
WriteStep(const step_plan& aPlan, std::int64_t aVersion);

} // namespace arbutusferry::standin
