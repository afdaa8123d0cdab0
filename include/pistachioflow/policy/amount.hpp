#pragma once

#include <algorithm>
#include <cstdint>

#include "pistachioflow/model/lists.hpp"
#include "pistachioflow/model/worker.hpp"

namespace pistachioflow::policy {

/// Accelerators, cores and memory. Differences may be negative.
struct Amount {
  std::int64_t Accelerators = 0;
  std::int64_t Cores = 0;
  std::int64_t MemoryMb = 0;

  bool operator==(const Amount &) const = default;

  Amount &operator+=(const Amount &Other) {
    this->Accelerators += Other.Accelerators;
    this->Cores += Other.Cores;
    this->MemoryMb += Other.MemoryMb;
    return *this;
  }

  Amount &operator-=(const Amount &Other) {
    this->Accelerators -= Other.Accelerators;
    this->Cores -= Other.Cores;
    this->MemoryMb -= Other.MemoryMb;
    return *this;
  }
};

constexpr Amount operator*(const Amount &Left, std::int64_t Right) {
  return {Left.Accelerators * Right, Left.Cores * Right, Left.MemoryMb * Right};
}

inline Amount operator+(Amount Left, const Amount &Right) {
  return Left += Right;
}

inline Amount operator-(Amount Left, const Amount &Right) {
  return Left -= Right;
}

/// Returns the smaller of both in each dimension.
inline Amount elementwiseMin(const Amount &Left, const Amount &Right) {
  return {std::min(Left.Accelerators, Right.Accelerators),
          std::min(Left.Cores, Right.Cores),
          std::min(Left.MemoryMb, Right.MemoryMb)};
}

/// Returns the larger of both in each dimension.
inline Amount elementwiseMax(const Amount &Left, const Amount &Right) {
  return {std::max(Left.Accelerators, Right.Accelerators),
          std::max(Left.Cores, Right.Cores),
          std::max(Left.MemoryMb, Right.MemoryMb)};
}

inline bool covers(const Amount &Whole, const Amount &Part) {
  return Whole.Accelerators >= Part.Accelerators && Whole.Cores >= Part.Cores &&
         Whole.MemoryMb >= Part.MemoryMb;
}

inline Amount perTask(const GangShape &Shape) {
  return {Shape.AcceleratorsPerTask, Shape.CoresPerTask, Shape.MemoryMbPerTask};
}

inline Amount totalOf(const WorkerInfo &Worker) {
  return {Worker.Accelerators, Worker.Cores, Worker.MemoryMb};
}

/// Returns how many tasks of \p Task fit into \p Free, at most \p Limit.
inline std::int64_t tasksThatFit(const Amount &Free, const Amount &Task,
                                 std::int64_t Limit) {
  if (!covers(Free, Task))
    return 0;
  std::int64_t Fit = Limit;
  if (Task.Accelerators > 0)
    Fit = std::min(Fit, Free.Accelerators / Task.Accelerators);
  if (Task.Cores > 0)
    Fit = std::min(Fit, Free.Cores / Task.Cores);
  if (Task.MemoryMb > 0)
    Fit = std::min(Fit, Free.MemoryMb / Task.MemoryMb);
  return std::max<std::int64_t>(Fit, 0);
}

} // namespace pistachioflow::policy
