#include "platform/storesnapshot.h"

#include <doctest/doctest.h>

TEST_CASE("events are applied once and outdated events are ignored")
{
  Platform::StoreSnapshot snapshot;
  CHECK(snapshot.replace({ { "a", "1", 5, false } }, 6));
  CHECK(snapshot.apply({ { "a", "2", 7, false }, { "b", "1", 8, false } }, 8));
  CHECK(snapshot.find("a")->value == "2");
  CHECK(snapshot.revision() == 8);
  CHECK_FALSE(snapshot.apply({ { "a", "1", 5, false } }, 8));
  CHECK(snapshot.find("a")->value == "2");
  CHECK(snapshot.apply({ { "a", "", 9, true } }, 9));
  CHECK(snapshot.find("a") == nullptr);
}

TEST_CASE("an older answer does not replace a newer snapshot")
{
  Platform::StoreSnapshot snapshot;
  snapshot.replace({ { "a", "2", 9, false } }, 9);
  CHECK_FALSE(snapshot.replace({ { "a", "1", 5, false } }, 8));
  CHECK(snapshot.find("a")->value == "2");
  CHECK(snapshot.replace({}, 10));
  CHECK(snapshot.find("a") == nullptr);
}
