#include "ownership/searchroute.h"

#include <algorithm>

namespace Ownership {

namespace {

/**
 * Number of homes that are searched with their peers. The peers of the first
 * home and of its stand-in may own a flow.
 */
constexpr std::size_t kSearchedHomes = 2;

class RouteBuilder
{
public:
  RouteBuilder(const Routing::ViewHistory& aViews,
               const SearchRequest& aRequest)
    : mViews(aViews)
    , mRequest(aRequest)
  {
  }

  SearchRoute build()
  {
    addTarget(*mViews.current(), mRequest.recordedOwner);
    const auto firstRotated = mRoute.size();
    addView(*mViews.current());
    for (const auto& view : mViews.previous()) {
      addView(*view);
    }
    if (mRoute.size() > firstRotated) {
      const auto offset = mRequest.rotation % (mRoute.size() - firstRotated);
      std::rotate(mRoute.begin() + firstRotated,
                  mRoute.begin() + firstRotated + offset,
                  mRoute.end());
    }
    return mRoute;
  }

private:
  void addView(const Routing::FleetView& aView)
  {
    const auto* service = aView.findService(mRequest.service);
    if (service == nullptr) {
      return;
    }
    const auto homes = service->homeSelector.homes(mRequest.flowHash);
    for (std::size_t i = 0; i < std::min(homes.size(), kSearchedHomes); ++i) {
      addTarget(aView, service->targets[homes[i]].target->identity);
      for (const auto peerIndex : service->homeSelector.peers(homes[i])) {
        addTarget(aView, service->targets[peerIndex].target->identity);
      }
    }
  }

  void addTarget(const Routing::FleetView& aView, Config::Identity aTarget)
  {
    if (aTarget == 0 || aTarget == mRequest.self ||
        mRequest.isUnresponsive(aTarget) ||
        mRoute.size() >= Packet::ForwardHeader::kMaxRouteLength) {
      return;
    }
    const auto endpoint = endpointOf(aView, aTarget);
    const bool isNew =
      std::find(mRoute.begin(), mRoute.end(), endpoint) == mRoute.end();
    if (!endpoint.isNull() && isNew) {
      mRoute.push_back(endpoint);
    }
  }

  Core::Endpoint endpointOf(const Routing::FleetView& aView,
                            Config::Identity aTarget) const
  {
    // A previous view may have the endpoint of a removed target.
    for (const auto* view : { mViews.current().get(), &aView }) {
      const auto* targetEntry = view->findTarget(aTarget);
      if (targetEntry != nullptr && !targetEntry->endpoint.isNull()) {
        return targetEntry->endpoint;
      }
    }
    return {};
  }

  const Routing::ViewHistory& mViews;
  const SearchRequest& mRequest;
  SearchRoute mRoute;
};

} // namespace

SearchRoute
findSearchRoute(const Routing::ViewHistory& aViews,
                const SearchRequest& aRequest)
{
  return RouteBuilder(aViews, aRequest).build();
}

} // namespace Ownership
