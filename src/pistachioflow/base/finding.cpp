#include "pistachioflow/base/finding.hpp"

namespace pistachioflow {

std::string formatFindings(std::span<const Finding> List) {
  std::string Text;
  for (const Finding &Item : List) {
    Text += Item.Place + ": expected " + Item.Expected + ", found " +
            Item.Found + "\n";
  }
  return Text;
}

} // namespace pistachioflow
