#include "arbutusferry/cursor.hpp"

#include "arbutusferry/hash.hpp"

namespace arbutusferry {

namespace {

/// First byte of the encoding; incremented when the encoding changes.
constexpr char kFormatVersion = 1;

/// Seed that separates the checksum from other uses of the hash.
constexpr std::uint64_t kChecksumSeed = 0x6375'7273'6f72'2031;

void
AppendNumber(std::string& aText, std::uint64_t aNumber, std::size_t aBytes)
{
  for (std::size_t i = 0; i < aBytes; ++i) {
    aText += static_cast<char>(aNumber >> (8 * i) & 0xffU);
  }
}

std::uint64_t
ReadNumber(std::string_view aText, std::size_t aAt, std::size_t aBytes)
{
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < aBytes; ++i) {
    number |=
      static_cast<std::uint64_t>(static_cast<unsigned char>(aText[aAt + i]))
      << (8 * i);
  }
  return number;
}

leaf::error_id
MakeCursorError(const char* aMessage)
{
  return MakeError(
    error_code::InvalidArgument, "read cursor", "field \"cursor\"", aMessage);
}

} // namespace

delivery_cursor::delivery_cursor(std::uint64_t aStepHash, std::size_t aSamples)
  : mStepHash(aStepHash)
  , mSamples(aSamples)
  , mBits((aSamples + 7) / 8)
{
}

bool
delivery_cursor::Add(std::size_t aSample)
{
  if (aSample >= mSamples || Contains(aSample)) {
    return false;
  }
  mBits[aSample / 8] |= static_cast<std::uint8_t>(1U << (aSample % 8));
  ++mCount;
  return true;
}

bool
delivery_cursor::Contains(std::size_t aSample) const
{
  return aSample < mSamples && (mBits[aSample / 8] >> (aSample % 8) & 1U) != 0;
}

std::string
delivery_cursor::Encode() const
{
  std::string data(1, kFormatVersion);
  AppendNumber(data, mStepHash, 8);
  AppendNumber(data, mSamples, 4);
  data.append(mBits.begin(), mBits.end());
  AppendNumber(data, Hash64(data, kChecksumSeed), 8);
  return EncodeBase64Url(data);
}

result<delivery_cursor>
delivery_cursor::Decode(std::string_view aText,
                        std::uint64_t aStepHash,
                        std::size_t aSamples)
{
  delivery_cursor cursor(aStepHash, aSamples);
  const std::size_t bits = cursor.mBits.size();
  if (aText.size() > (kMaxSamples / 8 + 32) * 2) {
    return MakeCursorError("the cursor is too long");
  }
  const auto data = DecodeBase64Url(aText);
  // The encoding is canonical: unused bits of the last character must be zero.
  if (!data || EncodeBase64Url(*data) != aText || data->size() < 21) {
    return MakeCursorError("expected an unmodified cursor");
  }
  const std::size_t body = data->size() - 8;
  const std::string_view view(*data);
  if (view[0] != kFormatVersion ||
      ReadNumber(view, body, 8) !=
        Hash64(view.substr(0, body), kChecksumSeed)) {
    return MakeCursorError("the cursor has a wrong format version or checksum");
  }
  if (ReadNumber(view, 1, 8) != aStepHash ||
      ReadNumber(view, 9, 4) != aSamples || body != 13 + bits) {
    return MakeCursorError("the cursor belongs to another step");
  }
  for (std::size_t sample = 0; sample < bits * 8; ++sample) {
    const auto byte = static_cast<unsigned char>(view[13 + sample / 8]);
    if ((byte >> (sample % 8) & 1U) == 0) {
      continue;
    }
    if (!cursor.Add(sample)) {
      return MakeCursorError(
        "the cursor contains samples that the step does not have");
    }
  }
  return cursor;
}

} // namespace arbutusferry
