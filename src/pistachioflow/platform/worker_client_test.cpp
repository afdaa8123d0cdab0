// Tests of the calls to a worker: whatever answers at the address that an entry
// names, the caller gets an outcome.

#include <exception>
#include <string>
#include <utility>

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "pistachioflow/net/http_client.hpp"
#include "pistachioflow/net/http_server.hpp"
#include "pistachioflow/platform/worker_client.hpp"

namespace pistachioflow {

namespace {

constexpr Duration CallTimeout{10'000};

/// A peer that gives the same answer to every call.
struct PeerFixture {
  asio::io_context Io;
  HttpResponse Answer;
  HttpServer Server{this->Io,
                    [this](HttpRequest) -> asio::awaitable<HttpResponse> {
                      co_return this->Answer;
                    }};
  bool Threw = false;

  OrderOutcome stop() {
    OrderOutcome Outcome = OrderOutcome::Unreachable;
    REQUIRE(this->Server.listen(parseEndpoint("127.0.0.1:0")));
    WorkerClient Client(this->Io, "w",
                        "127.0.0.1:" + std::to_string(this->Server.port()));
    const auto Call = [&]() -> asio::awaitable<void> {
      std::string Task("t");
      const OrderAnswer Given =
          co_await Client.stop(std::move(Task), 1, 1, CallTimeout);
      Outcome = Given.Outcome;
    };
    asio::co_spawn(this->Io, Call(), [this](const std::exception_ptr &Failure) {
      this->Threw = Failure != nullptr;
      this->Io.stop();
    });
    this->Io.run();
    return Outcome;
  }
};

} // namespace

TEST_CASE("a refusal of any form is an outcome and no exception") {
  const auto [Body, Outcome] = GENERATE(table<std::string, OrderOutcome>({
      {R"({"clock_ms":1,"reason":"fence"})", OrderOutcome::StaleEpoch},
      {R"({"clock_ms":1,"reason":"room"})", OrderOutcome::InsufficientCapacity},
      {R"({"clock_ms":1,"reason":"tomorrow's"})", OrderOutcome::Invalid},
      {R"({"clock_ms":1,"reason":7})", OrderOutcome::Invalid},
      {R"({"clock_ms":1,"reason":null})", OrderOutcome::Invalid},
      {R"({"clock_ms":1,"reason":["fence"]})", OrderOutcome::Invalid},
      {R"({"clock_ms":1e999,"reason":"fence"})", OrderOutcome::Invalid},
      {R"({"clock_ms":1})", OrderOutcome::Invalid},
      {"[]", OrderOutcome::Invalid},
      {std::string(60'000, '['), OrderOutcome::Invalid},
      {std::string(60'000, '[') + std::string(60'000, ']'),
       OrderOutcome::Invalid},
      {"", OrderOutcome::Invalid},
      {"\xff\xfe", OrderOutcome::Invalid},
  }));
  CAPTURE(Body.substr(0, 40));
  PeerFixture Peer;
  Peer.Answer = {409, {}, Body};
  CHECK(Peer.stop() == Outcome);
  CHECK_FALSE(Peer.Threw);
}

} // namespace pistachioflow
