#pragma once

#include <cstddef>

namespace hatchfork {

/// Counts the bytes that this program holds by `new`, and the most that it held since `resetPeak`. The test program
/// replaces the global operators for it; memory that libraries take by `malloc` alone is not counted. For all threads.
class HeapMeter {
 public:
  static std::size_t held();
  static std::size_t peak();
  /// From here on the peak counts anew.
  static void resetPeak();
};

}  // namespace hatchfork
