#include "pistachioflow/net/http_message.hpp"

#include <strings.h>

namespace pistachioflow {

namespace {

bool sameName(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

void appendHeaders(std::string &Text, const std::vector<HttpHeader> &Headers) {
  for (const HttpHeader &Header : Headers) {
    Text += Header.Name;
    Text += ": ";
    Text += Header.Value;
    Text += "\r\n";
  }
}

void appendBody(std::string &Text, std::string_view Body) {
  Text += "Content-Length: ";
  Text += std::to_string(Body.size());
  Text += "\r\n\r\n";
  Text += Body;
}

} // namespace

std::string_view findHeader(const std::vector<HttpHeader> &Headers,
                            std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (sameName(Header.Name, Name))
      return Header.Value;
  return {};
}

std::string_view reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 405:
    return "Method Not Allowed";
  case 409:
    return "Conflict";
  case 410:
    return "Gone";
  case 413:
    return "Payload Too Large";
  case 431:
    return "Request Header Fields Too Large";
  case 429:
    return "Too Many Requests";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

std::string formatRequest(const HttpRequest &Request, std::string_view Host) {
  std::string Text = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  if (findHeader(Request.Headers, "Host").empty()) {
    Text += "Host: ";
    Text += Host;
    Text += "\r\n";
  }
  appendHeaders(Text, Request.Headers);
  appendBody(Text, Request.Body);
  return Text;
}

std::string formatResponse(const HttpResponse &Response, bool KeepAlive) {
  std::string Text = "HTTP/1.1 " + std::to_string(Response.Status) + " ";
  Text += reasonPhrase(Response.Status);
  Text += "\r\n";
  if (!KeepAlive)
    Text += "Connection: close\r\n";
  appendHeaders(Text, Response.Headers);
  appendBody(Text, Response.Body);
  return Text;
}

} // namespace pistachioflow
