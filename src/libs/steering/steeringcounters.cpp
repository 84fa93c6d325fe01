#include "steering/steeringcounters.h"

#include <array>

namespace Steering {

namespace {

constexpr std::array<const char*, SteeringCounters::kSize> kNames{
  "packets_received",      "packets_malformed",
  "packets_forwarded",     "packets_delivered",
  "packets_to_callers",    "packets_handed_back",
  "packets_without_route", "packets_without_target",
  "flows_chosen",          "flows_across_zones",
  "flows_admitted",        "flows_refused",
  "flows_searched",        "flows_found",
  "flows_reset",           "flows_turned_away",
  "openings_repeated",     "openings_unanswered",
  "openings_dropped",      "openings_expired",
  "openings_evacuated",    "requests_held",
  "wrong_service",         "targets_suspected",
  "owner_notices",         "load_reports",
  "owner_queries",         "bytes_to_agents",
  "requests_given_up",     "flows_refused_unanswerable",
  "flows_chosen_again",    "slow_start_rejects",
  "slow_start_waits",      "requests_failed",
  "targets_ejected",       "flows_rejected_ejected",
  "flows_replaced",
};

} // namespace

std::string
nameOf(SteeringCounter aCounter)
{
  return kNames[static_cast<std::size_t>(aCounter)];
}

} // namespace Steering
