#pragma once

#include "record.h"

#include <cstdint>

namespace Bench {

/** Load balance, refusals and the month-end peak load, in simulated time. */
Records
runSpread(unsigned aSeed);

/** Requests that ran twice, or were refused but ran, under random faults. */
Records
runFaults(unsigned aScheduleCount);

/** Time to select a home agent, memory use per flow, and message sizes. */
Records
runDataPath();

/** Throughput of a balancer thread and of a plain relay, over loopback. */
Records
runRelay();

/** Size and processing time of documents and views at several fleet sizes. */
Records
runView();

/** Propagation of a configuration change among nodes, over loopback. */
Records
runFleet(std::size_t aNodeCount);

} // namespace Bench
