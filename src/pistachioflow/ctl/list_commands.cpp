#include <iostream>

#include "pistachioflow/ctl/command.hpp"

namespace pistachioflow::ctl {

namespace {

using nlohmann::json;
using Arguments = std::span<const std::string>;

constexpr std::string_view PlansPath = "/v1/plans";
constexpr std::string_view LimitsPath = "/v1/limits";

std::vector<HttpHeader> editHeaders(const Options &Flags,
                                    const std::string &Base) {
  std::vector<HttpHeader> Headers{{"If-Match", Base}};
  if (!Flags.Operator.empty())
    Headers.push_back({"X-Operator", Flags.Operator});
  if (!Flags.EditId.empty())
    Headers.push_back({"Idempotency-Key", Flags.EditId});
  return Headers;
}

HttpAnswer getList(const Options &Flags, std::string_view Path) {
  return send(
      Flags.Servers,
      {.Method = "GET", .Path = std::string(Path), .Timeout = Flags.Timeout});
}

ExitCode get(const Options &Flags, std::string_view Path) {
  return sendAndPrint(Flags, {.Method = "GET", .Path = std::string(Path)});
}

/// Returns the revision that the flags name, else the one in the file.
std::string baseOf(const Options &Flags, const json &List) {
  if (!Flags.Base.empty())
    return Flags.Base;
  if (List.is_object() && List.contains("revision"))
    return List["revision"].dump();
  return {};
}

ExitCode putList(const Options &Flags, std::string_view Path,
                 const std::string &File, std::string_view Method) {
  std::string Text;
  if (!readFile(File, Text))
    return ExitCode::Usage;
  const json List = json::parse(Text, nullptr, false, true);
  if (List.is_discarded()) {
    std::cerr << File << ": is not JSON (comments are allowed)\n";
    return ExitCode::Usage;
  }
  const std::string Base = baseOf(Flags, List);
  if (Base.empty()) {
    std::cerr << "name the revision that the edit is based on: --base, or "
                 "\"revision\" in the file\n";
    return ExitCode::Usage;
  }
  return sendAndPrint(Flags, {.Method = std::string(Method),
                              .Path = std::string(Path),
                              .Body = List.dump(),
                              .Headers = editHeaders(Flags, Base)});
}

/// Reads the list, lets \p Change edit its entries, and puts it back on top of
/// the revision that was read.
template <typename ChangeFn>
ExitCode editList(const Options &Flags, std::string_view Path,
                  ChangeFn Change) {
  const HttpAnswer Answer = getList(Flags, Path);
  if (Answer.Status != 200) {
    printFailure(Answer);
    return exitCodeOf(Answer);
  }
  json List = Answer.Body;
  if (!Change(List["entries"]))
    return ExitCode::Usage;
  return sendAndPrint(Flags,
                      {.Method = "PUT",
                       .Path = std::string(Path),
                       .Body = List.dump(),
                       .Headers = editHeaders(Flags, List["revision"].dump())});
}

json *findEntry(json &Entries, std::string_view Field,
                const std::string &Value) {
  for (json &Entry : Entries) {
    if (Entry.value(Field, "") == Value)
      return &Entry;
  }
  return nullptr;
}

void setPlan(json &Entries, const std::string &Workspace,
             const std::string &Plan) {
  if (json *Entry = findEntry(Entries, "workspace", Workspace)) {
    (*Entry)["plan"] = Plan;
    return;
  }
  Entries.push_back({{"workspace", Workspace}, {"plan", Plan}});
}

bool setLimit(json &Entries, const std::string &Plan, const std::string &Field,
              const std::string &Text) {
  json *Entry = findEntry(Entries, "plan", Plan);
  if (Entry == nullptr) {
    std::cerr << "the list has no plan " << Plan << "\n";
    return false;
  }
  const json Value = json::parse(Text, nullptr, false);
  if (Value.is_discarded()) {
    std::cerr << Text << ": is not a JSON value\n";
    return false;
  }
  (*Entry)[Field] = Value;
  return true;
}

ExitCode plansGet(const Options &Flags, Arguments) {
  return get(Flags, PlansPath);
}
ExitCode plansPut(const Options &Flags, Arguments Given) {
  return putList(Flags, PlansPath, Given[0], "PUT");
}
ExitCode plansEdit(const Options &Flags, Arguments Given) {
  return editList(Flags, PlansPath, [Given](json &Entries) {
    setPlan(Entries, Given[0], Given[1]);
    return true;
  });
}
ExitCode plansWhatIf(const Options &Flags, Arguments Given) {
  return putList(Flags, "/v1/what-if/plans", Given[0], "POST");
}
ExitCode limitsGet(const Options &Flags, Arguments) {
  return get(Flags, LimitsPath);
}
ExitCode limitsPut(const Options &Flags, Arguments Given) {
  return putList(Flags, LimitsPath, Given[0], "PUT");
}
ExitCode limitsEdit(const Options &Flags, Arguments Given) {
  return editList(Flags, LimitsPath, [Given](json &Entries) {
    return setLimit(Entries, Given[0], Given[1], Given[2]);
  });
}
ExitCode limitsWhatIf(const Options &Flags, Arguments Given) {
  return putList(Flags, "/v1/what-if/limits", Given[0], "POST");
}

constexpr Command Commands[] = {
    {"plans get", "", "Shows the list of plans with its revision.", 0, 0,
     plansGet},
    {"plans put", "FILE", "Replaces the list of plans.", 1, 1, plansPut},
    {"plans edit", "WORKSPACE PLAN", "Gives one workspace a plan.", 2, 2,
     plansEdit},
    {"plans what-if", "FILE", "Tells what the list would do, and does nothing.",
     1, 1, plansWhatIf},
    {"limits get", "", "Shows the list of limits with its revision.", 0, 0,
     limitsGet},
    {"limits put", "FILE", "Replaces the list of limits.", 1, 1, limitsPut},
    {"limits edit", "PLAN FIELD VALUE", "Sets one field of one plan's limits.",
     3, 3, limitsEdit},
    {"limits what-if", "FILE",
     "Tells what the list would do, and does nothing.", 1, 1, limitsWhatIf},
};

} // namespace

std::span<const Command> listCommands() { return Commands; }

} // namespace pistachioflow::ctl
