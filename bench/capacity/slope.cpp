#include "slope.hpp"

#include <utility>

namespace pistachioflow::capacity {

namespace {

Point meanOf(const std::vector<Point> &Points) {
  Point Mean;
  for (const Point &Item : Points) {
    Mean.X += Item.X / static_cast<double>(Points.size());
    Mean.Y += Item.Y / static_cast<double>(Points.size());
  }
  return Mean;
}

} // namespace

Slope fit(std::string Name, std::string XUnit, std::string YUnit,
          std::vector<Point> Points) {
  const Point Mean = meanOf(Points);
  double Sxx = 0;
  double Sxy = 0;
  double Syy = 0;
  for (const Point &Item : Points) {
    Sxx += (Item.X - Mean.X) * (Item.X - Mean.X);
    Sxy += (Item.X - Mean.X) * (Item.Y - Mean.Y);
    Syy += (Item.Y - Mean.Y) * (Item.Y - Mean.Y);
  }
  Slope Line{std::move(Name), std::move(XUnit), std::move(YUnit),
             std::move(Points)};
  Line.PerUnit = Sxy / Sxx;
  Line.Fixed = Mean.Y - Line.PerUnit * Mean.X;
  Line.R2 = Syy == 0 ? 1 : Sxy * Sxy / (Sxx * Syy);
  return Line;
}

} // namespace pistachioflow::capacity
