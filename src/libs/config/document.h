#pragma once

#include "packet/flowkey.h"

#include <absl/status/statusor.h>

#include <absl/strings/string_view.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Config {

/** A stable identity made of a name; 0 is never one. */
using Identity = std::uint64_t;

Identity
identityOf(absl::string_view aName);

/** What a flow of a class takes from its target while it is open. */
enum class Occupies
{
  Slot,
  Connection,
};

/** One kind of traffic of a service: a port with its own promises. */
struct ServiceClass
{
  std::string name;
  std::uint16_t port = 0;
  Packet::Protocol protocol = Packet::Protocol::Tcp;
  Occupies occupies = Occupies::Slot;
  /** False when a request must never run twice. */
  bool idempotent = true;
  /** How long a new flow may wait for room; zero refuses at once. */
  std::chrono::milliseconds waitLimit{ 0 };
  /** A flow without a packet for so long is forgotten. */
  std::chrono::milliseconds idleTimeout{ 0 };
};

/** A backend server as the document declares it. */
struct Target
{
  std::string name;
  Identity identity = 0;
  std::string zone;
  /** Requests in progress at once. */
  std::uint32_t slots = 0;
  /** Open flows at once. */
  std::uint32_t connections = 0;
  /** True from the change that takes the target out of service. */
  bool draining = false;
};

/** Whether nearness goes before evenness when a target is chosen. */
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

/** A customer of the platform, known by the prefixes its callers come from. */
struct Member
{
  std::string name;
  std::uint32_t address = 0;
  std::uint8_t prefixLength = 32;
  /** Share of a target's slots that it may hold, in percent. */
  std::uint32_t slotShare = 100;

  bool contains(std::uint32_t aAddress) const;
};

struct Region
{
  std::string name;
  std::vector<std::string> zones;
};

/** One revision of everything that the operators declare. */
struct Document
{
  std::uint64_t revision = 0;
  /** SHA-256 of the published bytes, in hexadecimal. */
  std::string digest;
  /** Longest time after which a request's packet may still come again. */
  std::chrono::milliseconds replayWindow{ 0 };
  /** A leaving target ends the flows that are still open after this. */
  std::chrono::milliseconds drainDeadline{ 0 };
  /** A target that starts is given its full share after this. */
  std::chrono::milliseconds slowStart{ 0 };
  std::vector<Region> regions;
  std::vector<Member> members;
  std::vector<Service> services;

  /** The member whose prefix is the longest match; null for none. */
  const Member* findMember(std::uint32_t aCallerAddress) const;
};

/** SHA-256 in hexadecimal. */
std::string
digestOf(absl::string_view aText);

} // namespace Config
