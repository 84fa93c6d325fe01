#pragma once

#include <deque>
#include <map>
#include <string>

namespace Compression {

/** A text as it is sent to a process, which may have a previous one. */
struct TextUpdate
{
  /** The compressed text, or a compressed delta to the base. */
  std::string data;
  /** Digest of the delta's base; empty if data is the whole text. */
  std::string baseDigest;
};

/**
 * The newest text and the ones before it, by digest. A process that has one of
 * them is sent a delta. Each delta is compressed once and then cached.
 */
class TextHistory
{
public:
  /** Maximum number of previous texts that are kept as bases of deltas. */
  static constexpr std::size_t kMaxPreviousTexts = 1;

  void add(const std::string& aDigest, const std::string& aText);
  /** Null if the text is not kept. */
  const std::string* find(const std::string& aDigest) const;
  /**
   * The newest text for a process that has the text aDigest: a delta if that
   * text is kept, else the whole text. There must be a text.
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
  /** Compressed data by the digest of its base; empty for the whole text. */
  mutable std::map<std::string, std::string> mUpdates;
};

} // namespace Compression
