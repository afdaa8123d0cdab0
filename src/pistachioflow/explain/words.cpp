#include "pistachioflow/explain/words.hpp"

#include <array>
#include <cctype>
#include <cstdio>
#include <ctime>
#include <utility>

namespace pistachioflow::explain {

namespace {

constexpr std::int64_t MsPerSecond = 1'000;
constexpr std::int64_t MsPerMinute = 60 * MsPerSecond;
constexpr std::int64_t MsPerHour = 60 * MsPerMinute;

std::string_view adjacencyText(Adjacency Near) {
  switch (Near) {
  case Adjacency::SameWorker:
    return "on one worker";
  case Adjacency::SameRack:
    return "in one rack";
  case Adjacency::NeighbourRacks:
    return "in neighbouring racks";
  case Adjacency::SameDomain:
    return "in one failure domain";
  }
  return "anywhere";
}

std::string secondsText(std::int64_t Ms) {
  constexpr std::int64_t MsPerTenth = 100;
  return std::to_string(Ms / MsPerSecond) + "." +
         std::to_string(Ms % MsPerSecond / MsPerTenth) + " s";
}

} // namespace

std::string counted(std::uint64_t Count, std::string_view Noun) {
  return std::to_string(Count) + " " + std::string(Noun) +
         (Count == 1 ? "" : "s");
}

std::string spanText(Duration Span) {
  const std::int64_t Ms = Span.Ms;
  if (Ms < 0)
    return "-" + spanText({-Ms});
  if (Ms < MsPerSecond)
    return std::to_string(Ms) + " ms";
  if (Ms < MsPerMinute)
    return secondsText(Ms);
  if (Ms < MsPerHour)
    return std::to_string(Ms / MsPerMinute) + " min " +
           std::to_string(Ms % MsPerMinute / MsPerSecond) + " s";
  return std::to_string(Ms / MsPerHour) + " h " +
         std::to_string(Ms % MsPerHour / MsPerMinute) + " min";
}

std::string timeText(Instant Wall) {
  constexpr std::size_t MaxLength = 40;
  const std::time_t Seconds = Wall.Ms / MsPerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, MaxLength> Day{};
  std::strftime(Day.data(), Day.size(), "%Y-%m-%d %H:%M:%S", &Parts);
  std::array<char, MaxLength> Rest{};
  std::snprintf(Rest.data(), Rest.size(), ".%03d",
                static_cast<int>(Wall.Ms % MsPerSecond));
  return std::string(Day.data()) + Rest.data();
}

std::string shapeText(const GangShape &Shape) {
  std::string Text = counted(Shape.Tasks, "task") + " of ";
  Text += Shape.AcceleratorsPerTask > 0
              ? counted(Shape.AcceleratorsPerTask, "accelerator")
              : counted(Shape.CoresPerTask, "core");
  return Text + ", " + std::string(adjacencyText(Shape.RequiredAdjacency));
}

std::string placesText(std::span<const Placement> Places) {
  std::string Text;
  for (const Placement &Place : Places)
    Text += (Text.empty() ? "" : ", ") + Place.Worker.Value + " (" +
            counted(Place.Tasks, "task") + ")";
  return Text;
}

std::string withStop(std::string Text) {
  if (!Text.empty() && Text.back() != '.')
    Text += '.';
  return Text;
}

std::string asSentence(std::string Text) {
  Text = withStop(std::move(Text));
  if (!Text.empty())
    Text.front() = static_cast<char>(
        std::toupper(static_cast<unsigned char>(Text.front())));
  return Text;
}

} // namespace pistachioflow::explain
