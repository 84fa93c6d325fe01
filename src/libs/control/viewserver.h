#pragma once

#include "core/endpoint.h"

#include <absl/status/statusor.h>

#include <memory>

namespace Core {
class StopSource;
}

namespace Control {

class ViewStore;
class ZeroMqContext;

/** Replies to the view requests of peers, on one thread. */
class ViewServer
{
public:
  /** Fails if the endpoint cannot be bound. */
  static absl::StatusOr<std::unique_ptr<ViewServer>> start(
    const ZeroMqContext& aContext,
    const Core::Endpoint& aEndpoint,
    const std::string& aName,
    const ViewStore& aStore,
    const Core::StopSource& aStop);
  ~ViewServer();

  /** Bytes of all replies so far. */
  std::uint64_t sentBytes() const;

private:
  class Private;
  explicit ViewServer(std::unique_ptr<Private> aPrivate);

  std::unique_ptr<Private> d;
};

} // namespace Control
