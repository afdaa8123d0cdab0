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

// Conversion between the model's types and JSON. A read function takes a reader
// by value, reads every field, reports invalid and unknown ones, and returns
// the fields that it could read; the caller must check the findings. Thread
// safety: all functions may be called from any thread.

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

/// Reads a caller's request. Its deadline_ms is relative to \p Now. The request
/// id is empty if the caller did not set one.
CallerRequest readCallerRequest(ObjectReader In, Instant Now);

/// Parses \p Text as one object and reads it with \p Read.
/// Errors: InvalidInput with all findings.
template <typename ReadFunction>
auto decodeJson(std::string_view Text, const JsonBounds &Bounds,
                ReadFunction Read, std::string_view Source = "body")
    -> Result<decltype(Read(std::declval<ObjectReader>()))> {
  BOOST_OUTCOME_TRY(Document, parseJson(Text, Bounds, Source));
  Findings Collected;
  auto Value = Read(ObjectReader(Document, "$", Collected));
  if (!Collected.empty())
    return Error{ErrorCode::InvalidInput, "invalid " + std::string(Source),
                 std::move(Collected)};
  return Value;
}

} // namespace pistachioflow
