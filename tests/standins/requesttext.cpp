#include "requesttext.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <random>
#include <vector>

namespace StandIns {

std::string
RequestLine::toText() const
{
  return absl::StrCat(verb, " ", id, " ", amount, " ", workMilliseconds, "\n");
}

std::optional<RequestLine>
RequestLine::parse(const std::string& aLine)
{
  const std::vector<std::string> fields =
    absl::StrSplit(aLine, ' ', absl::SkipWhitespace());
  RequestLine line;
  if (fields.size() != 4 || !absl::SimpleAtoi(fields[2], &line.amount) ||
      !absl::SimpleAtoi(fields[3], &line.workMilliseconds)) {
    return std::nullopt;
  }
  line.verb = fields[0];
  line.id = fields[1];
  return line;
}

std::string
AnswerLine::toText() const
{
  return absl::StrCat("OK ", service, " ", target, " ", id, " ", bytes, "\n");
}

std::optional<AnswerLine>
AnswerLine::parse(const std::string& aLine)
{
  const std::vector<std::string> fields =
    absl::StrSplit(aLine, ' ', absl::SkipWhitespace());
  AnswerLine line;
  if (fields.size() != 5 || fields[0] != "OK" ||
      !absl::SimpleAtoi(fields[4], &line.bytes)) {
    return std::nullopt;
  }
  line.service = fields[1];
  line.target = fields[2];
  line.id = fields[3];
  return line;
}

std::string
bodyFor(const std::string& aId, std::uint64_t aBytes)
{
  std::seed_seq seed(aId.begin(), aId.end());
  std::minstd_rand random(seed);
  std::string body(aBytes, '\0');
  for (auto& character : body) {
    character = static_cast<char>('a' + random() % 26);
  }
  return body;
}

std::optional<std::string>
takeLine(std::string& aBuffer)
{
  const auto end = aBuffer.find('\n');
  if (end == std::string::npos) {
    return std::nullopt;
  }
  auto line = aBuffer.substr(0, end);
  aBuffer.erase(0, end + 1);
  return line;
}

} // namespace StandIns
