#pragma once

#include <deque>
#include <map>
#include <string>

namespace Compression {

/** A text as it goes to a process that has an earlier one. */
struct TextUpdate
{
  /** Compressed. */
  std::string data;
  /** Digest of the text that the data is a difference to; empty for none. */
  std::string baseDigest;
};

/**
 * The newest text and a few earlier ones, by their digests, so that whoever
 * has one of them gets a difference. Each difference is made once.
 */
class TextHistory
{
public:
  /** Earlier texts that differences are made to. */
  static constexpr std::size_t kEarlierTexts = 1;

  void add(const std::string& aDigest, const std::string& aText);
  /** Null when the text is not kept. */
  const std::string* find(const std::string& aDigest) const;
  /** There must be a text. */
  TextUpdate updateFor(const std::string& aDigest) const;

private:
  struct Entry
  {
    std::string digest;
    std::string text;
  };

  /** Newest first. */
  std::deque<Entry> mTexts;
  /** Updates by the digest of their base. */
  mutable std::map<std::string, std::string> mUpdates;
};

} // namespace Compression
