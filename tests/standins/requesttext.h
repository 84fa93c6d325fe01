#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace StandIns {

/**
 * What a caller asks of a backend server, as one line of text:
 * "VERB ID NUMBER WORK", where NUMBER is the beats of a STREAM, the bytes of
 * an UPLOAD, or the bytes of the answer to a REQUEST or CLAIM, and WORK is a
 * time in milliseconds.
 */
struct RequestLine
{
  std::string verb;
  std::string id;
  std::uint64_t number = 0;
  std::uint64_t workMilliseconds = 0;

  std::string toText() const;
  static std::optional<RequestLine> parse(const std::string& aLine);
};

/** "OK SERVICE TARGET ID BYTES", the line before the body of an answer. */
struct AnswerLine
{
  std::string service;
  std::string target;
  std::string id;
  std::uint64_t bytes = 0;

  std::string toText() const;
  static std::optional<AnswerLine> parse(const std::string& aLine);
};

/** The body that belongs to an id, so that either end can check it. */
std::string
bodyFor(const std::string& aId, std::uint64_t aBytes);

/** Takes the first line out of a buffer; nothing while it is not whole. */
std::optional<std::string>
takeLine(std::string& aBuffer);

} // namespace StandIns
