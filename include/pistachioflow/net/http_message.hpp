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

/// An HTTP request.
struct HttpRequest {
  std::string Method;
  std::string Target;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// A complete HTTP response.
struct HttpResponse {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// Returns the value of the first header called \p Name, ignoring case, or an
/// empty view. Borrows from \p Headers.
std::string_view findHeader(const std::vector<HttpHeader> &Headers,
                            std::string_view Name);

/// Returns the standard reason phrase of a status code.
std::string_view reasonPhrase(int Status);

/// Formats a request and adds Content-Length, and a Host header with \p Host
/// unless the request has one.
std::string formatRequest(const HttpRequest &Request, std::string_view Host);

/// Formats a response and adds Content-Length. Unless \p KeepAlive, adds
/// "Connection: close".
std::string formatResponse(const HttpResponse &Response, bool KeepAlive);

} // namespace pistachioflow
