#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace StandIns {

/**
 * A request to a backend server, as one line of text: "VERB ID AMOUNT WORK".
 * AMOUNT is the number of messages of a STREAM, the bytes of an UPLOAD, or the
 * bytes of the answer to a REQUEST or CLAIM. WORK is the processing time, or
 * the interval between the messages of a STREAM, in milliseconds.
 */
struct RequestLine
{
  std::string verb;
  std::string id;
  std::uint64_t amount = 0;
  std::uint64_t workMilliseconds = 0;

  std::string toText() const;
  static std::optional<RequestLine> parse(const std::string& aLine);
};

/**
 * The line before the body of an answer: "OK SERVICE TARGET ID BYTES". In a
 * STREAM, BYTES is the number of the message.
 */
struct AnswerLine
{
  std::string service;
  std::string target;
  std::string id;
  std::uint64_t bytes = 0;

  std::string toText() const;
  static std::optional<AnswerLine> parse(const std::string& aLine);
};

/** The expected body for a request ID; both ends can check it. */
std::string
bodyFor(const std::string& aId, std::uint64_t aBytes);

/** Removes the first line; std::nullopt if aBuffer has no complete line. */
std::optional<std::string>
takeLine(std::string& aBuffer);

} // namespace StandIns
