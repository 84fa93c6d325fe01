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
  return absl::StrCat(verb, " ", id, " ", number, " ", workMilliseconds, "\n");
}

std::optional<RequestLine>
RequestLine::parse(const std::string& aLine)
{
  const std::vector<std::string> words =
    absl::StrSplit(aLine, ' ', absl::SkipWhitespace());
  RequestLine line;
  if (words.size() != 4 || !absl::SimpleAtoi(words[2], &line.number) ||
      !absl::SimpleAtoi(words[3], &line.workMilliseconds)) {
    return std::nullopt;
  }
  line.verb = words[0];
  line.id = words[1];
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
  const std::vector<std::string> words =
    absl::StrSplit(aLine, ' ', absl::SkipWhitespace());
  AnswerLine line;
  if (words.size() != 5 || words[0] != "OK" ||
      !absl::SimpleAtoi(words[4], &line.bytes)) {
    return std::nullopt;
  }
  line.service = words[1];
  line.target = words[2];
  line.id = words[3];
  return line;
}

std::string
bodyFor(const std::string& aId, std::uint64_t aBytes)
{
  std::seed_seq seed(aId.begin(), aId.end());
  std::minstd_rand random(seed);
  std::string body(aBytes, '\0');
  for (auto& it : body) {
    it = static_cast<char>('a' + random() % 26);
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
