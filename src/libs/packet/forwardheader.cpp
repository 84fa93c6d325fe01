#include "packet/forwardheader.h"

#include "packet/byteorder.h"

namespace Packet {

namespace {

constexpr std::uint8_t kFormatVersion = 1;
constexpr std::size_t kFixedPartBytes = 44;
constexpr std::size_t kRouteEntryBytes = 6;
constexpr std::size_t kWordBytes = 4;

std::size_t
encodedLength(std::size_t aRouteLength)
{
  const auto byteCount = kFixedPartBytes + aRouteLength * kRouteEntryBytes;
  return (byteCount + kWordBytes - 1) / kWordBytes * kWordBytes;
}

void
storeEndpoint(std::uint8_t* aData, const Core::Endpoint& aEndpoint)
{
  store32(aData, aEndpoint.address);
  store16(aData + 4, aEndpoint.port);
}

Core::Endpoint
loadEndpoint(const std::uint8_t* aData)
{
  return { load32(aData), load16(aData + 4) };
}

bool
isValidPurpose(std::uint8_t aPurpose)
{
  return aPurpose >= static_cast<std::uint8_t>(ForwardPurpose::Deliver) &&
         aPurpose <= static_cast<std::uint8_t>(ForwardPurpose::Search);
}

} // namespace

absl::StatusOr<ForwardHeader>
ForwardHeader::parse(absl::Span<const std::uint8_t> aPrivateData)
{
  if (aPrivateData.size() < kFixedPartBytes) {
    return absl::InvalidArgumentError("forward header is too short");
  }
  if (aPrivateData[0] != kFormatVersion || !isValidPurpose(aPrivateData[1])) {
    return absl::InvalidArgumentError(
      "unknown forward header version or purpose");
  }
  const std::size_t routeLength = aPrivateData[34];
  if (routeLength > kMaxRouteLength ||
      aPrivateData.size() != encodedLength(routeLength)) {
    return absl::InvalidArgumentError(
      "forward header route length out of range");
  }
  ForwardHeader header;
  header.purpose = static_cast<ForwardPurpose>(aPrivateData[1]);
  header.hops = aPrivateData[2];
  header.homesSkipped = aPrivateData[3];
  header.wantsOwnerNotice = aPrivateData[35] != 0;
  header.revision = load64(&aPrivateData[4]);
  header.service = load64(&aPrivateData[12]);
  header.home = load64(&aPrivateData[20]);
  header.origin = loadEndpoint(&aPrivateData[28]);
  header.claimer = load64(&aPrivateData[36]);
  for (std::size_t i = 0; i < routeLength; ++i) {
    header.route.push_back(
      loadEndpoint(&aPrivateData[kFixedPartBytes + i * kRouteEntryBytes]));
  }
  return header;
}

ForwardHeader::Encoded
ForwardHeader::encode() const
{
  Encoded data(encodedLength(route.size()));
  data[0] = kFormatVersion;
  data[1] = static_cast<std::uint8_t>(purpose);
  data[2] = hops;
  data[3] = homesSkipped;
  store64(&data[4], revision);
  store64(&data[12], service);
  store64(&data[20], home);
  storeEndpoint(&data[28], origin);
  store64(&data[36], claimer);
  data[34] = static_cast<std::uint8_t>(route.size());
  data[35] = wantsOwnerNotice ? 1 : 0;
  for (std::size_t i = 0; i < route.size(); ++i) {
    storeEndpoint(&data[kFixedPartBytes + i * kRouteEntryBytes], route[i]);
  }
  return data;
}

} // namespace Packet
