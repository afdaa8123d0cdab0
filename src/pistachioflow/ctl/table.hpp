#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace pistachioflow::ctl {

/// Formats an answer for people: an array of objects, or the one inside an
/// object, as rows under the names of its fields; the other fields as lines of
/// "name: value".
std::string formatTable(const nlohmann::json &Value);

} // namespace pistachioflow::ctl
