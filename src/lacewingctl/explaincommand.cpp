#include "commands.h"

#include "exitcode.h"
#include "processpage.h"
#include "textfile.h"

#include "ownership/targetchoice.h"
#include "routing/fleetview.h"
#include "routing/flowhasher.h"

#include <absl/strings/escaping.h>
#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <iostream>

namespace {

absl::StatusOr<Packet::FlowKey>
parseFlow(const cxxopts::ParseResult& aOptions)
{
  Packet::FlowKey flow;
  const auto caller = Core::parseEndpoint(aOptions["from"].as<std::string>());
  const auto service = Core::parseEndpoint(aOptions["to"].as<std::string>());
  if (!caller.ok()) {
    return caller.status();
  }
  if (!service.ok()) {
    return service.status();
  }
  const auto protocol = aOptions["protocol"].as<std::string>();
  if (protocol != "tcp" && protocol != "udp") {
    return absl::InvalidArgumentError("--protocol: expected tcp or udp");
  }
  flow.caller = *caller;
  flow.service = *service;
  flow.protocol =
    protocol == "udp" ? Packet::Protocol::Udp : Packet::Protocol::Tcp;
  return flow;
}

absl::StatusOr<Config::FlowHashKey>
parseFlowHashKey(const std::string& aText)
{
  Config::FlowHashKey key{};
  const auto bytes = absl::HexStringToBytes(aText);
  if (aText.size() != key.size() * 2) {
    return absl::InvalidArgumentError(
      "--key: expected the flowHashKey of the settings, 32 hexadecimal digits");
  }
  std::copy(bytes.begin(), bytes.end(), key.begin());
  return key;
}

/**
 * The candidates for a new flow, with their loads as reported by the agents at
 * the given status endpoints. Draining agents, agents of evacuated zones and
 * agents of other services are excluded.
 */
absl::StatusOr<std::vector<Ownership::Candidate>>
readCandidates(const Routing::ServiceView& aService,
               const std::vector<std::string>& aAgentEndpoints)
{
  std::vector<Ownership::Candidate> candidates;
  for (const auto& endpoint : aAgentEndpoints) {
    const auto page = readPage(endpoint, "/status");
    if (!page.ok()) {
      return page.status();
    }
    const auto identity = Config::identityOf((*page)["name"].asString());
    const auto index = aService.indexOf(identity);
    if (!index || (*page)["leaving"].asBool() ||
        !aService.targets[*index].acceptsNewFlows()) {
      continue;
    }
    const auto& target = *aService.targets[*index].target;
    candidates.push_back({ identity,
                           target.zone,
                           { (*page)["slotsInUse"].asUInt(),
                             (*page)["slots"].asUInt(),
                             (*page)["connectionsInUse"].asUInt(),
                             target.connections } });
  }
  return candidates;
}

/** Name of a target, and why it gets no new flow. */
std::string
formatCandidate(const Routing::TargetEntry& aEntry)
{
  const char* reason = aEntry.isZoneEvacuated    ? " (zone evacuated)"
                       : aEntry.target->draining ? " (draining)"
                                                 : "";
  return aEntry.target->name + reason;
}

/** Name of the owner that a home agent would choose for a new flow now. */
std::string
chooseOwner(const Routing::ClassView& aClass,
            std::uint64_t aFlowHash,
            const std::vector<Ownership::Candidate>& aCandidates)
{
  Ownership::ChoiceRequest request;
  request.resource = aClass.serviceClass->resource;
  request.preference = aClass.service->service->zonePreference;
  request.flowHash = aFlowHash;
  const auto owner = Ownership::chooseTarget(aCandidates, request);
  const auto index = aClass.service->indexOf(owner);
  return index ? aClass.service->targets[*index].target->name
               : "none: no queried agent has capacity";
}

absl::StatusOr<Json::Value>
explain(const Routing::FleetView& aView,
        const Packet::FlowKey& aFlow,
        const Config::FlowHashKey& aKey,
        const std::vector<std::string>& aAgentEndpoints)
{
  Json::Value result;
  result["flow"] = Packet::formatFlowKey(aFlow);
  result["revision"] = Json::Value::UInt64(aView.revision());
  const auto classView = aView.findClass(aFlow.service, aFlow.protocol);
  if (!classView) {
    result["why"] = "no service class has this address, port and protocol; "
                    "balancers drop the packet";
    return result;
  }
  const auto& service = *classView.service;
  result["service"] = service.service->name;
  result["class"] = classView.serviceClass->name;
  const auto* member = aView.document().findMember(aFlow.caller.address);
  result["member"] = member == nullptr ? "none" : member->name;
  const auto hash = Routing::FlowHasher(aKey).hash(aFlow);
  const auto homes = service.homeSelector.homes(hash);
  for (const auto index : homes) {
    result["homes"].append(service.targets[index].target->name);
  }
  if (homes.empty()) {
    result["why"] = "the service has no target; balancers drop the packet";
    return result;
  }
  result["candidates"].append(formatCandidate(service.targets[homes[0]]));
  for (const auto index : service.homeSelector.peers(homes[0])) {
    result["candidates"].append(formatCandidate(service.targets[index]));
  }
  result["owner"] =
    "the candidate with the lowest utilization; pass the status "
    "endpoints of agents with --agent to see which one";
  if (!aAgentEndpoints.empty()) {
    const auto candidates = readCandidates(service, aAgentEndpoints);
    if (!candidates.ok()) {
      return candidates.status();
    }
    result["owner"] = chooseOwner(classView, hash, *candidates);
  }
  result["why"] =
    "a balancer that does not know the owner forwards the packet to the first "
    "responsive home agent; the home agent assigns a new flow to the candidate "
    "with the lowest utilization and forwards a known flow to its owner";
  return result;
}

} // namespace

int
runExplain(const CommandLine& aCommandLine)
{
  const auto& options = aCommandLine.options;
  const bool hasRequiredArguments =
    aCommandLine.arguments.size() == 1 && options.count("from") > 0 &&
    options.count("to") > 0 && options.count("key") > 0;
  if (!hasRequiredArguments) {
    std::cerr << "usage: lacewingctl explain FILE --from ADDRESS:PORT --to "
                 "ADDRESS:PORT [--protocol tcp|udp] --key HEX "
                 "[--agent ADDRESS:PORT]... [--json]\n";
    return kUsageError;
  }
  const auto flow = parseFlow(options);
  const auto key = parseFlowHashKey(options["key"].as<std::string>());
  for (const auto& status : { flow.status(), key.status() }) {
    if (!status.ok()) {
      std::cerr << status.message() << "\n";
      return kUsageError;
    }
  }
  auto file = readDocumentFile(aCommandLine.arguments[0]);
  if (!file.ok()) {
    return reportReadError(file.status());
  }
  const Routing::FleetView view(
    std::make_shared<const Config::Document>(std::move(file->document)), {});
  std::vector<std::string> agentEndpoints;
  if (options.count("agent") > 0) {
    agentEndpoints = options["agent"].as<std::vector<std::string>>();
  }
  const auto explanation = explain(view, *flow, *key, agentEndpoints);
  if (!explanation.ok()) {
    return reportReadError(explanation.status());
  }
  const auto& result = *explanation;
  if (options.count("json") > 0) {
    std::cout << result.toStyledString();
    return result.isMember("service") ? kSuccess : kNegativeResult;
  }
  for (const auto& name : result.getMemberNames()) {
    std::cout << name << ":";
    if (result[name].isArray()) {
      for (const auto& it : result[name]) {
        std::cout << " " << it.asString();
      }
    } else {
      std::cout << " " << result[name].asString();
    }
    std::cout << "\n";
  }
  return result.isMember("service") ? kSuccess : kNegativeResult;
}
