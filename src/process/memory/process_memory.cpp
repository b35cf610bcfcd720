#include "process/memory/process_memory.hpp"

#include <malloc.h>
#include <unistd.h>

#include <fstream>

namespace hatchfork::memory {
namespace {

/// The allocator's initial threshold; setting it keeps it from growing.
constexpr int kLargeBufferBytes = 128 * 1024;

}  // namespace

std::size_t residentBytes() {
  std::ifstream pages("/proc/self/statm");
  std::size_t virtual_pages = 0;
  std::size_t resident_pages = 0;
  if (!(pages >> virtual_pages >> resident_pages)) return 0;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

ProcessMemory processMemory() {
  const struct mallinfo2 allocator = ::mallinfo2();
  ProcessMemory memory;
  memory.resident = residentBytes();
  memory.allocated = allocator.uordblks + allocator.hblkhd;
  memory.free = allocator.fordblks;
  return memory;
}

void returnLargeBuffers() {
  ::mallopt(M_MMAP_THRESHOLD, kLargeBufferBytes);
}

}  // namespace hatchfork::memory
