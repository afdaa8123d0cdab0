#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pistachioflow::test {

/// The kind of body that an input is sent as.
enum class InputTarget { Plans, Limits, Job, Request };

/// An invalid body, named after the one rule that it breaks.
struct BadInput {
  InputTarget Target = InputTarget::Plans;
  std::string Name;
  std::string Body;
};

/// The largest accepted body: the default of the daemon's settings.
inline constexpr std::size_t BodyLimitBytes = std::size_t{1} << 20;

inline std::string repeated(const std::string &Part, std::size_t Count) {
  std::string Text;
  Text.reserve(Part.size() * Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Text += Part;
  return Text;
}

/// Returns a job with one field replaced or added.
inline std::string jobWith(const std::string &Field) {
  return R"({"job":"j","workspace":"w","shape":{"tasks":1},)"
         R"("declared_runtime_ms":1000,)" +
         Field + "}";
}

inline std::string shapeWith(const std::string &Shape) {
  return R"({"job":"j","workspace":"w","shape":)" + Shape +
         R"(,"declared_runtime_ms":1000})";
}

inline std::string plansWith(const std::string &Entries) {
  return R"({"entries":)" + Entries + "}";
}

inline std::string limitsWith(const std::string &Field) {
  return R"({"entries":[{"plan":"gold",)" + Field + "}]}";
}

inline std::string requestWith(const std::string &Field) {
  return R"({"workspace":"w","deadline_ms":1000,"body":"x",)" + Field + "}";
}

/// Returns malformed texts, the same for every target.
inline std::vector<BadInput> malformedInputs(InputTarget Target) {
  return {
      {Target, "empty", ""},
      {Target, "blank", "  \n\t "},
      {Target, "not JSON", "plans: gold"},
      {Target, "truncated", R"({"entries":[{"workspace":)"},
      {Target, "trailing text", R"({"entries":[]} {"entries":[]})"},
      {Target, "trailing comma", R"({"entries":[],})"},
      {Target, "single quotes", "{'entries':[]}"},
      {Target, "array at the top", "[]"},
      {Target, "number at the top", "17"},
      {Target, "null at the top", "null"},
      {Target, "byte order mark alone", "\xEF\xBB\xBF"},
      {Target, "NUL bytes", std::string("\0\0\0\0", 4)},
      {Target, "invalid UTF-8 in a value", "{\"job\":\"\xC3\x28\"}"},
      {Target, "invalid UTF-8 in a key", "{\"\xFF\xFE\":1}"},
      {Target, "overlong UTF-8", "{\"job\":\"\xC0\xAF\"}"},
      {Target, "lone surrogate", R"({"job":"\ud800"})"},
      {Target, "control character in a text", "{\"job\":\"a\nb\"}"},
      {Target, "unknown escape", R"({"job":"\x41"})"},
      {Target, "leading zero", R"({"revision":007})"},
      {Target, "not a number", R"({"revision":NaN})"},
      {Target, "number beyond a double", R"({"revision":1e999})"},
      {Target, "deep arrays", repeated("[", 100'000)},
      {Target, "deep objects", repeated("{\"a\":", 100'000)},
      {Target, "deep but closed", repeated("[", 5'000) + repeated("]", 5'000)},
      {Target, "duplicate key", R"({"entries":[],"entries":[]})"},
      {Target, "too large",
       "{\"job\":\"" + std::string(BodyLimitBytes, 'a') + "\"}"},
  };
}

inline std::vector<BadInput> badPlans() {
  constexpr InputTarget Target = InputTarget::Plans;
  return {
      {Target, "no entries", "{}"},
      {Target, "entries of another type", plansWith("{}")},
      {Target, "entries null", plansWith("null")},
      {Target, "entry of another type", plansWith("[7]")},
      {Target, "unknown field", R"({"entries":[],"comment":"x"})"},
      {Target, "unknown field of an entry",
       plansWith(R"([{"workspace":"w","plan":"p","note":1}])")},
      {Target, "no plan", plansWith(R"([{"workspace":"w"}])")},
      {Target, "empty workspace",
       plansWith(R"([{"workspace":"","plan":"p"}])")},
      {Target, "workspace with a slash",
       plansWith(R"([{"workspace":"a/b","plan":"p"}])")},
      {Target, "workspace with a letter beyond ASCII",
       plansWith("[{\"workspace\":\"\xC3\xA9\",\"plan\":\"p\"}]")},
      {Target, "workspace too long",
       plansWith(R"([{"workspace":")" + std::string(65, 'a') +
                 R"(","plan":"p"}])")},
      {Target, "plan of another type",
       plansWith(R"([{"workspace":"w","plan":["p"]}])")},
      {Target, "workspace twice",
       plansWith(
           R"([{"workspace":"w","plan":"p"},{"workspace":"w","plan":"q"}])")},
      {Target, "negative revision", R"({"revision":-1,"entries":[]})"},
      {Target, "fractional revision", R"({"revision":1.5,"entries":[]})"},
      {Target, "revision beyond 64 bits",
       R"({"revision":18446744073709551616,"entries":[]})"},
      {Target, "revision as text", R"({"revision":"3","entries":[]})"},
      {Target, "too many entries",
       plansWith("[" + repeated("{},", 10'000) + "{}]")},
  };
}

inline std::vector<BadInput> badLimits() {
  constexpr InputTarget Target = InputTarget::Limits;
  return {
      {Target, "no ceiling", limitsWith(R"("weight":1)")},
      {Target, "negative ceiling", limitsWith(R"("ceiling_accelerators":-8)")},
      {Target, "ceiling out of range",
       limitsWith(R"("ceiling_accelerators":9223372036854775807)")},
      {Target, "ceiling as text", limitsWith(R"("ceiling_accelerators":"8")")},
      {Target, "weight of zero",
       limitsWith(R"("ceiling_accelerators":8,"weight":0)")},
      {Target, "flag as number",
       limitsWith(R"("ceiling_accelerators":8,"allows_urgent":1)")},
      {Target, "guarantee without a shape",
       limitsWith(R"("ceiling_accelerators":8,"guarantees":[{"count":1}])")},
      {Target, "guarantee above the ceiling",
       limitsWith(R"("ceiling_accelerators":8,"guarantees":[{"count":2,)"
                  R"("shape":{"tasks":1,"accelerators_per_task":8}}])")},
      {Target, "guarantees that overflow 32 bits",
       limitsWith(R"("ceiling_accelerators":10000000,"guarantees":[{"count":)"
                  R"(10000,"shape":{"tasks":10000,)"
                  R"("accelerators_per_task":1000}}])")},
      {Target, "unknown adjacency",
       limitsWith(R"("ceiling_accelerators":8,"guarantees":[{"shape":)"
                  R"({"tasks":1,"adjacency":"same_city"}}])")},
      {Target, "guarantees of another type",
       limitsWith(R"("ceiling_accelerators":8,"guarantees":{})")},
      {Target, "plan twice",
       R"({"entries":[{"plan":"p","ceiling_accelerators":1},)"
       R"({"plan":"p","ceiling_accelerators":2}]})"},
  };
}

inline std::vector<BadInput> badJobs() {
  constexpr InputTarget Target = InputTarget::Job;
  return {
      {Target, "no fields", "{}"},
      {Target, "unknown field", jobWith(R"("priority":9)")},
      {Target, "urgent as text", jobWith(R"("urgent":"yes")")},
      {Target, "checkpointable null", jobWith(R"("checkpointable":null)")},
      {Target, "shape of another type", shapeWith("[]")},
      {Target, "no tasks", shapeWith("{}")},
      {Target, "zero tasks", shapeWith(R"({"tasks":0})")},
      {Target, "task count out of range", shapeWith(R"({"tasks":4294967297})")},
      {Target, "negative accelerators",
       shapeWith(R"({"tasks":1,"accelerators_per_task":-1})")},
      {Target, "memory out of range",
       shapeWith(R"({"tasks":1,"memory_mb_per_task":1e18})")},
      {Target, "adjacency as number",
       shapeWith(R"({"tasks":1,"adjacency":2})")},
      {Target, "run time of zero",
       R"({"job":"j","workspace":"w","shape":{"tasks":1},)"
       R"("declared_runtime_ms":0})"},
      {Target, "run time out of range",
       R"({"job":"j","workspace":"w","shape":{"tasks":1},)"
       R"("declared_runtime_ms":99999999999999})"},
      {Target, "name with a path to a parent folder",
       R"({"job":"../j","workspace":"w","shape":{"tasks":1},)"
       R"("declared_runtime_ms":1})"},
      {Target, "name with a line break",
       R"({"job":"j\nlevel=error","workspace":"w","shape":{"tasks":1},)"
       R"("declared_runtime_ms":1})"},
      {Target, "name with a NUL",
       R"({"job":"j\u0000","workspace":"w","shape":{"tasks":1},)"
       R"("declared_runtime_ms":1})"},
  };
}

inline std::vector<BadInput> badRequests() {
  constexpr InputTarget Target = InputTarget::Request;
  return {
      {Target, "no fields", "{}"},
      {Target, "no deadline", R"({"workspace":"w","body":"x"})"},
      {Target, "deadline of zero",
       R"({"workspace":"w","deadline_ms":0,"body":"x"})"},
      {Target, "deadline out of range",
       R"({"workspace":"w","deadline_ms":99999999999,"body":"x"})"},
      {Target, "body of another type",
       R"({"workspace":"w","deadline_ms":9,"body":{}})"},
      {Target, "unknown class", requestWith(R"("class":"lunch")")},
      {Target, "class of another type", requestWith(R"("class":1)")},
      {Target, "non-idempotent without a key",
       requestWith(R"("non_idempotent":true)")},
      {Target, "empty key", requestWith(R"("key":"")")},
      {Target, "key with a control character",
       requestWith(R"("key":"a\u0007")")},
      {Target, "key too long",
       requestWith(R"("key":")" + std::string(201, 'k') + "\"")},
      {Target, "request id with a space", requestWith(R"("request":"r 1")")},
      {Target, "unknown field", requestWith(R"("retries":3)")},
  };
}

/// Returns every bad input.
inline std::vector<BadInput> badInputs() {
  std::vector<BadInput> All;
  const auto Add = [&All](std::vector<BadInput> Inputs) {
    All.insert(All.end(), Inputs.begin(), Inputs.end());
  };
  Add(malformedInputs(InputTarget::Plans));
  Add(malformedInputs(InputTarget::Job));
  Add(badPlans());
  Add(badLimits());
  Add(badJobs());
  Add(badRequests());
  return All;
}

} // namespace pistachioflow::test
