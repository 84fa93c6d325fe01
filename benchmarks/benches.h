#pragma once

#include "record.h"

#include <cstdint>

namespace Bench {

/** Evenness, refusals and month-end load, in virtual time. */
Records
runSpread(unsigned aSeed);

/** Requests under random faults that ran twice or after "not run". */
Records
runFaults(unsigned aSchedules);

/** Choice of a home, and memory of flows. */
Records
runDataPath();

/** One balancer thread against a plain relay, over loopback. */
Records
runRelay();

/** Documents and views at growing sizes. */
Records
runView();

/** Spread of a change over processes' control parts, over loopback. */
Records
runFleet(std::size_t aNodes);

} // namespace Bench
