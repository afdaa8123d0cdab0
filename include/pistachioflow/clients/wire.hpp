#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/codec/model_json.hpp"
#include "pistachioflow/port/instance_list.hpp"
#include "pistachioflow/port/log_service.hpp"
#include "pistachioflow/port/runner_gateway.hpp"
#include "pistachioflow/port/worker_gateway.hpp"

namespace pistachioflow {

// The bodies of the platform's HTTP interface. Log entries travel as they are;
// a page of them is msgpack, everything else JSON. Thread safety: all functions
// may be called from any thread.

template <> std::span<const EnumName<OrderKind>> enumNames<OrderKind>();
template <> std::span<const EnumName<TaskPhase>> enumNames<TaskPhase>();

/// Bounds of what the platform may send.
inline constexpr JsonBounds PlatformBounds{std::size_t{16} << 20, 16, false};

std::string encodePage(const LogPage &Value);

/// Errors: InvalidInput.
Result<LogPage> decodePage(std::string_view Bytes);

nlohmann::json toJson(const ListedInstance &Value);
ListedInstance readListedInstance(ObjectReader In);

nlohmann::json toJson(const RunnerInfo &Value);
RunnerInfo readRunnerInfo(ObjectReader In);

nlohmann::json toJson(const WorkerOrder &Value);
WorkerOrder readWorkerOrder(ObjectReader In);

nlohmann::json toJson(const WorkerReport &Value);
WorkerReport readWorkerReport(ObjectReader In);

/// A request as a runner gets it.
struct RunnerCall {
  RequestId Request;
  WorkspaceId Workspace;
  RequestClass Class = RequestClass::RoundPairing;
  std::string Key;
  bool NonIdempotent = false;
  Duration Budget; ///< How long the sender waits for the answer.
  std::string Body;
};

nlohmann::json toJson(const RunnerCall &Value);
RunnerCall readRunnerCall(ObjectReader In);

/// A runner's answer, with the names that prove whose it is.
struct RunnerReply {
  RequestId Request;
  RunnerId Runner;
  bool Refused = false; ///< The runner did not run it.
  std::string Body;
};

nlohmann::json toJson(const RunnerReply &Value);
RunnerReply readRunnerReply(ObjectReader In);

/// Formats items under one key, as the lists of the platform are.
template <typename Item> std::string encodeItems(std::span<const Item> Items) {
  nlohmann::json Array = nlohmann::json::array();
  for (const Item &Entry : Items)
    Array.push_back(toJson(Entry));
  return dumpJson({{"items", std::move(Array)}});
}

/// Reads what encodeItems wrote. Errors: InvalidInput.
template <typename ReadFunction>
auto decodeItems(std::string_view Text, ReadFunction Read)
    -> Result<std::vector<decltype(Read(std::declval<ObjectReader>()))>> {
  constexpr std::size_t MaxItems = 1'000'000;
  return decodeJson(Text, PlatformBounds, [Read](ObjectReader In) {
    std::vector<decltype(Read(std::declval<ObjectReader>()))> Items;
    for (const ObjectReader &Entry : In.objects("items", MaxItems))
      Items.push_back(Read(Entry));
    In.finish();
    return Items;
  });
}

} // namespace pistachioflow
