#include "pistachioflow/sched/guarantee_ledger.hpp"

namespace pistachioflow {

GuaranteeLedger::GuaranteeLedger(std::span<const GuaranteeUse> Uses) {
  for (const GuaranteeUse &Use : Uses)
    this->entryOf(Use.Workspace).Use = Use;
}

GuaranteeLedger::Entry &GuaranteeLedger::entryOf(std::string_view Workspace) {
  const auto Match = this->ByWorkspace.find(Workspace);
  if (Match != this->ByWorkspace.end())
    return Match->second;
  return this->ByWorkspace[std::string(Workspace)];
}

bool GuaranteeLedger::covers(std::string_view Workspace,
                             std::int64_t Accelerators) const {
  const auto Match = this->ByWorkspace.find(Workspace);
  const std::int64_t Claimed =
      Match == this->ByWorkspace.end() ? 0 : Match->second.Claimed;
  return this->excess(Workspace) + Claimed + Accelerators <= 0;
}

std::int64_t GuaranteeLedger::excess(std::string_view Workspace) const {
  const auto Match = this->ByWorkspace.find(Workspace);
  if (Match == this->ByWorkspace.end())
    return 0;
  return Match->second.Use.InUse - Match->second.Use.Guaranteed;
}

void GuaranteeLedger::use(std::string_view Workspace,
                          std::int64_t Accelerators) {
  this->entryOf(Workspace).Use.InUse += Accelerators;
}

void GuaranteeLedger::claim(std::string_view Workspace,
                            std::int64_t Accelerators) {
  this->entryOf(Workspace).Claimed += Accelerators;
}

} // namespace pistachioflow
