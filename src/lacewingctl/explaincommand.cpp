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
readFlow(const cxxopts::ParseResult& aOptions)
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
readKey(const std::string& aText)
{
  Config::FlowHashKey key{};
  const auto bytes = absl::HexStringToBytes(aText);
  if (aText.size() != key.size() * 2) {
    return absl::InvalidArgumentError(
      "--key: expected the 32 digits of flowHashKey in the settings");
  }
  std::copy(bytes.begin(), bytes.end(), key.begin());
  return key;
}

/** Adds the loads of running agents to the candidates of a flow. */
absl::StatusOr<std::vector<Ownership::Candidate>>
readCandidates(const Routing::ServiceView& aService,
               const std::vector<std::string>& aAgents)
{
  std::vector<Ownership::Candidate> candidates;
  for (const auto& endpoint : aAgents) {
    const auto page = readPage(endpoint, "/status");
    if (!page.ok()) {
      return page.status();
    }
    const auto target = Config::identityOf((*page)["name"].asString());
    const auto index = aService.indexOf(target);
    if (!index || (*page)["leaving"].asBool()) {
      continue;
    }
    const auto& declared = *aService.targets[*index].target;
    candidates.push_back({ target,
                           declared.zone,
                           { (*page)["slotsInUse"].asUInt(),
                             (*page)["slots"].asUInt(),
                             (*page)["connectionsInUse"].asUInt(),
                             declared.connections } });
  }
  return candidates;
}

/** The owner that a home would choose for a new flow now. */
std::string
ownerFor(const Routing::ClassView& aClass,
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
               : "none: no agent asked has room";
}

absl::StatusOr<Json::Value>
explain(const Routing::FleetView& aView,
        const Packet::FlowKey& aFlow,
        const Config::FlowHashKey& aKey,
        const std::vector<std::string>& aAgents)
{
  Json::Value page;
  page["flow"] = Packet::formatFlowKey(aFlow);
  page["revision"] = Json::Value::UInt64(aView.revision());
  const auto found = aView.findClass(aFlow.service, aFlow.protocol);
  if (!found) {
    page["why"] = "no class of any service has this address and port; every "
                  "balancer drops the packet";
    return page;
  }
  const auto& service = *found.service;
  page["service"] = service.service->name;
  page["class"] = found.serviceClass->name;
  const auto* member = aView.document().findMember(aFlow.caller.address);
  page["member"] = member == nullptr ? "none" : member->name;
  const auto hash = Routing::FlowHasher(aKey).hash(aFlow);
  const auto homes = service.homeSelector.homes(hash);
  for (const auto index : homes) {
    page["homes"].append(service.targets[index].target->name);
  }
  if (homes.empty()) {
    page["why"] = "the service has no target; the packet is dropped";
    return page;
  }
  page["candidates"].append(service.targets[homes[0]].target->name);
  for (const auto index : service.homeSelector.peers(homes[0])) {
    const auto& target = *service.targets[index].target;
    page["candidates"].append(target.draining ? target.name + " (draining)"
                                              : target.name);
  }
  page["owner"] = "the candidate with the least of its room in use; name the "
                  "agents with --agent to see which";
  if (!aAgents.empty()) {
    const auto candidates = readCandidates(service, aAgents);
    if (!candidates.ok()) {
      return candidates.status();
    }
    page["owner"] = ownerFor(found, hash, *candidates);
  }
  page["why"] =
    "a balancer that does not know the owner sends the packet to the first "
    "home that answers; the home gives a new flow to the candidate with the "
    "least of its room in use, and a known one to its owner";
  return page;
}

} // namespace

int
runExplain(const CommandLine& aLine)
{
  const auto& options = aLine.options;
  const bool isComplete = aLine.words.size() == 1 &&
                          options.count("from") > 0 &&
                          options.count("to") > 0 && options.count("key") > 0;
  if (!isComplete) {
    std::cerr << "usage: lacewingctl explain FILE --from ADDRESS:PORT --to "
                 "ADDRESS:PORT --protocol tcp|udp --key HEX [--json]\n";
    return kUsage;
  }
  const auto flow = readFlow(options);
  const auto key = readKey(options["key"].as<std::string>());
  for (const auto& status : { flow.status(), key.status() }) {
    if (!status.ok()) {
      std::cerr << status.message() << "\n";
      return kUsage;
    }
  }
  auto file = readDocumentFile(aLine.words[0]);
  if (!file.ok()) {
    return reportUnusable(file.status());
  }
  const Routing::FleetView view(
    std::make_shared<const Config::Document>(std::move(file->document)), {});
  std::vector<std::string> agents;
  if (options.count("agent") > 0) {
    agents = options["agent"].as<std::vector<std::string>>();
  }
  const auto explained = explain(view, *flow, *key, agents);
  if (!explained.ok()) {
    return reportUnusable(explained.status());
  }
  const auto& page = *explained;
  if (options.count("json") > 0) {
    std::cout << page.toStyledString();
    return page.isMember("service") ? kSuccess : kNegative;
  }
  for (const auto& name : page.getMemberNames()) {
    std::cout << name << ":";
    if (page[name].isArray()) {
      for (const auto& it : page[name]) {
        std::cout << " " << it.asString();
      }
    } else {
      std::cout << " " << page[name].asString();
    }
    std::cout << "\n";
  }
  return page.isMember("service") ? kSuccess : kNegative;
}
