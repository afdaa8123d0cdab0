#pragma once

#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/pace_learning.hpp"
#include "pistachioflow/platform/instance_settings.hpp"

namespace pistachioflow {

/// One entry instance: answers callers, follows the topics of the store, and
/// can own the queues. Thread safety: none; use from the thread that runs the
/// io_context.
class Instance {
public:
  /// \p SettingsPath is read again on reload().
  Instance(asio::io_context &Io, const Clock &Time, InstanceSettings Settings,
           std::string SettingsPath,
           PacePlacement PaceMode = PacePlacement::Off);
  ~Instance();

  /// Listens and begins to follow the store. Returns false, and logs why, when
  /// an address is in use.
  bool start();

  /// Reads the settings file again. An invalid file changes nothing.
  void reload();

  /// Resigns ownership, finishes requests in progress, and stops the
  /// io_context.
  void shutDown();

private:
  struct Components;
  std::unique_ptr<Components> Impl;
};

} // namespace pistachioflow
