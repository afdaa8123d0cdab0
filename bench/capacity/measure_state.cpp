#include "measure.hpp"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

#include "sample.hpp"

namespace {

std::atomic<std::size_t> HeapBytesHeld{0};

void *countedAllocate(std::size_t Size) {
  void *Block = std::malloc(Size);
  if (Block == nullptr)
    throw std::bad_alloc();
  HeapBytesHeld += malloc_usable_size(Block);
  return Block;
}

void countedFree(void *Block) {
  if (Block != nullptr)
    HeapBytesHeld -= malloc_usable_size(Block);
  std::free(Block);
}

} // namespace

void *operator new(std::size_t Size) { return countedAllocate(Size); }
void operator delete(void *Block) noexcept { countedFree(Block); }
void operator delete(void *Block, std::size_t) noexcept { countedFree(Block); }

namespace pistachioflow::capacity {

namespace {

constexpr std::uint32_t WorkerCounts[] = {50, 215, 430, 860};
constexpr std::uint32_t JobCounts[] = {50, 150, 300, 600};
constexpr std::uint32_t GangTasks = 24;
constexpr std::uint32_t RoomyCell = 860;

double snapshotBytes(const policy::CellState &State) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, State);
  return static_cast<double>(Buffer.size());
}

double heapOfCell(std::uint32_t Workers, std::uint32_t Jobs) {
  const std::size_t Before = heapBytes();
  CellSample Cell = emptyCell(Workers);
  fillCell(Cell, Jobs * GangTasks, GangTasks);
  return static_cast<double>(heapBytes() - Before);
}

double snapshotOfCell(std::uint32_t Workers, std::uint32_t Jobs) {
  CellSample Cell = emptyCell(Workers);
  fillCell(Cell, Jobs * GangTasks, GangTasks);
  return snapshotBytes(Cell.State);
}

template <typename Measure>
Slope byWorkers(const char *Name, Measure MeasureCell) {
  std::vector<Point> Points;
  for (const std::uint32_t Count : WorkerCounts)
    Points.push_back({static_cast<double>(Count), MeasureCell(Count, 0)});
  return fit(Name, "workers", "bytes", std::move(Points));
}

template <typename Measure>
Slope byJobs(const char *Name, Measure MeasureCell) {
  std::vector<Point> Points;
  for (const std::uint32_t Count : JobCounts)
    Points.push_back(
        {static_cast<double>(Count), MeasureCell(RoomyCell, Count)});
  return fit(Name, "running gangs of 24 tasks", "bytes", std::move(Points));
}

} // namespace

std::size_t heapBytes() { return HeapBytesHeld; }

void measureState(Measured &Out) {
  Out.SnapshotByWorkers = byWorkers("snapshot of a cell", snapshotOfCell);
  Out.SnapshotByJobs = byJobs("snapshot of a cell", snapshotOfCell);
  Out.HeapByWorkers = byWorkers("heap of a cell", heapOfCell);
  Out.HeapByJobs = byJobs("heap of a cell", heapOfCell);
}

} // namespace pistachioflow::capacity
