#include "pistachioflow/net/http_client.hpp"

#include <string>

#include <catch2/catch.hpp>

namespace pistachioflow {

using namespace std::string_literals;

TEST_CASE("an endpoint is an IPv4 address and a whole port") {
  const auto [Text, Port] =
      GENERATE(table<std::string, int>({{"127.0.0.1:65535", 65'535},
                                        {"127.0.0.1:0", 0},
                                        {"127.0.0.1:65536", 0},
                                        {"127.0.0.1:80abc", 0},
                                        {"127.0.0.1:80 ", 0},
                                        {"127.0.0.1 :80", 0},
                                        {"127.0.0.1\0x:80"s, 0},
                                        {"127.0.0.1:80\0"s, 0},
                                        {"::1:80", 0},
                                        {"[::1]:80", 0}}));
  CAPTURE(Text);
  REQUIRE(parseEndpoint(Text).port() == Port);
}

} // namespace pistachioflow
