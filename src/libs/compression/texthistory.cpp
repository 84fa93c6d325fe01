#include "compression/texthistory.h"

#include "compression/textcodec.h"

namespace Compression {

void
TextHistory::add(const std::string& aDigest, const std::string& aText)
{
  mTexts.push_front({ aDigest, aText });
  if (mTexts.size() > kMaxPreviousTexts + 1) {
    mTexts.pop_back();
  }
  mUpdates.clear();
}

const std::string*
TextHistory::find(const std::string& aDigest) const
{
  for (const auto& entry : mTexts) {
    if (entry.digest == aDigest) {
      return &entry.text;
    }
  }
  return nullptr;
}

TextUpdate
TextHistory::createUpdate(const std::string& aDigest) const
{
  const auto* base = find(aDigest);
  TextUpdate update;
  update.baseDigest = base == nullptr ? std::string() : aDigest;
  auto it = mUpdates.find(update.baseDigest);
  if (it == mUpdates.end()) {
    const auto data = compressText(
      mTexts.front().text, base == nullptr ? absl::string_view() : *base);
    it = mUpdates.emplace(update.baseDigest, data.ok() ? *data : "").first;
  }
  update.data = it->second;
  return update;
}

} // namespace Compression
