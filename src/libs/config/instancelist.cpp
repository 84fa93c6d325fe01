#include "config/instancelist.h"

#include "config/jsonreader.h"

#include <utility>

namespace Config {

namespace {

Instance
readInstance(JsonSource& aSource,
             const Json::Value& aValue,
             const JsonPath& aPath)
{
  ObjectReader reader(aSource, aValue, aPath);
  Instance instance;
  instance.name = reader.string("name");
  instance.role = reader.choice("role", { "balancer", "target" }) == "balancer"
                    ? InstanceRole::Balancer
                    : InstanceRole::Target;
  instance.zone = reader.string("zone");
  instance.data = reader.endpoint("data");
  instance.control = reader.endpoint("control");
  instance.leaving = reader.choice("state", { "live", "leaving" }) == "leaving";
  reader.finish();
  return instance;
}

} // namespace

absl::StatusOr<InstanceList>
parseInstanceList(const std::string& aFile, const std::string& aText)
{
  JsonSource source(aFile, aText);
  const auto root = source.parse();
  if (!source.errors().empty()) {
    return toStatus(source.errors());
  }
  InstanceList list;
  ObjectReader reader(source, root, {});
  const auto& instances = reader.array("instances");
  reader.finish();
  if (!source.errors().empty()) {
    return toStatus(source.errors());
  }
  for (Json::ArrayIndex i = 0; i < instances.size(); ++i) {
    auto instance =
      readInstance(source, instances[i], reader.path("instances", i));
    const auto errors = source.takeErrors();
    if (errors.empty()) {
      list.instances.push_back(std::move(instance));
    } else {
      list.unreadable.push_back(
        { instance.name, std::string(toStatus(errors).message()) });
    }
  }
  if (list.instances.empty() && !list.unreadable.empty()) {
    return absl::DataLossError(list.unreadable.front().error);
  }
  return list;
}

} // namespace Config
