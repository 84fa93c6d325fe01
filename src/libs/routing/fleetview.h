#pragma once

#include "config/document.h"
#include "config/instancelist.h"
#include "packet/flowkey.h"
#include "routing/homeselector.h"

#include <absl/container/flat_hash_map.h>

#include <absl/strings/string_view.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/** A target's declaration in the document and its current endpoint. */
struct TargetEntry
{
  const Config::Target* target = nullptr;
  /** Data endpoint of its agent; null if not in the instance list. */
  Core::Endpoint endpoint;
  /**
   * True if the document marks the target as draining, or the instance list
   * marks its agent as leaving.
   */
  bool leaving = false;
  /** True if the document evacuates the target's zone. */
  bool isZoneEvacuated = false;

  bool acceptsNewFlows() const { return !leaving && !isZoneEvacuated; }
};

/** A service, its targets and the selection of homes among them. */
struct ServiceView
{
  const Config::Service* service = nullptr;
  HomeSelector homeSelector;
  /** In document order, which the indexes from HomeSelector refer to. */
  std::vector<TargetEntry> targets;
  /**
   * True if there are targets and all of them are in evacuated zones, so that
   * no target may get a new flow until the document changes.
   */
  bool isEvacuated = false;

  /** Index of a target; std::nullopt if it is not in this service. */
  std::optional<std::uint32_t> indexOf(Config::Identity aTarget) const;
};

/** A service class and its service; both null if no class was found. */
struct ClassView
{
  const ServiceView* service = nullptr;
  const Config::ServiceClass* serviceClass = nullptr;

  explicit operator bool() const { return serviceClass != nullptr; }
};

/**
 * An immutable snapshot of one document revision joined with the instance
 * list. An update creates a new snapshot.
 */
class FleetView
{
public:
  FleetView(std::shared_ptr<const Config::Document> aDocument,
            const Config::InstanceList& aInstances);
  FleetView(const FleetView&) = delete;
  FleetView& operator=(const FleetView&) = delete;

  const Config::Document& document() const { return *mDocument; }
  std::uint64_t revision() const { return mDocument->revision; }
  const std::vector<ServiceView>& services() const { return mServices; }

  /** The service class of packets sent to this address. */
  ClassView findClass(const Core::Endpoint& aAddress,
                      Packet::Protocol aProtocol) const;
  const ServiceView* findService(Config::Identity aService) const;
  /** The service that a target belongs to; null if there is none. */
  const ServiceView* serviceOfTarget(Config::Identity aTarget) const;
  /** Null if the target is not in the document. */
  const TargetEntry* findTarget(Config::Identity aTarget) const;
  std::size_t balancerCount() const { return mBalancerZones.size(); }
  /** Zone of the balancer with this data endpoint; empty if not listed. */
  absl::string_view zoneOfBalancer(const Core::Endpoint& aEndpoint) const;

private:
  struct Position
  {
    std::uint32_t service;
    std::uint32_t index;
  };
  struct AddressKey
  {
    Core::Endpoint address;
    Packet::Protocol protocol;

    bool operator==(const AddressKey&) const = default;
    template<typename H>
    friend H AbslHashValue(H aState, const AddressKey& aKey)
    {
      return H::combine(std::move(aState),
                        aKey.address.address,
                        aKey.address.port,
                        aKey.protocol);
    }
  };

  void addService(
    const Config::Service& aService,
    const absl::flat_hash_map<std::string, const Config::Instance*>&
      aInstancesByName);

  std::shared_ptr<const Config::Document> mDocument;
  std::vector<ServiceView> mServices;
  absl::flat_hash_map<Config::Identity, std::uint32_t> mServiceIndex;
  absl::flat_hash_map<Config::Identity, Position> mTargetIndex;
  absl::flat_hash_map<AddressKey, Position> mClassIndex;
  /** Keyed by the address and port combined into one number. */
  absl::flat_hash_map<std::uint64_t, std::string> mBalancerZones;
};

using FleetViewPointer = std::shared_ptr<const FleetView>;

} // namespace Routing
