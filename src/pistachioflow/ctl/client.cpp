#include "pistachioflow/ctl/client.hpp"

#include <charconv>
#include <chrono>

#include <httplib.h>

namespace pistachioflow::ctl {

namespace {

constexpr int HighestPort = 65'535;
constexpr int FirstErrorStatus = 400;
constexpr int StatusPreconditionFailed = 412;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

httplib::Result sendOnce(httplib::Client &Client, const HttpCall &Call) {
  httplib::Request Request;
  Request.method = Call.Method;
  Request.path = Call.Path;
  Request.body = Call.Body;
  Request.set_header("Content-Type", "application/json");
  for (const HttpHeader &Header : Call.Headers)
    Request.set_header(Header.Name.c_str(), Header.Value);
  return Client.send(Request);
}

HttpAnswer readAnswer(const httplib::Response &Response) {
  HttpAnswer Answer;
  Answer.Status = Response.status;
  Answer.Text = Response.body;
  Answer.Body = nlohmann::json::parse(Response.body, nullptr, false);
  return Answer;
}

/// Splits "host:port"; a port of 0 says that it is malformed.
ServerAddress parseServer(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return {};
  ServerAddress Address;
  Address.Host = Text.substr(0, Colon);
  const std::string_view Port = Text.substr(Colon + 1);
  const char *End = Port.data() + Port.size();
  const auto Read = std::from_chars(Port.data(), End, Address.Port);
  const bool Whole = Read.ec == std::errc() && Read.ptr == End;
  if (!Whole || Address.Port < 1 || Address.Port > HighestPort)
    return {};
  return Address;
}

} // namespace

HttpAnswer send(std::span<const ServerAddress> Servers, const HttpCall &Call) {
  const std::chrono::milliseconds Timeout(Call.Timeout.Ms);
  for (const ServerAddress &Server : Servers) {
    httplib::Client Client(Server.Host, Server.Port);
    Client.set_connection_timeout(Timeout);
    Client.set_read_timeout(Timeout);
    Client.set_write_timeout(Timeout);
    const httplib::Result Result = sendOnce(Client, Call);
    if (Result)
      return readAnswer(*Result);
    if (Result.error() != httplib::Error::Connection)
      return {.MayHaveRun = true};
  }
  return {};
}

std::vector<ServerAddress> parseServers(std::string_view Text) {
  std::vector<ServerAddress> Servers;
  while (!Text.empty()) {
    const std::size_t Comma = Text.find(',');
    const ServerAddress Server = parseServer(Text.substr(0, Comma));
    if (Server.Port == 0)
      return {};
    Servers.push_back(Server);
    Text = Comma == std::string_view::npos ? "" : Text.substr(Comma + 1);
  }
  return Servers;
}

ExitCode exitCodeOf(const HttpAnswer &Answer) {
  if (Answer.Status == 0)
    return Answer.MayHaveRun ? ExitCode::Unknown : ExitCode::NotRun;
  if (Answer.Status == StatusPreconditionFailed)
    return ExitCode::Stale;
  if (Answer.Status == StatusUnavailable)
    return ExitCode::NotRun;
  if (Answer.Status == StatusGatewayTimeout)
    return ExitCode::Unknown;
  return Answer.Status < FirstErrorStatus ? ExitCode::Done : ExitCode::Refused;
}

} // namespace pistachioflow::ctl
