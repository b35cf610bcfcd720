#pragma once

#include <cstddef>

namespace hatchfork::memory {

/// Memory of this process, in bytes.
struct ProcessMemory {
  /// Resident memory, which the limit of the process applies to.
  std::size_t resident = 0;
  /// Allocated by the program.
  std::size_t allocated = 0;
  /// Free in the allocator, and partly resident.
  std::size_t free = 0;
};

/// Resident memory of this process; zero if the system does not report it. Takes some microseconds.
std::size_t residentBytes();
/// Also reads the allocator's counters, which takes up to a millisecond.
ProcessMemory processMemory();
/// Makes the allocator return large buffers to the system as soon as they are freed. By default its threshold grows
/// with each large buffer that is freed, and later ones are kept in its heap. Call at the start of a process.
void returnLargeBuffers();

}  // namespace hatchfork::memory
