#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/ctl/exit_code.hpp"

namespace pistachioflow::ctl {

/// The address of an instance's HTTP server.
struct ServerAddress {
  std::string Host;
  int Port = 0;
};

struct HttpHeader {
  std::string Name;
  std::string Value;
};

struct HttpCall {
  std::string Method; ///< GET, PUT, POST or DELETE.
  std::string Path;
  std::string Body;
  std::vector<HttpHeader> Headers;
  Duration Timeout{10'000};
};

struct HttpAnswer {
  int Status = 0;          ///< 0: no server could be reached.
  bool MayHaveRun = false; ///< With status 0: the call was sent to a server.
  nlohmann::json Body;
  std::string Text; ///< The body as it came.
};

/// Sends \p Call to the first server that can be connected to. A call that was
/// sent and not answered is not repeated on another server.
HttpAnswer send(std::span<const ServerAddress> Servers, const HttpCall &Call);

/// Reads "host:port,host:port". Returns an empty list where it is malformed.
std::vector<ServerAddress> parseServers(std::string_view Text);

/// Maps an answer to the code that scripts see.
ExitCode exitCodeOf(const HttpAnswer &Answer);

} // namespace pistachioflow::ctl
