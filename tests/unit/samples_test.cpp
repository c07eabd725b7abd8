#include "arbutusferry/cursor.hpp"
#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/step.hpp"

#include <catch2/catch.hpp>
#include <iostream>
#include <random>

using namespace arbutusferry;
using namespace std::chrono_literals;

namespace {

constexpr unsigned kSeeds = 50;

step_request
MakeStep(std::vector<std::int64_t> aCounts)
{
  step_request step;
  step.step = "s";
  step.model = "m";
  step.weightVersion = 5;
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    step.groups.push_back({ "g" + std::to_string(i), aCounts[i], "p", 1, 8 });
  }
  return step;
}

result<delivery_cursor>
Decode(const std::string& aText, std::uint64_t aHash, std::size_t aSamples)
{
  return delivery_cursor::Decode(aText, aHash, aSamples);
}

bool
Refused(const std::string& aText, std::uint64_t aHash, std::size_t aSamples)
{
  const auto read = Capture([&] { return Decode(aText, aHash, aSamples); });
  return read.index() == 1 &&
         std::get<1>(read).code == error_code::InvalidArgument;
}

sample_answer
MakeAnswer(const std::vector<Json::Int64>& aVersions, bool aFinish = true)
{
  sample_answer answer;
  for (std::size_t i = 0; i < aVersions.size(); ++i) {
    Json::Value event;
    event["index"] = static_cast<Json::Int64>(i);
    event["tokens"].append(7);
    event["text"] = "t";
    if (aVersions[i] >= 0) {
      event["weight_version"] = aVersions[i];
    }
    if (aFinish && i + 1 == aVersions.size()) {
      event["finish_reason"] = "length";
      event["usage"]["prompt_tokens"] = 3;
      event["usage"]["completion_tokens"] =
        static_cast<Json::Int64>(aVersions.size());
    }
    if (!answer.Add(event)) {
      return answer;
    }
  }
  return answer;
}

} // namespace

// Guards against accepting a cursor that was corrupted in transit or belongs to
// another step.
TEST_CASE(
  "Cursors round-trip; corrupted ones and those of other steps are rejected")
{
  std::mt19937 random(1);
  for (const std::size_t samples : { 1U, 7U, 8U, 9U, 1024U }) {
    delivery_cursor cursor(77, samples);
    for (std::size_t i = 0; i < samples; ++i) {
      if (random() % 2 == 0) {
        CHECK(cursor.Add(i));
        CHECK_FALSE(cursor.Add(i));
      }
    }
    CHECK_FALSE(cursor.Add(samples));
    const std::string text = cursor.Encode();
    const auto read = Decode(text, 77, samples);
    REQUIRE(read);
    CHECK(read->Count() == cursor.Count());
    CHECK(read->Encode() == text);
    CHECK(Refused(text, 78, samples));
    CHECK(Refused(text, 77, samples + 1));
    CHECK(Refused(text + "A", 77, samples));
    CHECK(Refused(text.substr(1), 77, samples));
    for (std::size_t i = 0; i < text.size(); ++i) {
      std::string damaged = text;
      damaged[i] = damaged[i] == 'A' ? 'B' : 'A';
      CHECK(Refused(damaged, 77, samples));
    }
  }
  CHECK(Refused("", 77, 8));
  CHECK(Refused("not base64!", 77, 8));
  CHECK(Refused(std::string(1U << 20U, 'A'), 77, 8));
}

// Guards against rejecting a cursor because the trainer's version changed, and
// against accepting one for another set of samples.
TEST_CASE("The step hash depends only on what identifies the samples")
{
  const step_request step = MakeStep({ 2, 3 });
  step_request same = step;
  same.weightVersion = 6;
  same.deadline = 1s;
  same.cursor = "x";
  CHECK(StepHash(same) == StepHash(step));
  for (int change = 0; change < 6; ++change) {
    step_request other = step;
    step_group& group = other.groups[1];
    change == 0   ? other.step = "t"
    : change == 1 ? other.model = "n"
    : change == 2 ? group.id = "h"
                  : group.prompt = "q";
    group.seed += change == 4 ? 1 : 0;
    group.count += change == 5 ? 1 : 0;
    CHECK(StepHash(other) != StepHash(step));
  }
}

// Guards against samples whose tokens carry no or wrong versions.
TEST_CASE("Only complete, versioned and fresh samples are delivered")
{
  CHECK(ClassifySample(MakeAnswer({ 5, 5, 5 }), 5, 0) ==
        sample_disposition::Deliver);
  const auto swapped = MakeAnswer({ 4, 4, 5 });
  CHECK(swapped.segments.List() ==
        std::vector<weight_segment>{ { 4, 0, 2 }, { 5, 2, 3 } });
  CHECK(ClassifySample(swapped, 5, 1) == sample_disposition::Deliver);
  CHECK(ClassifySample(swapped, 5, 0) == sample_disposition::TooOld);
  CHECK(ClassifySample(swapped, 6, 1) == sample_disposition::TooOld);
  // Newer weights than the trainer's are not stale.
  CHECK(ClassifySample(MakeAnswer({ 6 }), 5, 0) == sample_disposition::Deliver);
  CHECK(ClassifySample(MakeAnswer({ 5, 5 }, false), 5, 1) ==
        sample_disposition::Truncated);
  CHECK(ClassifySample(MakeAnswer({ 5, -1, 5 }), 5, 1) !=
        sample_disposition::Deliver);
  CHECK(ClassifySample(MakeAnswer({ -1 }), 5, 9) !=
        sample_disposition::Deliver);
  CHECK(ClassifySample(sample_answer(), 5, 9) == sample_disposition::Truncated);
  // A gap in the indexes, an overlap, and an event after the end.
  for (const int index : { 0, 2 }) {
    sample_answer answer = MakeAnswer({ 5 }, false);
    Json::Value event;
    event["index"] = index;
    event["tokens"].append(1);
    event["weight_version"] = 5;
    CHECK_FALSE(answer.Add(event));
  }
  sample_answer ended = MakeAnswer({ 5 });
  CHECK_FALSE(ended.Add(Json::Value(Json::objectValue)));
}

// Guards against segments that leave a token without a version.
TEST_CASE("Segments agree with a version for each token")
{
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::vector<std::int64_t> versions;
    weight_segments segments;
    bool valid = true;
    for (int event = 0; event < 6; ++event) {
      const auto version =
        static_cast<std::int64_t>(random() % 4) - (random() % 8 == 0 ? 4 : 0);
      const auto count = static_cast<std::int64_t>(random() % 3);
      const std::int64_t index = static_cast<std::int64_t>(versions.size()) +
                                 (random() % 10 == 0 ? 1 : 0);
      const bool fits = index == static_cast<std::int64_t>(versions.size()) &&
                        (count == 0 || version >= 0);
      valid = valid && fits;
      CHECK(segments.Add(version, index, count) == valid);
      versions.insert(versions.end(), valid ? count : 0, version);
    }
    const auto size = static_cast<std::int64_t>(versions.size());
    CHECK(segments.Covers(size) == (valid && size > 0));
    for (const weight_segment& segment : segments.List()) {
      for (std::int64_t i = segment.from; i < segment.to; ++i) {
        CHECK(versions[static_cast<std::size_t>(i)] == segment.version);
      }
    }
    CHECK(
      segments.Oldest() ==
      (size == 0 ? -1 : *std::min_element(versions.begin(), versions.end())));
  }
}

// Guards against lost and duplicated samples over broken connections. The naive
// service marks a sample as delivered when it sends it, whether or not the
// trainer received it.
TEST_CASE(
  "Delivery by cursor is exactly once where marking sent samples is not")
{
  std::size_t naiveWrong = 0;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const step_request step = MakeStep({ 5, 1, 6 });
    const std::uint64_t hash = StepHash(step);
    const std::size_t samples = SampleCount(step);
    std::map<std::size_t, int> received;
    std::map<std::size_t, int> naiveReceived;
    std::set<std::size_t> naiveSent;
    std::string trainerCursor; // Cursor that the trainer stores.
    for (int post = 0; post < 200; ++post) {
      delivery_cursor cursor = trainerCursor.empty()
                                 ? delivery_cursor(hash, samples)
                                 : Decode(trainerCursor, hash, samples).value();
      step_progress progress(step, cursor, {});
      while (!progress.Done()) {
        const auto ready = progress.Ready(samples);
        const std::size_t sample = ready[random() % ready.size()];
        progress.RecordSubmit(sample);
        progress.RecordStart(sample, time_point(1s));
        progress.RecordEnd(sample);
        REQUIRE(progress.RecordSuccess(sample, 1s));
        REQUIRE_FALSE(progress.RecordSuccess(sample, 1s));
        REQUIRE(cursor.Add(sample));
        const bool cut = random() % 4 == 0;
        if (naiveSent.insert(sample).second && !cut) {
          ++naiveReceived[sample];
        }
        if (cut) {
          break; // The record was written but did not arrive.
        }
        ++received[sample];
        trainerCursor = cursor.Encode();
      }
      if (received.size() == samples) {
        break;
      }
    }
    REQUIRE(received.size() == samples);
    for (const auto& [sample, count] : received) {
      CHECK(count == 1);
    }
    naiveWrong += naiveReceived.size() == samples ? 0 : 1;
  }
  std::cout << "marking sent samples lost samples with " << naiveWrong << " of "
            << kSeeds << " seeds (0 to " << kSeeds - 1 << ")\n";
  CHECK(naiveWrong > 0);
}

// Guards against stragglers that stall a step, and against hedging every
// sample.
TEST_CASE("Only the last, slow samples of a group are hedged")
{
  const step_request step = MakeStep({ 4, 4 });
  step_progress progress(step, delivery_cursor(StepHash(step), 8), {});
  const time_point start(100s);
  for (std::size_t i = 0; i < 8; ++i) {
    progress.RecordSubmit(i);
    progress.RecordStart(i, start);
  }
  CHECK(progress.Ready(100).empty());
  CHECK(progress.Stragglers(start + 1h).empty()); // No finished samples yet.
  for (const std::size_t i : { 0U, 1U, 2U, 4U }) {
    progress.RecordEnd(i);
    CHECK(progress.RecordSuccess(i, 10s));
  }
  CHECK(progress.Stragglers(start + 20s).empty());
  CHECK(progress.Stragglers(start + 21s) == std::vector<std::size_t>{ 3 });
  progress.RecordSubmit(3); // The second attempt.
  CHECK(progress.Stragglers(start + 1h).empty());
  progress.RecordEnd(3);
  CHECK(progress.RecordSuccess(3, 21s));
  progress.RecordEnd(3);
  CHECK_FALSE(progress.RecordSuccess(3, 22s));
  CHECK(progress.GroupRemaining(5) == 3);
}

// Guards against delaying the group closest to completion, and against one step
// filling the queue.
TEST_CASE(
  "Open attempts are bounded, the group closest to completion comes first")
{
  const step_request step = MakeStep({ 3, 1, 2 });
  delivery_cursor cursor(StepHash(step), 6);
  cursor.Add(5);
  const step_progress progress(step, cursor, {});
  CHECK(progress.Ready(100) == std::vector<std::size_t>{ 3, 4, 0, 1, 2 });
  CHECK(progress.Ready(2) == std::vector<std::size_t>{ 3, 4 });
}

// Guards against accepting a malformed step with another meaning.
TEST_CASE("Malformed steps are rejected with the name of the field")
{
  const std::string good =
    R"({"step":"s","model":"m","weight_version":1,"deadline_ms":5,)"
    R"("groups":[{"id":"a","count":1,"prompt":"p","max_tokens":2}]})";
  const auto read = [](const std::string& aText) {
    return Capture([&]() -> result<step_request> {
      BOOST_LEAF_AUTO(value, ParseJson(aText, "body"));
      return ReadStep(value, "body");
    });
  };
  REQUIRE(read(good).index() == 0);
  for (const auto& [from, to, field] : std::vector<std::array<std::string, 3>>{
         { "\"s\"", "\"\"", "step" },
         { "\"weight_version\":1", "\"weight_version\":-1", "weight_version" },
         { "\"deadline_ms\":5", "\"deadline_ms\":0", "deadline_ms" },
         { "\"count\":1", "\"count\":65537", "groups[0].count" },
         { "\"max_tokens\":2", "\"max_tokens\":\"2\"", "max_tokens" },
         { "\"model\"", "\"modle\"", "model" },
         { "[{", "[{\"x\":1,", "groups[0].x" } }) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    CAPTURE(text);
    const auto refused = read(text);
    REQUIRE(refused.index() == 1);
    CHECK(std::get<1>(refused).message.find(field) != std::string::npos);
  }
}
