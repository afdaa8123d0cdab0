#pragma once

namespace pistachioflow::capacity {

// The size that the users' letter states.
constexpr double Workers = 9'000;
constexpr double Accelerators = 13'000;
constexpr double JobsADay = 33'000;
constexpr double Tasks = 130'000;
constexpr double LargestGang = 128;
constexpr double Workspaces = 110;
constexpr double FailureDomains = 21;
constexpr double EditsADay = 19'000;
constexpr double WorkerFailuresADay = 62;
constexpr double WorkerRestartsADay = 2'800;

// What control may cost each daemon.
constexpr double CoreBound = 0.013;
constexpr double MemoryBoundMb = 32;
constexpr double BytesBound = 25'000; ///< A second.

/// The least that "several hundred appends a second" can mean.
constexpr double LogAppendsBound = 300;

constexpr double SecondsADay = 86'400;
constexpr double EntryInstances = 9;

} // namespace pistachioflow::capacity
