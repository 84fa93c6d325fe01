#pragma once

#include "config/document.h"
#include "packet/forwardheader.h"
#include "routing/viewhistory.h"

#include <absl/container/inlined_vector.h>

#include <functional>

namespace Ownership {

/** Data endpoints of agents that may own a flow, in search order. */
using SearchRoute =
  absl::InlinedVector<Core::Endpoint, Packet::ForwardHeader::kMaxRouteLength>;

struct SearchRequest
{
  Config::Identity service = 0;
  std::uint64_t flowHash = 0;
  /** The agent that searches; excluded from the route. */
  Config::Identity self = 0;
  /** The owner according to the directory; 0 if unknown. */
  Config::Identity recordedOwner = 0;
  /**
   * Rotates the route behind the recorded owner, so that searches start at
   * different agents.
   */
  std::size_t rotation = 0;
  /** Returns true for unresponsive agents, which are skipped. */
  std::function<bool(Config::Identity)> isUnresponsive;
};

/**
 * The recorded owner, then the homes of the flow and their peers in the current
 * and the previous views, without duplicates; at most
 * ForwardHeader::kMaxRouteLength endpoints.
 */
SearchRoute
findSearchRoute(const Routing::ViewHistory& aViews,
                const SearchRequest& aRequest);

} // namespace Ownership
