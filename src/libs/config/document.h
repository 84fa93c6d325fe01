#pragma once

#include "packet/flowkey.h"

#include <absl/status/statusor.h>

#include <absl/strings/string_view.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Config {

/** A hash of a name, the same in every process. Never 0. */
using Identity = std::uint64_t;

Identity
identityOf(absl::string_view aName);

/** The limit of its target that an open flow counts against. */
enum class Resource
{
  Slot,
  Connection,
};

/** A port of a service, with properties of the traffic to it. */
struct ServiceClass
{
  std::string name;
  std::uint16_t port = 0;
  Packet::Protocol protocol = Packet::Protocol::Tcp;
  Resource resource = Resource::Slot;
  /** False if a request must never run more than once. */
  bool idempotent = true;
  /**
   * Maximum time in the queue for a new flow. If zero, a flow is refused at
   * once when there is no capacity for it.
   */
  std::chrono::milliseconds waitLimit{ 0 };
  /** A flow without packets for this time is removed. */
  std::chrono::milliseconds idleTimeout{ 0 };
};

/** A backend server, as declared in the document. */
struct Target
{
  std::string name;
  Identity identity = 0;
  std::string zone;
  /** Maximum number of concurrent requests. */
  std::uint32_t slots = 0;
  /** Maximum number of concurrent flows. */
  std::uint32_t connections = 0;
  /** True if the target is being taken out of service. */
  bool draining = false;
};

/**
 * OwnFirst prefers targets in the zone where the flow entered; Spread prefers
 * an even load over all zones.
 */
enum class ZonePreference
{
  OwnFirst,
  Spread,
};

struct Service
{
  std::string name;
  Identity identity = 0;
  std::uint32_t address = 0;
  ZonePreference zonePreference = ZonePreference::OwnFirst;
  std::vector<ServiceClass> classes;
  std::vector<Target> targets;

  const ServiceClass* findClass(std::uint16_t aPort,
                                Packet::Protocol aProtocol) const;
};

/** A customer of the platform, identified by its callers' address prefix. */
struct Member
{
  std::string name;
  std::uint32_t address = 0;
  std::uint8_t prefixLength = 32;
  /** Maximum share of a target's slots in use by this member, in percent. */
  std::uint32_t slotShare = 100;

  bool contains(std::uint32_t aAddress) const;
};

struct Region
{
  std::string name;
  std::vector<std::string> zones;
};

/** A zone that gets no new flows; flows that are open there continue. */
struct EvacuatedZone
{
  std::string name;
  /** First revision of the document in which the zone is evacuated. */
  std::uint64_t sinceRevision = 0;

  bool operator==(const EvacuatedZone&) const = default;
};

/** The configuration document: one revision of all that operators declare. */
struct Document
{
  std::uint64_t revision = 0;
  /** SHA-256 of the published text, in hexadecimal. */
  std::string digest;
  /** Maximum time after which a packet of a request may arrive again. */
  std::chrono::milliseconds replayWindow{ 0 };
  /** A draining target closes flows that are still open after this time. */
  std::chrono::milliseconds drainDeadline{ 0 };
  /** A target gets its full share of flows only this time after its start. */
  std::chrono::milliseconds slowStart{ 0 };
  std::vector<Region> regions;
  /** Empty if no zone is evacuated. */
  std::vector<EvacuatedZone> evacuatedZones;
  std::vector<Member> members;
  std::vector<Service> services;

  /** The member with the longest matching prefix; null if there is none. */
  const Member* findMember(std::uint32_t aCallerAddress) const;
  bool isZoneEvacuated(absl::string_view aZone) const;
};

/** SHA-256 of a text, in hexadecimal. */
std::string
digestOf(absl::string_view aText);

} // namespace Config
