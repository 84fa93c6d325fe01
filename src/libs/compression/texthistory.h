#pragma once

#include <deque>
#include <map>
#include <string>

namespace Compression {

/** The newest text, compressed for a process that may have a previous one. */
struct TextUpdate
{
  /** The compressed text, or a compressed delta to the base. */
  std::string data;
  /** Digest of the delta's base; empty if data is the whole text. */
  std::string baseDigest;
};

/**
 * The newest text and previous ones, by digest. A process that has one of the
 * previous texts is sent a delta. Each delta is compressed once and then
 * cached.
 */
class TextHistory
{
public:
  /** Maximum number of previous texts that are kept as bases of deltas. */
  static constexpr std::size_t kMaxPreviousTexts = 1;

  void add(const std::string& aDigest, const std::string& aText);
  /** Null if there is no text with this digest. */
  const std::string* find(const std::string& aDigest) const;
  /**
   * Returns the newest text for a process that has the text with the digest
   * aDigest: as a delta if the history contains that text, else the whole text.
   * The history must not be empty.
   */
  TextUpdate createUpdate(const std::string& aDigest) const;

private:
  struct Entry
  {
    std::string digest;
    std::string text;
  };

  /** Newest first. */
  std::deque<Entry> mTexts;
  /** Compressed data by the digest of its base, empty for the whole text. */
  mutable std::map<std::string, std::string> mUpdates;
};

} // namespace Compression
