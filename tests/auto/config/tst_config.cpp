#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "config/documentparser.h"
#include "config/evacuationchanges.h"
#include "config/instancelist.h"
#include "config/settings.h"
#include "config/zoneeditor.h"

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

TEST_CASE("an odd instance of another writer does not hide the others")
{
  const std::string valid =
    R"({"name":"a","role":"target","zone":"z","data":"127.0.0.1:1",)"
    R"("control":"127.0.0.1:2","state":"live"})";
  std::string odd;
  SUBCASE("no object")
  {
    odd = "[[7]]";
  }
  SUBCASE("a port out of range")
  {
    odd = absl::StrReplaceAll(valid, { { ":2", ":65536" } });
  }
  SUBCASE("a number that no type holds")
  {
    odd = absl::StrReplaceAll(valid, { { R"("z")", "1e300" } });
  }
  const auto list =
    parseInstanceList("p", R"({"instances":[)" + odd + "," + valid + "]}");
  REQUIRE(list.ok());
  REQUIRE(list->instances.size() == 1);
  CHECK(list->instances[0].name == "a");
  REQUIRE(list->unreadable.size() == 1);
  CHECK(list->unreadable[0].error.find("instances[0]") != std::string::npos);
}

TEST_CASE("a text that is nested beyond the limit of the parser is an error")
{
  const std::string nested(1'001, '[');
  CHECK_FALSE(parseInstanceList("p", nested).ok());
  CHECK_FALSE(parseInstanceList("p", R"({"instances":[)" + nested).ok());
  CHECK_FALSE(parseDocumentOrStatus("d", nested).ok());
  CHECK(std::holds_alternative<Diagnostics>(parseAgentSettings("f", nested)));
}

TEST_CASE("an evacuation of an unknown zone is an error of the document")
{
  const auto errorsWith = [](const std::string& aList) {
    return errorsAfter("\"revision\": 1",
                       "\"revision\": 3, \"evacuatedZones\": " + aList);
  };
  CHECK(errorsWith(R"([{"zone": "pernik", "sinceRevision": 3}])").empty());
  CHECK(errorsWith(R"([{"zone": "plovdiv", "sinceRevision": 3}])")
          .find("evacuatedZones[0].zone: zone \"plovdiv\" is not declared "
                "under regions") != std::string::npos);
  CHECK(errorsWith(R"([{"zone": "", "sinceRevision": 3}])")
          .find("expected a non-empty string") != std::string::npos);
  CHECK(errorsWith(R"([{"zone": "pernik", "sinceRevision": 4}])")
          .find("expected an integer from 1 to 3, found 4") !=
        std::string::npos);
  CHECK(errorsWith(R"([{"zone": "pernik", "sinceRevision": 2},
                       {"zone": "pernik", "sinceRevision": 3}])")
          .find("is already declared at evacuatedZones[0].zone") !=
        std::string::npos);
  CHECK(errorsWith("[\"pernik\"]").find("expected an object") !=
        std::string::npos);
}

// An edit must not lose the operator's comments, nor change other values.
TEST_CASE("a zone is evacuated and taken back in the text of a document")
{
  const auto text = readExample("stalbo/document.json");
  const auto first = evacuateZone("d", text, "pernik");
  REQUIRE(first.ok());
  const auto rest = text.substr(text.find("replayWindow"));
  CHECK(first->find(rest) != std::string::npos);
  const auto second = evacuateZone("d", *first, "sofia-a");
  REQUIRE(second.ok());
  const std::vector<EvacuatedZone> both{ { "pernik", 2 }, { "sofia-a", 3 } };
  CHECK(parseDocumentOrStatus("d", *second)->evacuatedZones == both);
  CHECK(
    absl::IsFailedPrecondition(evacuateZone("d", *second, "sofia-a").status()));
  CHECK(absl::IsNotFound(evacuateZone("d", text, "plovdiv").status()));

  for (const auto* zone : { "pernik", "sofia-a" }) {
    const std::string other = zone == both[0].name ? "sofia-a" : "pernik";
    const auto returned = returnZone("d", *second, zone);
    REQUIRE(returned.ok());
    const auto document = parseDocumentOrStatus("d", *returned);
    CHECK_FALSE(document->isZoneEvacuated(zone));
    CHECK(document->isZoneEvacuated(other));
    CHECK(document->revision == 4);
    const auto none = returnZone("d", *returned, other);
    REQUIRE(none.ok());
    CHECK(none->find(rest) != std::string::npos);
    CHECK(parseDocumentOrStatus("d", *none)->evacuatedZones.empty());
    CHECK(evacuateZone("d", *none, zone).ok());
    CHECK(absl::IsFailedPrecondition(returnZone("d", *none, other).status()));
  }
}

// An edit of the earlier of two values moves the position of the later one.
TEST_CASE("the list of evacuated zones may stand behind the revision")
{
  const std::string text =
    R"({"revision": 9, "regions": [{"name": "r", "zones": ["a", "b"]}],
        "services": [], // last
        "evacuatedZones": [{"zone": "a", "sinceRevision": 4}]})";
  const auto evacuated = evacuateZone("d", text, "b");
  REQUIRE(evacuated.ok());
  const std::vector<EvacuatedZone> both{ { "a", 4 }, { "b", 10 } };
  CHECK(parseDocumentOrStatus("d", *evacuated)->evacuatedZones == both);
  CHECK(evacuated->find("// last") != std::string::npos);
}

TEST_CASE("changes of evacuated zones include a zone that was back meanwhile")
{
  Document before;
  before.evacuatedZones = { { "a", 2 }, { "b", 3 }, { "c", 3 } };
  Document after;
  after.evacuatedZones = { { "a", 2 }, { "b", 7 } };
  const auto changes = findEvacuationChanges(&before, after);
  CHECK(changes.evacuated == std::vector<EvacuatedZone>{ { "b", 7 } });
  CHECK(changes.returned == std::vector<std::string>{ "c" });
  CHECK(findEvacuationChanges(nullptr, after).evacuated.size() == 2);
}
