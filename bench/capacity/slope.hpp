#pragma once

#include <string>
#include <vector>

namespace pistachioflow::capacity {

/// One measured point.
struct Point {
  double X = 0;
  double Y = 0;
};

/// A straight line through measured points.
struct Slope {
  std::string Name;
  std::string XUnit; ///< What X counts.
  std::string YUnit; ///< What Y counts.
  std::vector<Point> Points;
  double Fixed = 0;   ///< Y at X = 0.
  double PerUnit = 0; ///< Y for each X.
  double R2 = 0;      ///< Share of the variance that the line explains.

  double at(double X) const { return this->Fixed + this->PerUnit * X; }
};

/// Fits a line by least squares. Precondition: at least two different X.
Slope fit(std::string Name, std::string XUnit, std::string YUnit,
          std::vector<Point> Points);

} // namespace pistachioflow::capacity
