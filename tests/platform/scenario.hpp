#pragma once

#include <string>
#include <vector>

#include <asio/awaitable.hpp>

#include "fleet.hpp"

namespace pistachioflow {

/// \name Sizes and time limits that the process tests share
/// @{
inline constexpr std::size_t Instances = 3;
inline constexpr std::size_t WorkerCount = 6;
inline constexpr Duration StartLimit{20'000};
/// Much longer than any change of owner and any lease.
inline constexpr Duration EndLimit{60'000};
/// @}

/// Returns a folder for the settings and logs of a test of this process.
std::string folder(const std::string &Name);

asio::awaitable<void> waitForOwner(Fleet &Daemons);

/// Makes jobs of one to five tasks, every other one a gang. The first run of
/// every fourth job fails.
std::vector<SubmittedJob> mixedJobs(std::size_t Count, std::int64_t WorkMs);

asio::awaitable<void> submitAll(Fleet &Daemons,
                                std::vector<SubmittedJob> &Jobs);

/// Expects every job to be accepted and to complete.
asio::awaitable<void> expectCompleted(Fleet &Daemons,
                                      std::vector<SubmittedJob> &Jobs);

} // namespace pistachioflow
