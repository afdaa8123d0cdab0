#pragma once

namespace pistachioflow::ctl {

/// What the program tells the script that called it.
enum class ExitCode : int {
  Done = 0,
  Refused = 1, ///< The system refused; the answer says why.
  Usage = 2,   ///< The command line is wrong; nothing was sent.
  Stale = 3,   ///< The list has changed since the named revision.
  NotRun = 4,  ///< Surely had no effect; trying again is safe.
  Unknown = 5, ///< May have taken effect; look before trying again.
  Partial = 6, ///< Answered, but some instances could not be asked.
};

} // namespace pistachioflow::ctl
