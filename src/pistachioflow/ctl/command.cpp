#include "pistachioflow/ctl/command.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

#include "pistachioflow/ctl/table.hpp"

namespace pistachioflow::ctl {

namespace {

constexpr int FirstErrorStatus = 400;
constexpr int JsonIndent = 2;

void printFindings(const nlohmann::json &Findings) {
  for (const nlohmann::json &Item : Findings) {
    std::cerr << "  " << Item.value("place", "") << ": expected "
              << Item.value("expected", "") << ", found "
              << Item.value("found", "") << "\n";
  }
}

} // namespace

ExitCode sendAndPrint(const Options &Flags, HttpCall Call) {
  Call.Timeout = Flags.Timeout;
  const HttpAnswer Answer = send(Flags.Servers, Call);
  if (Answer.Status == 0 || Answer.Status >= FirstErrorStatus) {
    printFailure(Answer);
    return exitCodeOf(Answer);
  }
  print(Flags, Answer.Body);
  return ExitCode::Done;
}

void print(const Options &Flags, const nlohmann::json &Value) {
  if (Flags.Output == OutputFormat::Json) {
    std::cout << Value.dump(JsonIndent) << "\n";
    return;
  }
  std::cout << formatTable(Value);
}

void printFailure(const HttpAnswer &Answer) {
  if (Answer.Status == 0) {
    std::cerr << (Answer.MayHaveRun
                      ? "no whole answer came; the call may have taken effect\n"
                      : "no server could be reached; nothing was sent\n");
    return;
  }
  if (!Answer.Body.is_object()) {
    std::cerr << "status " << Answer.Status << "\n";
    return;
  }
  std::cerr << Answer.Body.value("error", "") << ": "
            << Answer.Body.value("message", "") << "\n";
  if (Answer.Body.contains("findings"))
    printFindings(Answer.Body["findings"]);
}

bool readFile(const std::string &Path, std::string &Text) {
  if (Path == "-") {
    Text.assign(std::istreambuf_iterator<char>(std::cin), {});
    return true;
  }
  std::ifstream File(Path, std::ios::binary);
  std::error_code NotFound;
  // A folder can be opened, and the stream buffer throws when it is read.
  if (!File || std::filesystem::is_directory(Path, NotFound)) {
    std::cerr << Path << ": cannot be read\n";
    return false;
  }
  Text.assign(std::istreambuf_iterator<char>(File), {});
  return true;
}

} // namespace pistachioflow::ctl
