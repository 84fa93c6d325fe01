#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "config/documentparser.h"
#include "config/instancelist.h"
#include "config/settings.h"

#include <absl/strings/str_replace.h>

#include <fstream>
#include <sstream>

using namespace Config;

namespace {

std::string
readExample(const std::string& aName)
{
  std::stringstream text;
  text << std::ifstream(std::string(EXAMPLES_FOLDER) + "/" + aName).rdbuf();
  return text.str();
}

/** The errors in the Stalbo document after one replacement, one per line. */
std::string
errorsAfter(const std::string& aBefore, const std::string& aAfter)
{
  const auto text = readExample("stalbo/document.json");
  const auto position = text.find(aBefore);
  REQUIRE(position != std::string::npos);
  auto changed = text;
  changed.replace(position, aBefore.size(), aAfter);
  const auto result = parseDocumentOrStatus("d.json", changed);
  return result.ok() ? "" : std::string(result.status().message());
}

} // namespace

TEST_CASE(
  "the example documents declare the targets and limits of their fleets")
{
  const auto stalbo =
    parseDocumentOrStatus("s", readExample("stalbo/document.json"));
  REQUIRE(stalbo.ok());
  REQUIRE(stalbo->services.size() == 2);
  CHECK(stalbo->services[0].targets.size() == 7);
  CHECK(stalbo->services[1].targets.size() == 3);
  CHECK(stalbo->services[0].targets[0].slots == 7);
  CHECK(stalbo->digest.size() == 64);
  const auto chama =
    parseDocumentOrStatus("c", readExample("chama/document.json"));
  REQUIRE(chama.ok());
  CHECK(chama->services[0].targets[0].slots == 4);
  CHECK(chama->services[0].targets[0].connections == 2000);
}

TEST_CASE("the example settings of both roles are valid")
{
  for (const std::string user : { "stalbo", "chama" }) {
    const auto balancer =
      parseBalancerSettings("b", readExample(user + "/balancer.json"));
    CHECK(std::holds_alternative<BalancerSettings>(balancer));
    const auto agent =
      parseAgentSettings("a", readExample(user + "/agent.json"));
    CHECK(std::holds_alternative<AgentSettings>(agent));
  }
}

TEST_CASE("each error in a document names the file, the path and the expected "
          "value")
{
  CHECK(errorsAfter("\"revision\": 1", "\"revison\": 1")
          .find("d.json:3:14: revison: unknown key") != std::string::npos);
  CHECK(errorsAfter("\"revision\": 1", "\"revison\": 1")
          .find("revision: this key is missing") != std::string::npos);
  CHECK(errorsAfter("\"slots\": 7", "\"slots\": \"7\"")
          .find("services[0].targets[0].slots: expected an integer, found a "
                "string") != std::string::npos);
  CHECK(errorsAfter("\"slots\": 7", "\"slots\": 7.5")
          .find("expected an integer, found a number") != std::string::npos);
  CHECK(errorsAfter("\"slots\": 7", "\"slots\": 0")
          .find("expected an integer from 1 to 65536, found 0") !=
        std::string::npos);
  CHECK(errorsAfter("\"port\": 7001", "\"port\": 70000")
          .find("expected an integer from 1 to 65535") != std::string::npos);
  CHECK(errorsAfter("198.51.100.10", "198.51.100.300")
          .find("expected an IPv4 address") != std::string::npos);
  CHECK(errorsAfter("\"register-2\"", "\"register-1\"")
          .find("target \"register-1\" is already declared at "
                "services[0].targets[0].name") != std::string::npos);
  CHECK(errorsAfter("\"evidence-1\"", "\"register-1\"")
          .find("is already declared at services[0].targets[0].name") !=
        std::string::npos);
  CHECK(errorsAfter("\"zone\": \"pernik\"", "\"zone\": \"plovdiv\"")
          .find("zone \"plovdiv\" is not declared") != std::string::npos);
  CHECK(errorsAfter("10.1.0.0/16", "10.1.0.0/40").find("expected a prefix") !=
        std::string::npos);
  CHECK(
    errorsAfter("\"port\": 7002", "\"port\": 7001").find("address and port") !=
    std::string::npos);
}

TEST_CASE("all errors are reported at once")
{
  const auto text =
    absl::StrReplaceAll(readExample("stalbo/document.json"),
                        { { "\"slots\": 7", "\"slots\": \"7\"" } });
  const auto result = parseDocument("d.json", text);
  REQUIRE(std::holds_alternative<Diagnostics>(result));
  CHECK(std::get<Diagnostics>(result).size() == 10);
}

TEST_CASE("a syntax error names the file and the line")
{
  const auto result = parseDocument("d.json", "{\n  \"revision\": ,\n}");
  REQUIRE(std::holds_alternative<Diagnostics>(result));
  const auto& diagnostics = std::get<Diagnostics>(result);
  REQUIRE(!diagnostics.empty());
  CHECK(diagnostics[0].line == 2);
  CHECK(diagnostics[0].file == "d.json");
}

TEST_CASE("duplicate keys and text after the document are errors")
{
  CHECK_FALSE(
    parseDocumentOrStatus("d", "{\"revision\":1,\"revision\":2}").ok());
  const auto text = readExample("stalbo/document.json");
  CHECK_FALSE(parseDocumentOrStatus("d", text + "{}").ok());
  CHECK_FALSE(parseDocumentOrStatus("d", "").ok());
  CHECK_FALSE(parseDocumentOrStatus("d", "[]").ok());
}

TEST_CASE(
  "settings of the wrong role or with an invalid flow hash key are errors")
{
  const auto text = readExample("stalbo/agent.json");
  const auto agentAsBalancer = parseBalancerSettings("f", text);
  REQUIRE(std::holds_alternative<Diagnostics>(agentAsBalancer));
  const auto invalidKey = parseAgentSettings(
    "f",
    absl::StrReplaceAll(text,
                        { { "000102030405060708090a0b0c0d0e0f", "0g" } }));
  REQUIRE(std::holds_alternative<Diagnostics>(invalidKey));
  CHECK(std::get<Diagnostics>(invalidKey)[0].message ==
        "expected 32 hexadecimal digits");
}

TEST_CASE("an instance list with an unknown state is an error")
{
  const std::string validList =
    R"({"instances":[{"name":"a","role":"target","zone":"z",
        "data":"127.0.0.1:1","control":"127.0.0.1:2","state":"leaving"}]})";
  const auto list = parseInstanceList("p", validList);
  REQUIRE(list.ok());
  CHECK(list->instances[0].leaving);
  CHECK_FALSE(parseInstanceList(
                "p", absl::StrReplaceAll(validList, { { "leaving", "gone" } }))
                .ok());
}
