#include "config/settings.h"

#include "config/jsonreader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>

#include <algorithm>

namespace Config {

namespace {

constexpr IntegerRange kTimeRangeMs{ 0, 3'600'000 };
constexpr std::chrono::milliseconds kDefaultStopDelay{ 3'000 };

FlowHashKey
readFlowHashKey(ObjectReader& aReader)
{
  FlowHashKey key{};
  const auto text = aReader.string("flowHashKey");
  const bool isHex =
    std::all_of(text.begin(), text.end(), [](unsigned char aCharacter) {
      return absl::ascii_isxdigit(aCharacter);
    });
  if (!isHex || text.size() != key.size() * 2) {
    aReader.addError("flowHashKey", "expected 32 hexadecimal digits");
    return key;
  }
  const auto bytes = absl::HexStringToBytes(text);
  std::copy(bytes.begin(), bytes.end(), key.begin());
  return key;
}

LogSettings
readLogSettings(JsonSource& aSource, ObjectReader& aReader)
{
  LogSettings log;
  if (!aReader.has("log")) {
    return log;
  }
  ObjectReader reader(aSource, aReader.object("log"), aReader.path("log"));
  log.level =
    reader.choice("level", { "debug", "info", "warn", "error" }, "info");
  log.json = reader.choice("format", { "text", "json" }, "text") == "json";
  reader.finish();
  return log;
}

std::vector<Core::Endpoint>
readSeeds(JsonSource& aSource, ObjectReader& aReader)
{
  std::vector<Core::Endpoint> seeds;
  const auto& values = aReader.array("seeds", false);
  for (Json::ArrayIndex i = 0; i < values.size(); ++i) {
    const auto endpoint = Core::parseEndpoint(
      values[i].isString() ? values[i].asString() : std::string());
    if (endpoint.ok()) {
      seeds.push_back(*endpoint);
    } else {
      aSource.addError(values[i],
                       aReader.path("seeds", i),
                       std::string(endpoint.status().message()));
    }
  }
  return seeds;
}

CommonSettings
readCommonSettings(JsonSource& aSource, ObjectReader& aReader)
{
  CommonSettings settings;
  settings.name = aReader.string("name");
  settings.environment = aReader.string("environment");
  settings.zone = aReader.string("zone");
  settings.data = aReader.endpoint("data");
  settings.control = aReader.endpoint("control");
  settings.status = aReader.endpoint("status");
  settings.configurationService = aReader.endpoint("configurationService");
  settings.seeds = readSeeds(aSource, aReader);
  settings.flowHashKey = readFlowHashKey(aReader);
  settings.log = readLogSettings(aSource, aReader);
  return settings;
}

template<typename SettingsType, typename ReadRoleSettings>
std::variant<SettingsType, Diagnostics>
parseSettings(const std::string& aFile,
              const std::string& aText,
              ReadRoleSettings aReadRoleSettings)
{
  JsonSource source(aFile, aText);
  const auto root = source.parse();
  if (!source.errors().empty()) {
    return source.errors();
  }
  ObjectReader reader(source, root, {});
  SettingsType settings;
  settings.common = readCommonSettings(source, reader);
  aReadRoleSettings(reader, settings);
  reader.finish();
  if (!source.errors().empty()) {
    return source.errors();
  }
  return settings;
}

} // namespace

std::variant<BalancerSettings, Diagnostics>
parseBalancerSettings(const std::string& aFile, const std::string& aText)
{
  const auto readRoleSettings = [](ObjectReader& aReader,
                                   BalancerSettings& aSettings) {
    aSettings.stopDelay = aReader.millisecondsOr(
      "stopDelayMilliseconds", kTimeRangeMs, kDefaultStopDelay);
  };
  return parseSettings<BalancerSettings>(aFile, aText, readRoleSettings);
}

std::variant<AgentSettings, Diagnostics>
parseAgentSettings(const std::string& aFile, const std::string& aText)
{
  const auto readRoleSettings = [](ObjectReader& aReader,
                                   AgentSettings& aSettings) {
    aSettings.backendServer = aReader.endpoint("backendServer");
    aSettings.backendPort = aReader.endpoint("backendPort");
    aSettings.gateway = aReader.endpoint("gateway");
  };
  return parseSettings<AgentSettings>(aFile, aText, readRoleSettings);
}

} // namespace Config
