#include "platform/nodesettings.h"

#include <absl/strings/str_replace.h>
#include <doctest/doctest.h>

#include <string>

namespace {

using namespace std::chrono_literals;

const std::string kBalancer = R"(
nodeName = "frontend-1"
zone = "z1"
internalPorts = [7720,7735]
seedNodes = ["10.1.0.10:8166","10.2.0.40:8166"]
somethingNew = { a = 1 }
[listenAddrs]
udpAddr = "10.1.0.10:8172"
readinessAddr = "10.1.0.10:8167"
controlPlane = "10.1.0.10:8166"
[bounds]
gracePeriodS = 6
[platform]
address = "10.200.1.7:8169"
)";

const std::string kAgent = R"(
nodeName = "side-1"
zone = "z1"
internalPorts = [7720,7735]
app = "10.1.0.12:8165"
service = "red"
[listenAddrs]
udpAddr = "10.1.0.12:8172"
outbound = "10.1.0.12:8162"
readinessAddr = "10.1.0.12:8167"
[bounds]
gracePeriodS = 6.5
)";

std::string
withoutLine(const std::string& aText, const std::string& aLine)
{
  const auto begin = aText.find(aLine);
  const auto end = aText.find('\n', begin);
  return aText.substr(0, begin) + aText.substr(end + 1);
}

} // namespace

TEST_CASE("a balancer's settings are parsed")
{
  const auto settings = Platform::parseNodeSettings(
    "node.toml", kBalancer, Platform::NodeRole::Balancer);
  REQUIRE(settings.ok());
  CHECK(settings->name == "frontend-1");
  CHECK(Core::formatEndpoint(settings->data) == "10.1.0.10:8172");
  CHECK(Core::formatEndpoint(settings->store) == "10.200.1.7:8169");
  CHECK(settings->firstInternalPort == 7720);
  CHECK(settings->gracePeriod == 6s);
  CHECK(settings->seeds.size() == 2);
}

TEST_CASE("the rate of the link is optional, but must be a positive number")
{
  const auto parse = [](const std::string& aText) {
    return Platform::parseNodeSettings(
      "node.toml", aText, Platform::NodeRole::Balancer);
  };
  CHECK(parse(kBalancer)->linkRate == Steering::LinkBudget::kDefaultLinkRate);
  CHECK(parse(kBalancer + "[limits]\nlinkMbps = 20.5\n")->linkRate ==
        2'562'500);
  for (const auto* value : { "0", "-1.0", "\"fast\"", "1e300", "nan" }) {
    const auto settings =
      parse(kBalancer + "[limits]\nlinkMbps = " + value + "\n");
    REQUIRE_FALSE(settings.ok());
    CHECK(settings.status().message() ==
          "node.toml: limits.linkMbps: expected a number of Mbit/s above 0");
  }
}

TEST_CASE("the bounds of slow starts are optional, but must not be negative")
{
  const auto parse = [](const std::string& aBounds) {
    auto text = kBalancer;
    text.replace(text.find("gracePeriodS"), 0, aBounds);
    return Platform::parseNodeSettings(
      "node.toml", text, Platform::NodeRole::Balancer);
  };
  CHECK(parse("")->slowStartBounds.overage == 1);
  CHECK(parse("")->slowStartBounds.slack == 0);
  const auto settings = parse("warmupOverage = 1.5\nwarmupSlack = 5\n");
  CHECK(settings->slowStartBounds.overage == 1.5);
  CHECK(settings->slowStartBounds.slack == 5);
  for (const auto* value : { "-1", "inf", "\"much\"" }) {
    CHECK(
      parse(std::string("warmupSlack = ") + value + "\n").status().message() ==
      "node.toml: bounds.warmupSlack: expected a number of at least 0");
  }
}

TEST_CASE("an agent's settings are parsed")
{
  const auto settings =
    Platform::parseNodeSettings("node.toml", kAgent, Platform::NodeRole::Agent);
  REQUIRE(settings.ok());
  CHECK(settings->service == "red");
  CHECK(Core::formatEndpoint(settings->target) == "10.1.0.12:8165");
  CHECK(Core::formatEndpoint(settings->outbound) == "10.1.0.12:8162");
  CHECK(settings->gracePeriod == 6'500ms);
}

TEST_CASE("an error names the file, the field and the expected value")
{
  const auto errorFor = [](const std::string& aText) {
    return std::string(Platform::parseNodeSettings(
                         "node.toml", aText, Platform::NodeRole::Balancer)
                         .status()
                         .message());
  };
  CHECK(errorFor(withoutLine(kBalancer, "udpAddr")) ==
        "node.toml: listenAddrs.udpAddr: expected an address and port as in "
        "\"192.0.2.1:7000\"");
  CHECK(errorFor(withoutLine(kBalancer, "nodeName")) ==
        "node.toml: nodeName: expected a non-empty string");
  CHECK(errorFor(withoutLine(kBalancer, "internalPorts")) ==
        "node.toml: internalPorts[0]: expected a number from 1 to 65535");
  CHECK(errorFor(withoutLine(kBalancer, "gracePeriodS")) ==
        "node.toml: bounds.gracePeriodS: expected a number of seconds above 0");
  CHECK(
    errorFor(absl::StrReplaceAll(kBalancer, { { "S = 6", "S = 1e300" } })) ==
    "node.toml: bounds.gracePeriodS: expected a number of seconds above 0");
  CHECK(errorFor("nodeName = ").find("node.toml:1: ") == 0);
}

TEST_CASE("a balancer's settings are not valid for an agent")
{
  const auto status = Platform::parseNodeSettings(
                        "node.toml", kBalancer, Platform::NodeRole::Agent)
                        .status();
  CHECK(std::string(status.message()) ==
        "node.toml: listenAddrs.outbound: expected an address and port as in "
        "\"192.0.2.1:7000\"");
}
