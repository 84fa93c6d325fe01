#include "config/document.h"

#include <absl/strings/escaping.h>
#include <sodium.h>

#include <algorithm>
#include <array>

namespace Config {

namespace {

constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> kIdentityKey{};

} // namespace

Identity
identityOf(absl::string_view aName)
{
  Identity hash = 0;
  crypto_shorthash(reinterpret_cast<unsigned char*>(&hash),
                   reinterpret_cast<const unsigned char*>(aName.data()),
                   aName.size(),
                   kIdentityKey.data());
  return hash == 0 ? 1 : hash;
}

std::string
digestOf(absl::string_view aText)
{
  std::array<unsigned char, crypto_hash_sha256_BYTES> hash{};
  crypto_hash_sha256(hash.data(),
                     reinterpret_cast<const unsigned char*>(aText.data()),
                     aText.size());
  return absl::BytesToHexString(
    absl::string_view(reinterpret_cast<const char*>(hash.data()), hash.size()));
}

const ServiceClass*
Service::findClass(std::uint16_t aPort, Packet::Protocol aProtocol) const
{
  for (const auto& it : classes) {
    if (it.port == aPort && it.protocol == aProtocol) {
      return &it;
    }
  }
  return nullptr;
}

bool
Member::contains(std::uint32_t aAddress) const
{
  constexpr unsigned kAddressBits = 32;
  if (prefixLength == 0) {
    return true;
  }
  const auto shift = kAddressBits - prefixLength;
  return (address >> shift) == (aAddress >> shift);
}

const Member*
Document::findMember(std::uint32_t aCallerAddress) const
{
  const Member* bestMatch = nullptr;
  for (const auto& it : members) {
    const bool isBetter =
      bestMatch == nullptr || it.prefixLength > bestMatch->prefixLength;
    if (isBetter && it.contains(aCallerAddress)) {
      bestMatch = &it;
    }
  }
  return bestMatch;
}

bool
Document::isZoneEvacuated(absl::string_view aZone) const
{
  return std::any_of(
    evacuatedZones.begin(),
    evacuatedZones.end(),
    [aZone](const EvacuatedZone& aEntry) { return aEntry.name == aZone; });
}

} // namespace Config
