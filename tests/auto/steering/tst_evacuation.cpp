#include "steering/evacuationstate.h"
#include "steering/fleetmapbuilder.h"

#include <doctest/doctest.h>

using Steering::EvacuationState;

// Guards against balancers with old maps that switch the state back.
TEST_CASE("only a newer revision changes whether an agent's zone is evacuated")
{
  EvacuationState state;
  CHECK_FALSE(state.update({}, true));
  CHECK(state.update({ 1, 7 }, true));
  CHECK_FALSE(state.update({ 1, 7 }, false));
  CHECK_FALSE(state.update({ 1, 6 }, false));
  CHECK(state.isEvacuated());
  CHECK_FALSE(state.update({ 1, 9 }, true));
  CHECK(state.status().since == Steering::MapRevision{ 1, 7 });
  CHECK_FALSE(state.update({ 1, 8 }, false));
  CHECK(state.update({ 2, 3 }, false));
  CHECK_FALSE(state.isEvacuated());
}

// A removed target is copied from a map that may have other evacuated zones.
TEST_CASE("a removed target has the evacuation of the current map")
{
  const Core::TimePoint now(std::chrono::seconds(100));
  Steering::Target target;
  target.agent = { 1, 2 };
  target.zone = "z1";
  Steering::FleetMapBuilder builder;
  builder.evacuateZone("z1", { 1, 4 }).target("red", target);
  const auto before = builder.build();
  REQUIRE(before->findTarget(target.agent)->isZoneEvacuated);
  CHECK(before->acceptingCount() == 0);
  SUBCASE("still evacuated")
  {
    builder.keepRemovedTargets(*before, now).evacuateZone("z1", { 1, 4 });
    const auto map = builder.build();
    CHECK_FALSE(map->findTarget(target.agent)->acceptsNewFlows(now));
    CHECK(map->findEvacuatedZone("z1") != nullptr);
  }
  SUBCASE("taken back")
  {
    const auto map = builder.keepRemovedTargets(*before, now).build();
    CHECK(map->findTarget(target.agent)->acceptsNewFlows(now));
    CHECK(map->evacuatedZones().empty());
  }
}
