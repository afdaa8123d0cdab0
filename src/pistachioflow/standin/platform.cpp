#include <chrono>
#include <string>

#include <httplib.h>

#include "pistachioflow/standin/parts.hpp"

namespace pistachioflow::standin {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusUnavailable = 503;

void addWorkers(WorkerPark &Park, const ServerSettings &Settings) {
  for (std::uint32_t Domain = 1; Domain <= Settings.Domains; ++Domain) {
    for (std::uint32_t Rack = 1; Rack <= Settings.RacksPerDomain; ++Rack) {
      const std::string DomainName = "domain-" + std::to_string(Domain);
      const std::string RackName =
          "rack-" + std::to_string(Domain) + "-" + std::to_string(Rack);
      for (std::uint32_t Number = 1; Number <= Settings.WorkersPerRack;
           ++Number)
        Park.addWorker({{"worker-" + std::to_string(Domain) + "-" +
                         std::to_string(Rack) + "-" + std::to_string(Number)},
                        {RackName},
                        Rack,
                        {DomainName},
                        Settings.Cores,
                        Settings.MemoryMb,
                        Settings.Accelerators});
    }
  }
}

void addRunners(RunnerPark &Park, const ServerSettings &Settings) {
  for (std::uint32_t Number = 1; Number <= Settings.Runners; ++Number) {
    const std::uint32_t Domain = 1 + (Number - 1) % Settings.Domains;
    Park.addRunner({{"runner-" + std::to_string(Number)},
                    {"domain-" + std::to_string(Domain)},
                    Settings.SlotsPerRunner,
                    false});
  }
}

} // namespace

bool Pause::wait(Duration Span) {
  std::unique_lock Guard(this->Lock);
  return !this->Changed.wait_for(Guard, std::chrono::milliseconds(Span.Ms),
                                 [this] { return this->Stopping; });
}

void Pause::stop() {
  const std::lock_guard Guard(this->Lock);
  this->Stopping = true;
  this->Changed.notify_all();
}

Platform::Platform(const ServerSettings &Settings, const Clock &Time)
    : Settings(Settings), Time(Time), Instances(Settings.InstanceLag),
      Workers(Settings.Park) {
  this->Log.setRetention(Settings.Retention);
  addWorkers(this->Workers, Settings);
  addRunners(this->Runners, Settings);
}

void answerJson(httplib::Response &Response, int Status,
                const nlohmann::json &Body) {
  Response.status = Status;
  Response.set_content(dumpJson(Body), "application/json");
}

void answerFindings(httplib::Response &Response, const Error &Fault) {
  answerJson(Response, StatusBadRequest,
             {{"error", Fault.Message}, {"findings", toJson(Fault.Details)}});
}

void addFault(Platform &Target, const Fault &Value) {
  Target.Faults.add(Value);
  if (Value.Part != FaultPart::Workers || Value.Kind != FaultKind::Die)
    return;
  for (const WorkerInfo &Info : Target.Workers.workers()) {
    if (Value.Target.empty() || Info.Worker.Value == Value.Target)
      Target.Workers.kill(Info.Worker, Target.Time.monotonic());
  }
}

bool admitCall(Platform &Target, FaultPart Part, std::string_view Name,
               const httplib::Request &Request, httplib::Response &Response) {
  if (const auto Slow = Target.Faults.take(Part, FaultKind::Slow, Name))
    Target.Waits.wait(Slow->Delay);
  if (Target.Faults.take(Part, FaultKind::Cut, Name)) {
    cutConnection(Request);
    return false;
  }
  if (!Target.Faults.take(Part, FaultKind::Down, Name))
    return true;
  answerJson(Response, StatusUnavailable, {{"error", "down"}});
  return false;
}

void loseAnswer(Platform &Target, FaultPart Part, std::string_view Name,
                const httplib::Request &Request) {
  if (Target.Faults.take(Part, FaultKind::LostAnswer, Name))
    cutConnection(Request);
}

} // namespace pistachioflow::standin
