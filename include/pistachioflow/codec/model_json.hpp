#pragma once

#include <nlohmann/json.hpp>

#include "pistachioflow/base/finding.hpp"
#include "pistachioflow/codec/json_reader.hpp"
#include "pistachioflow/model/job.hpp"
#include "pistachioflow/model/lists.hpp"
#include "pistachioflow/model/reason.hpp"
#include "pistachioflow/model/request.hpp"
#include "pistachioflow/model/timeline.hpp"
#include "pistachioflow/model/worker.hpp"

namespace pistachioflow {

// JSON of the model's types, in both directions. A read function takes a reader
// by value, reads every field, reports unknown ones, and returns what it could
// read; the caller looks at the findings. Thread safety: all may be called from
// any thread.

nlohmann::json toJson(const GangShape &Value);
nlohmann::json toJson(const PlansList &Value);
nlohmann::json toJson(const LimitsList &Value);
nlohmann::json toJson(const JobSpec &Value);
nlohmann::json toJson(const Placement &Value);
nlohmann::json toJson(const WorkerInfo &Value);
nlohmann::json toJson(const Reason &Value);
nlohmann::json toJson(const RequestOutcome &Value);
nlohmann::json toJson(const TimelineEvent &Value);
nlohmann::json toJson(const Findings &Value);

GangShape readGangShape(ObjectReader In);
PlansList readPlansList(ObjectReader In);
LimitsList readLimitsList(ObjectReader In);
JobSpec readJobSpec(ObjectReader In);
Placement readPlacement(ObjectReader In);
WorkerInfo readWorkerInfo(ObjectReader In);
Reason readReason(ObjectReader In);
RequestOutcome readRequestOutcome(ObjectReader In);
TimelineEvent readTimelineEvent(ObjectReader In);
Findings readFindings(ObjectReader &In, std::string_view Key);

/// Reads a caller's request. Its deadline_ms counts from \p Now. The request id
/// is empty where the caller gave none.
CallerRequest readCallerRequest(ObjectReader In, Instant Now);

/// Parses \p Text as one object and reads it with \p Read.
/// Errors: InvalidInput with every finding.
template <typename ReadFunction>
auto decodeJson(std::string_view Text, const JsonBounds &Bounds,
                ReadFunction Read, std::string_view Source = "body")
    -> Result<decltype(Read(std::declval<ObjectReader>()))> {
  BOOST_OUTCOME_TRY(Document, parseJson(Text, Bounds, Source));
  Findings Found;
  auto Value = Read(ObjectReader(Document, "$", Found));
  if (!Found.empty())
    return Error{ErrorCode::InvalidInput, "invalid " + std::string(Source),
                 std::move(Found)};
  return Value;
}

} // namespace pistachioflow
