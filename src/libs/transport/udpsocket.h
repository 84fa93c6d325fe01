#pragma once

#include "core/endpoint.h"
#include "core/filedescriptor.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace Transport {

/** A bound UDP socket over IPv4 that does not block. */
class UdpSocket
{
public:
  /** Errors tell the endpoint. */
  static absl::StatusOr<UdpSocket> bind(const Core::Endpoint& aEndpoint);

  /**
   * From now on the kernel notes when each datagram came. On a machine where
   * nobody asked before it begins a moment later; until then a datagram counts
   * as one that came when it is read.
   */
  absl::Status tellArrivalTimes();

  int descriptor() const { return mDescriptor.value(); }
  const Core::Endpoint& endpoint() const { return mEndpoint; }

private:
  UdpSocket(Core::FileDescriptor aDescriptor, const Core::Endpoint& aEndpoint);

  Core::FileDescriptor mDescriptor;
  Core::Endpoint mEndpoint;
};

} // namespace Transport
