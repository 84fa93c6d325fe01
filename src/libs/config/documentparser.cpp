#include "config/documentparser.h"

#include "config/jsonreader.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace Config {

namespace {

constexpr IntegerRange kRevisionRange{ 1, INT64_MAX };
constexpr IntegerRange kTimeRangeMs{ 0, 86'400'000 };
constexpr IntegerRange kPortRange{ 1, UINT16_MAX };
constexpr IntegerRange kSlotRange{ 1, 65'536 };
constexpr IntegerRange kConnectionRange{ 1, 1'000'000 };
constexpr IntegerRange kPercentRange{ 1, 100 };
constexpr std::chrono::milliseconds kDefaultReplayWindow{ 120'000 };
constexpr std::chrono::milliseconds kDefaultDrainDeadline{ 3'600'000 };
constexpr std::chrono::milliseconds kDefaultSlowStart{ 10'000 };
constexpr std::chrono::milliseconds kDefaultIdleTimeout{ 60'000 };

/** Reads a document and checks that names in it are unique. */
class DocumentReader
{
public:
  explicit DocumentReader(JsonSource& aSource)
    : mSource(aSource)
  {
  }

  Document read(const Json::Value& aRoot);

private:
  void readRegions(ObjectReader& aReader, Document& aDocument);
  void readEvacuatedZones(ObjectReader& aReader, Document& aDocument);
  void readMembers(ObjectReader& aReader, Document& aDocument);
  void readServices(ObjectReader& aReader, Document& aDocument);
  Member readMember(const Json::Value& aValue, const JsonPath& aPath);
  Service readService(const Json::Value& aValue, const JsonPath& aPath);
  void readClasses(ObjectReader& aReader, Service& aService);
  void readTargets(ObjectReader& aReader, Service& aService);
  void checkZone(ObjectReader& aReader, const std::string& aZone);
  void checkUnique(ObjectReader& aReader,
                   const char* aKey,
                   const std::string& aKind,
                   const std::string& aName);

  JsonSource& mSource;
  absl::flat_hash_set<std::string> mZones;
  /** Maps kind and name to the path of the first declaration. */
  absl::flat_hash_map<std::string, std::string> mDeclarations;
};

Document
DocumentReader::read(const Json::Value& aRoot)
{
  Document document;
  ObjectReader reader(mSource, aRoot, {});
  document.revision = reader.integer("revision", kRevisionRange);
  document.replayWindow = reader.millisecondsOr(
    "replayWindowMilliseconds", kTimeRangeMs, kDefaultReplayWindow);
  document.drainDeadline = reader.millisecondsOr(
    "drainDeadlineMilliseconds", kTimeRangeMs, kDefaultDrainDeadline);
  document.slowStart = reader.millisecondsOr(
    "slowStartMilliseconds", kTimeRangeMs, kDefaultSlowStart);
  readRegions(reader, document);
  readEvacuatedZones(reader, document);
  readMembers(reader, document);
  readServices(reader, document);
  reader.finish();
  return document;
}

void
DocumentReader::checkUnique(ObjectReader& aReader,
                            const char* aKey,
                            const std::string& aKind,
                            const std::string& aName)
{
  if (aName.empty()) {
    return;
  }
  const auto [it, isUnique] =
    mDeclarations.try_emplace(absl::StrCat(aKind, " ", aName));
  if (isUnique) {
    it->second = aReader.path(aKey).toString();
  } else {
    aReader.addError(
      aKey,
      absl::StrCat(
        aKind, " \"", aName, "\" is already declared at ", it->second));
  }
}

void
DocumentReader::readRegions(ObjectReader& aReader, Document& aDocument)
{
  const auto& regions = aReader.array("regions");
  for (Json::ArrayIndex i = 0; i < regions.size(); ++i) {
    ObjectReader reader(mSource, regions[i], aReader.path("regions", i));
    Region region;
    region.name = reader.string("name");
    checkUnique(reader, "name", "region", region.name);
    const auto& zones = reader.array("zones");
    for (Json::ArrayIndex k = 0; k < zones.size(); ++k) {
      const auto path = reader.path("zones", k);
      if (!zones[k].isString()) {
        mSource.addError(zones[k], path, "expected the name of a zone");
      } else if (!mZones.insert(zones[k].asString()).second) {
        mSource.addError(zones[k],
                         path,
                         absl::StrCat("zone \"",
                                      zones[k].asString(),
                                      "\" is already declared"));
      } else {
        region.zones.push_back(zones[k].asString());
      }
    }
    reader.finish();
    aDocument.regions.push_back(std::move(region));
  }
}

void
DocumentReader::readEvacuatedZones(ObjectReader& aReader, Document& aDocument)
{
  const auto& zones = aReader.array("evacuatedZones", false);
  const IntegerRange revisionRange{
    1, static_cast<std::int64_t>(aDocument.revision)
  };
  for (Json::ArrayIndex i = 0; i < zones.size(); ++i) {
    ObjectReader reader(mSource, zones[i], aReader.path("evacuatedZones", i));
    EvacuatedZone entry;
    entry.name = reader.string("zone");
    checkZone(reader, entry.name);
    checkUnique(reader, "zone", "evacuated zone", entry.name);
    entry.sinceRevision = static_cast<std::uint64_t>(
      reader.integer("sinceRevision", revisionRange));
    reader.finish();
    aDocument.evacuatedZones.push_back(std::move(entry));
  }
}

void
DocumentReader::checkZone(ObjectReader& aReader, const std::string& aZone)
{
  if (!aZone.empty() && !mZones.contains(aZone)) {
    aReader.addError("zone",
                     "zone \"" + aZone + "\" is not declared under regions");
  }
}

void
DocumentReader::readMembers(ObjectReader& aReader, Document& aDocument)
{
  const auto& members = aReader.array("members", false);
  for (Json::ArrayIndex i = 0; i < members.size(); ++i) {
    aDocument.members.push_back(
      readMember(members[i], aReader.path("members", i)));
  }
}

Member
DocumentReader::readMember(const Json::Value& aValue, const JsonPath& aPath)
{
  ObjectReader reader(mSource, aValue, aPath);
  Member member;
  member.name = reader.string("name");
  checkUnique(reader, "name", "member", member.name);
  const auto prefix = reader.string("callers");
  const std::vector<std::string> parts = absl::StrSplit(prefix, '/');
  const auto address = Core::parseAddress(parts.front());
  std::uint32_t length = 0;
  const bool isValid = address.ok() && parts.size() == 2 &&
                       absl::SimpleAtoi(parts[1], &length) && length <= 32;
  if (!isValid && !prefix.empty()) {
    reader.addError("callers",
                    "expected a prefix as in \"10.1.0.0/16\", found \"" +
                      prefix + "\"");
  }
  member.address = address.ok() ? *address : 0;
  member.prefixLength = static_cast<std::uint8_t>(length);
  member.slotShare = static_cast<std::uint32_t>(
    reader.integerOr("slotSharePercent", kPercentRange, 100));
  reader.finish();
  return member;
}

void
DocumentReader::readServices(ObjectReader& aReader, Document& aDocument)
{
  const auto& services = aReader.array("services");
  for (Json::ArrayIndex i = 0; i < services.size(); ++i) {
    aDocument.services.push_back(
      readService(services[i], aReader.path("services", i)));
  }
}

Service
DocumentReader::readService(const Json::Value& aValue, const JsonPath& aPath)
{
  ObjectReader reader(mSource, aValue, aPath);
  Service service;
  service.name = reader.string("name");
  checkUnique(reader, "name", "service", service.name);
  service.identity = identityOf(service.name);
  service.address = reader.address("address");
  const auto preference =
    reader.choice("zonePreference", { "own-first", "spread" }, "own-first");
  service.zonePreference =
    preference == "spread" ? ZonePreference::Spread : ZonePreference::OwnFirst;
  readClasses(reader, service);
  readTargets(reader, service);
  reader.finish();
  return service;
}

void
DocumentReader::readClasses(ObjectReader& aReader, Service& aService)
{
  const auto& classes = aReader.array("classes");
  for (Json::ArrayIndex i = 0; i < classes.size(); ++i) {
    ObjectReader reader(mSource, classes[i], aReader.path("classes", i));
    ServiceClass serviceClass;
    serviceClass.name = reader.string("name");
    checkUnique(reader, "name", "class of " + aService.name, serviceClass.name);
    serviceClass.port =
      static_cast<std::uint16_t>(reader.integer("port", kPortRange));
    const auto protocol = reader.choice("protocol", { "tcp", "udp" });
    serviceClass.protocol =
      protocol == "udp" ? Packet::Protocol::Udp : Packet::Protocol::Tcp;
    checkUnique(reader,
                "port",
                "address and port",
                absl::StrCat(Core::formatAddress(aService.address),
                             ":",
                             serviceClass.port,
                             "/",
                             protocol));
    serviceClass.resource =
      reader.choice("occupies", { "slot", "connection" }) == "slot"
        ? Resource::Slot
        : Resource::Connection;
    serviceClass.idempotent = reader.boolean("idempotent");
    serviceClass.waitLimit = reader.millisecondsOr(
      "waitLimitMilliseconds", kTimeRangeMs, std::chrono::milliseconds(0));
    serviceClass.idleTimeout = reader.millisecondsOr(
      "idleTimeoutMilliseconds", kTimeRangeMs, kDefaultIdleTimeout);
    reader.finish();
    aService.classes.push_back(std::move(serviceClass));
  }
}

void
DocumentReader::readTargets(ObjectReader& aReader, Service& aService)
{
  const auto& targets = aReader.array("targets");
  for (Json::ArrayIndex i = 0; i < targets.size(); ++i) {
    ObjectReader reader(mSource, targets[i], aReader.path("targets", i));
    Target target;
    target.name = reader.string("name");
    checkUnique(reader, "name", "target", target.name);
    target.identity = identityOf(target.name);
    target.zone = reader.string("zone");
    checkZone(reader, target.zone);
    target.slots =
      static_cast<std::uint32_t>(reader.integer("slots", kSlotRange));
    target.connections = static_cast<std::uint32_t>(
      reader.integer("connections", kConnectionRange));
    target.draining = reader.booleanOr("draining", false);
    reader.finish();
    aService.targets.push_back(std::move(target));
  }
}

} // namespace

DocumentResult
parseDocument(const std::string& aFile, const std::string& aText)
{
  JsonSource source(aFile, aText);
  const auto root = source.parse();
  if (!source.errors().empty()) {
    return source.errors();
  }
  auto document = DocumentReader(source).read(root);
  if (!source.errors().empty()) {
    return source.errors();
  }
  document.digest = digestOf(aText);
  return document;
}

absl::StatusOr<Document>
parseDocumentOrStatus(const std::string& aFile, const std::string& aText)
{
  auto result = parseDocument(aFile, aText);
  if (auto* errors = std::get_if<Diagnostics>(&result)) {
    return toStatus(*errors);
  }
  return std::move(std::get<Document>(result));
}

} // namespace Config
