#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pistachioflow {

/// One header line of an HTTP message.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// A request, as sent by HttpClient or read by HttpServer.
struct HttpRequest {
  std::string Method;
  std::string Target;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// A complete response.
struct HttpResponse {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// Returns the value of the first header called \p Name, without regard to
/// case, or an empty view that borrows from \p Headers.
std::string_view findHeader(const std::vector<HttpHeader> &Headers,
                            std::string_view Name);

/// Returns the standard phrase of a status code.
std::string_view reasonPhrase(int Status);

/// Formats a request with its Content-Length. \p Host is used unless the
/// request names its own.
std::string formatRequest(const HttpRequest &Request, std::string_view Host);

/// Formats a response with its Content-Length.
std::string formatResponse(const HttpResponse &Response, bool KeepAlive);

} // namespace pistachioflow
