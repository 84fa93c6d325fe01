#pragma once

#include <absl/status/statusor.h>

#include <absl/strings/string_view.h>
#include <compare>
#include <cstdint>
#include <string>

namespace Core {

/** An IPv4 address and a port, both in host byte order. */
struct Endpoint
{
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  bool isNull() const { return address == 0; }
  auto operator<=>(const Endpoint&) const = default;
};

/** Parses "192.0.2.1"; an error quotes aText. */
absl::StatusOr<std::uint32_t>
parseAddress(absl::string_view aText);

/** Parses "192.0.2.1:7000"; an error quotes aText. */
absl::StatusOr<Endpoint>
parseEndpoint(absl::string_view aText);

std::string
formatAddress(std::uint32_t aAddress);

std::string
formatEndpoint(const Endpoint& aEndpoint);

} // namespace Core
