#include "pistachioflow/platform/configuration_file.hpp"

#include <utility>

#include "pistachioflow/codec/json_reader.hpp"
#include "pistachioflow/platform/desired_state_codec.hpp"
#include "pistachioflow/platform/worker_client.hpp"

namespace pistachioflow {

namespace {

using Json = nlohmann::json;

/// As large as a configuration may be.
constexpr JsonBounds FileBounds{std::size_t{8} << 20U, 16, false};
/// How decodeDesiredState() locates a finding about any tenant.
constexpr std::string_view AnyTenant = "$.tenants[]";

/// Returns the findings about one tenant, decoded in a configuration of its
/// own.
Findings findingsAbout(const Json &Tenant, std::size_t Index) {
  const Json Alone = {{"version", 1},
                      {"routes", Json::array()},
                      {"tenants", Json::array({Tenant})}};
  const Result<DesiredState> Decoded = decodeDesiredState(dumpJson(Alone));
  if (Decoded)
    return {};
  Findings List = Decoded.error().Details;
  for (Finding &Item : List) {
    if (Item.Place.starts_with(AnyTenant))
      Item.Place.replace(0, AnyTenant.size(),
                         "$.tenants[" + std::to_string(Index) + "]");
  }
  return List;
}

/// Replaces the findings about tenants by findings with the tenant's index.
Findings locateTenants(std::string_view Text, const Findings &Problems) {
  Findings Located;
  for (const Finding &Item : Problems) {
    if (!Item.Place.starts_with(AnyTenant))
      Located.push_back(Item);
  }
  if (Located.size() == Problems.size())
    return Located;
  const Result<Json> Document = parseJson(Text, FileBounds, "desired state");
  if (!Document)
    return Problems;
  std::size_t Index = 0;
  for (const Json &Tenant : Document.value()["tenants"]) {
    const Findings About = findingsAbout(Tenant, Index++);
    Located.insert(Located.end(), About.begin(), About.end());
  }
  return Located;
}

std::optional<std::vector<std::string>> readServices(const Json &Document,
                                                     Findings &Ignored) {
  const auto List = Document.find("services");
  if (List == Document.end())
    return std::nullopt;
  if (!List->is_array()) {
    Ignored.push_back({"$.services", "an array", List->type_name()});
    return std::nullopt;
  }
  std::vector<std::string> Names;
  for (std::size_t Index = 0; Index < List->size(); ++Index) {
    const Json &Entry = (*List)[Index];
    const Json Name = Entry.is_object() ? Entry.value("name", Json()) : Entry;
    if (Name.is_string())
      Names.push_back(Name.get<std::string>());
    else
      Ignored.push_back({"$.services[" + std::to_string(Index) + "]",
                         "a name, or an object with a name",
                         Entry.type_name()});
  }
  return Names;
}

/// The daemon leaves out lists of other types and keys that are not texts.
void findIgnoredKeys(const Json &Tenant, const std::string &Place,
                     Findings &Ignored) {
  const auto Keys = Tenant.find("api_keys");
  if (Keys == Tenant.end())
    return;
  if (!Keys->is_array()) {
    Ignored.push_back({Place + ".api_keys", "an array", Keys->type_name()});
    return;
  }
  for (std::size_t Index = 0; Index < Keys->size(); ++Index) {
    if (!(*Keys)[Index].is_string())
      Ignored.push_back({Place + ".api_keys[" + std::to_string(Index) + "]",
                         "a text", (*Keys)[Index].type_name()});
  }
}

void findIgnoredTenants(const Json &Document, Findings &Ignored) {
  const auto List = Document.find("tenants");
  if (List == Document.end())
    return;
  if (!List->is_array()) {
    Ignored.push_back({"$.tenants", "an array", List->type_name()});
    return;
  }
  for (std::size_t Index = 0; Index < List->size(); ++Index)
    findIgnoredKeys((*List)[Index], "$.tenants[" + std::to_string(Index) + "]",
                    Ignored);
}

void addWorker(const Json &Entry, const std::string &Place, WorkerList &List) {
  const Result<WorkerEntry> Decoded = decodeWorkerEntry(dumpJson(Entry));
  if (Decoded) {
    List.Accelerators += Decoded.value().Capacity.Accelerators;
    return;
  }
  for (Finding Item : Decoded.error().Details) {
    if (Item.Place.starts_with('$'))
      Item.Place.erase(0, 1);
    Item.Place.insert(0, Place);
    List.RejectedEntries.push_back(std::move(Item));
  }
}

} // namespace

Result<ConfigurationFile> decodeConfigurationFile(std::string_view Text) {
  Result<DesiredState> Decoded = decodeDesiredState(Text);
  if (!Decoded) {
    Error Invalid = Decoded.error();
    Invalid.Details = locateTenants(Text, Invalid.Details);
    return Invalid;
  }
  BOOST_OUTCOME_TRY(Document, parseJson(Text, FileBounds, "desired state"));
  ConfigurationFile File;
  File.State = std::move(Decoded.value());
  File.Services = readServices(Document, File.IgnoredEntries);
  findIgnoredTenants(Document, File.IgnoredEntries);
  return File;
}

Result<WorkerList> decodeWorkerList(std::string_view Text) {
  BOOST_OUTCOME_TRY(Document, parseJson(Text, FileBounds, "workers"));
  if (!Document.is_structured())
    return Error{ErrorCode::InvalidInput,
                 "invalid list of workers",
                 {{"$", "an array or an object", Document.type_name()}}};
  WorkerList List;
  for (const auto &[Key, Entry] : Document.items()) {
    const std::string Name = Document.is_object() ? dumpJson(Key) : Key;
    addWorker(Entry, "workers[" + Name + "]", List);
  }
  return List;
}

} // namespace pistachioflow
