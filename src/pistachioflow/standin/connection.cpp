#include <filesystem>
#include <string>
#include <system_error>
#include <utility>

#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "pistachioflow/standin/parts.hpp"

namespace pistachioflow::standin {

namespace {

constexpr int NoDescriptor = -1;
constexpr int NoPort = -1;

using NameFunction = int (*)(int, sockaddr *, socklen_t *);

int portOf(int Descriptor, NameFunction Name) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  if (Name(Descriptor, reinterpret_cast<sockaddr *>(&Address), &Size) != 0 ||
      Address.sin_family != AF_INET)
    return NoPort;
  return ntohs(Address.sin_port);
}

/// Finds the socket of a request, which the library does not tell.
int descriptorOf(const httplib::Request &Request) {
  std::error_code Ignored;
  for (const auto &Entry :
       std::filesystem::directory_iterator("/proc/self/fd", Ignored)) {
    const int Descriptor = std::stoi(Entry.path().filename().string());
    if (portOf(Descriptor, ::getpeername) == Request.remote_port &&
        portOf(Descriptor, ::getsockname) == Request.local_port)
      return Descriptor;
  }
  return NoDescriptor;
}

} // namespace

void cutConnection(const httplib::Request &Request) {
  const int Descriptor = descriptorOf(Request);
  if (Descriptor != NoDescriptor)
    ::shutdown(Descriptor, SHUT_RDWR);
}

void sendRaw(const httplib::Request &Request, std::string_view Bytes) {
  const int Descriptor = descriptorOf(Request);
  if (Descriptor != NoDescriptor)
    ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
}

void answerPart(httplib::Response &Response, std::string Body,
                std::size_t Count) {
  const std::size_t Whole = Body.size();
  Response.status = 200;
  Response.set_content_provider(
      Whole, "application/json",
      [Body = std::move(Body), Count](std::size_t From, std::size_t,
                                      httplib::DataSink &Sink) {
        if (From < Count)
          Sink.write(Body.data() + From, Count - From);
        return From < Count;
      });
}

} // namespace pistachioflow::standin
