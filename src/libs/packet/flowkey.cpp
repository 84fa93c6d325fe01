#include "packet/flowkey.h"

#include <absl/strings/str_cat.h>

namespace Packet {

std::string
formatFlowKey(const FlowKey& aKey)
{
  const auto* protocol = aKey.protocol == Protocol::Tcp ? "tcp " : "udp ";
  return absl::StrCat(protocol,
                      Core::formatEndpoint(aKey.caller),
                      " -> ",
                      Core::formatEndpoint(aKey.service));
}

} // namespace Packet
