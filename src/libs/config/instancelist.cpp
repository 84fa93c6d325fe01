#include "config/instancelist.h"

#include "config/jsonreader.h"

namespace Config {

namespace {

Instance
readInstance(JsonSource& aSource,
             const Json::Value& aValue,
             const Place& aPlace)
{
  ObjectReader reader(aSource, aValue, aPlace);
  Instance instance;
  instance.name = reader.string("name");
  instance.role = reader.word("role", { "balancer", "target" }) == "balancer"
                    ? InstanceRole::Balancer
                    : InstanceRole::Target;
  instance.zone = reader.string("zone");
  instance.data = reader.endpoint("data");
  instance.control = reader.endpoint("control");
  instance.leaving = reader.word("state", { "live", "leaving" }) == "leaving";
  reader.finish();
  return instance;
}

} // namespace

absl::StatusOr<InstanceList>
parseInstanceList(const std::string& aSource, const std::string& aText)
{
  JsonSource source(aSource, aText);
  const auto root = source.parse();
  if (!source.faults().empty()) {
    return toStatus(source.faults());
  }
  InstanceList list;
  ObjectReader reader(source, root, {});
  const auto& instances = reader.array("instances");
  for (Json::ArrayIndex i = 0; i < instances.size(); ++i) {
    list.instances.push_back(
      readInstance(source, instances[i], reader.place("instances", i)));
  }
  reader.finish();
  if (!source.faults().empty()) {
    return toStatus(source.faults());
  }
  return list;
}

} // namespace Config
