#pragma once

#include "core/endpoint.h"
#include "core/filedescriptor.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace Transport {

/** A bound, non-blocking UDP socket over IPv4. */
class UdpSocket
{
public:
  /** Errors name the endpoint. */
  static absl::StatusOr<UdpSocket> bind(const Core::Endpoint& aEndpoint);

  /**
   * Makes the kernel record when it receives each datagram. If no other socket
   * of the machine has timestamps enabled, this takes effect after a short
   * delay. Until then the time of a datagram is the time when it is read.
   */
  absl::Status enableReceiveTimestamps();

  int descriptor() const { return mDescriptor.value(); }
  const Core::Endpoint& endpoint() const { return mEndpoint; }

private:
  UdpSocket(Core::FileDescriptor aDescriptor, const Core::Endpoint& aEndpoint);

  Core::FileDescriptor mDescriptor;
  Core::Endpoint mEndpoint;
};

} // namespace Transport
