#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace pistachioflow {

/// The keys of the list of workers whose records name no worker, with the
/// reason, so that each is logged once a change although its writer repeats it.
/// Remembers a bounded number of keys; beyond it, further ones aren't logged.
///
/// Thread safety: none.
class RejectedEntries {
public:
  /// Returns whether to log: \p Key is not rejected for \p Reason already.
  bool add(const std::string &Key, std::string_view Reason);

  /// The newest record of \p Key is in order, or is gone.
  void remove(const std::string &Key) { this->Reasons.erase(Key); }

  std::size_t size() const { return this->Reasons.size(); }

private:
  std::map<std::string, std::string, std::less<>> Reasons;
};

/// Formats bytes of another writer for a log line: at most about 60 of them,
/// anything but visible ASCII escaped.
std::string printableKey(std::string_view Key);

} // namespace pistachioflow
