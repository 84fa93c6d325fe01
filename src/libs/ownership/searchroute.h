#pragma once

#include "config/document.h"
#include "packet/forwardheader.h"
#include "routing/viewhistory.h"

#include <absl/container/inlined_vector.h>

#include <functional>

namespace Ownership {

/** Data endpoints of agents that may own a flow, likeliest first. */
using SearchRoute =
  absl::InlinedVector<Core::Endpoint, Packet::ForwardHeader::kMaximumRoute>;

struct SearchRequest
{
  Config::Identity service = 0;
  std::uint64_t flowHash = 0;
  /** The agent that searches; it is not on the route. */
  Config::Identity self = 0;
  /** The owner by the directory; 0 when not known. */
  Config::Identity knownOwner = 0;
  /** Where the part of the route with no known owner starts. */
  std::size_t rotation = 0;
  /** Tells agents that are known to be dead; they are left out. */
  std::function<bool(Config::Identity)> isDead;
};

/**
 * The homes of the flow and their peers in the current and the earlier views,
 * without repetition, at most ForwardHeader::kMaximumRoute.
 */
SearchRoute
findSearchRoute(const Routing::ViewHistory& aViews,
                const SearchRequest& aRequest);

} // namespace Ownership
