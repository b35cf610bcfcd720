#include "tests/common/heap_meter.hpp"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> held_bytes{0};
std::atomic<std::size_t> peak_bytes{0};

void* take(void* memory) {
  if (memory == nullptr) throw std::bad_alloc();
  const std::size_t bytes = malloc_usable_size(memory);
  const std::size_t now = held_bytes.fetch_add(bytes) + bytes;
  std::size_t peak = peak_bytes.load();
  while (now > peak && !peak_bytes.compare_exchange_weak(peak, now)) {
  }
  return memory;
}

void give(void* memory) {
  if (memory == nullptr) return;
  held_bytes -= malloc_usable_size(memory);
  std::free(memory);
}

}  // namespace

void* operator new(std::size_t size) {
  return take(std::malloc(size));
}
void* operator new[](std::size_t size) {
  return take(std::malloc(size));
}
void* operator new(std::size_t size, std::align_val_t alignment) {
  return take(::memalign(static_cast<std::size_t>(alignment), size));
}
void* operator new[](std::size_t size, std::align_val_t alignment) {
  return take(::memalign(static_cast<std::size_t>(alignment), size));
}
void operator delete(void* memory) noexcept {
  give(memory);
}
void operator delete[](void* memory) noexcept {
  give(memory);
}
void operator delete(void* memory, std::size_t) noexcept {
  give(memory);
}
void operator delete[](void* memory, std::size_t) noexcept {
  give(memory);
}
void operator delete(void* memory, std::align_val_t) noexcept {
  give(memory);
}
void operator delete[](void* memory, std::align_val_t) noexcept {
  give(memory);
}
void operator delete(void* memory, std::size_t, std::align_val_t) noexcept {
  give(memory);
}
void operator delete[](void* memory, std::size_t, std::align_val_t) noexcept {
  give(memory);
}

namespace hatchfork {

std::size_t HeapMeter::held() {
  return held_bytes.load();
}

std::size_t HeapMeter::peak() {
  return peak_bytes.load();
}

void HeapMeter::resetPeak() {
  peak_bytes = held_bytes.load();
}

}  // namespace hatchfork
