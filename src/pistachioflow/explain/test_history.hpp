#pragma once

#include <string>
#include <vector>

#include "pistachioflow/explain/cell_texts.hpp"
#include "pistachioflow/explain/record_events.hpp"
#include "pistachioflow/policy/test_cell.hpp"

namespace pistachioflow::explain::test {

/// A cell in virtual time whose ticks are kept as records.
struct RecordedCell {
  policy::test::TestCell Cell;
  std::vector<Record> Records;
  std::vector<TimelineEvent> Events;

  RecordedCell() : Cell({}, policy::test::simpleLists()) {}

  void tell(const Event &Fact) {
    const std::vector<Decision> Made = this->Cell.tell(Fact);
    Record Tick{{RecordVersion,
                 {"id-" + std::to_string(this->Records.size())},
                 {"entry-1"},
                 1,
                 this->Cell.Now},
                DecisionsMade{{Fact}, Made}};
    for (TimelineEvent &Event :
         eventsOf(Tick, {"cell/main"}, this->Records.size()))
      this->Events.push_back(std::move(Event));
    this->Records.push_back(std::move(Tick));
  }

  void submit(const JobSpec &Spec) { this->tell(JobSubmitted{Spec}); }

  void run(const JobSpec &Spec) {
    this->submit(Spec);
    this->tell(GangStarted{Spec.Job, this->Cell.job(Spec.Job.Value).Try});
  }

  CellView view() const {
    return {this->Cell.State, this->Cell.Prefer, this->Cell.Now, this->Events};
  }
};

inline bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace pistachioflow::explain::test
