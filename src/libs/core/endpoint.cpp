#include "core/endpoint.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <arpa/inet.h>

namespace Core {

absl::StatusOr<std::uint32_t>
parseAddress(absl::string_view aText)
{
  in_addr address{};
  if (inet_pton(AF_INET, std::string(aText).c_str(), &address) != 1) {
    return absl::InvalidArgumentError(
      absl::StrCat("expected an IPv4 address, got \"", aText, "\""));
  }
  return ntohl(address.s_addr);
}

absl::StatusOr<Endpoint>
parseEndpoint(absl::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == absl::string_view::npos) {
    return absl::InvalidArgumentError(
      absl::StrCat("expected ADDRESS:PORT, got \"", aText, "\""));
  }
  const auto address = parseAddress(aText.substr(0, colon));
  if (!address.ok()) {
    return address.status();
  }
  std::uint32_t port = 0;
  if (!absl::SimpleAtoi(aText.substr(colon + 1), &port) || port == 0 ||
      port > UINT16_MAX) {
    return absl::InvalidArgumentError(
      absl::StrCat("expected a port from 1 to 65535, got \"", aText, "\""));
  }
  return Endpoint{ *address, static_cast<std::uint16_t>(port) };
}

std::string
formatAddress(std::uint32_t aAddress)
{
  return absl::StrCat(aAddress >> 24U,
                      ".",
                      (aAddress >> 16U) & 0xffU,
                      ".",
                      (aAddress >> 8U) & 0xffU,
                      ".",
                      aAddress & 0xffU);
}

std::string
formatEndpoint(const Endpoint& aEndpoint)
{
  return absl::StrCat(formatAddress(aEndpoint.address), ":", aEndpoint.port);
}

} // namespace Core
