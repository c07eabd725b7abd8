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

/// One step of a trainer.
struct step_plan
{
  std::string step;
  std::string model;
  std::int64_t deadlineMs = 60'000;
  std::int64_t stalenessBound = 0;
  std::vector<step_group> groups;
};

/// A step with seeded prompts and lengths.
/// @param aGroupSize Samples of each group.
/// @param aMaxTokens Length of the longest sample; a few groups have it, most
/// are a quarter as long, as stragglers stall real steps.
[[nodiscard]] step_plan
MakeStep(const std::string& aName,
         const std::string& aModel,
         std::int64_t aGroups,
         std::int64_t aGroupSize,
         std::int64_t aMaxTokens,
         std::uint64_t aSeed);

/// What a trainer received.
struct step_report
{
  bool finished = false;
  std::int64_t posts = 0;      ///< Times the step was posted.
  std::int64_t duplicates = 0; ///< Samples delivered again.
  std::int64_t unexpected = 0; ///< Samples that the step does not have.
  std::int64_t unlabelled = 0; ///< Samples whose segments miss a token.
  std::int64_t overBound = 0;  ///< Samples older than the bound.
  std::int64_t wrongText = 0;  ///< Samples that are not the whole own answer.
  std::map<std::pair<std::string, std::int64_t>, Json::Value> samples;
  std::map<std::int64_t, std::int64_t> tokensByVersion;
  std::vector<std::string> failures; ///< Of posts that ended early.
  std::string cursor;
  double seconds = 0;

  /// @return True if each sample came exactly once, whole, labelled and within
  /// the bound.
  [[nodiscard]] bool Correct(const step_plan& aPlan) const;
};

struct trainer_options
{
  std::vector<std::string> entries; ///< "IP:port", tried in turn.
  std::string key;
  std::string stage; ///< Empty for the default.
  int timeoutSeconds = 60;
  std::int64_t maxPosts = 20;
  /// Version of the trainer's weights, read at every post and delivery.
  const std::atomic<std::int64_t>* version = nullptr;
  /// Called after each sample with the number of samples so far.
  std::function<void(std::size_t)> onSample;
  std::string cursor; ///< Cursor to start from.
};

/// Runs one step to its end: posts it, keeps the cursor, and posts it again at
/// the next entry with the cursor when the stream breaks.
[[nodiscard]] step_report
RunStep(const step_plan& aPlan, const trainer_options& aOptions);

/// @return The step as posted, without a cursor.
[[nodiscard]] Json::Value
WriteStep(const step_plan& aPlan, std::int64_t aVersion);

} // namespace arbutusferry::standin
