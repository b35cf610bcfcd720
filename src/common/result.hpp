#pragma once

#include <utility>
#include <variant>

#include "common/error.hpp"

namespace hatchfork {

/// A value or a typed error.
template <class T>
using Result = std::variant<T, Error>;

/// Success without a value, or a typed error.
using Status = Result<std::monostate>;

inline Status okStatus() {
  return std::monostate{};
}

template <class T>
bool isOk(const Result<T>& result) {
  return result.index() == 0;
}

/// The value of a result known to be good.
template <class T>
T& valueOf(Result<T>& result) {
  return std::get<0>(result);
}
template <class T>
const T& valueOf(const Result<T>& result) {
  return std::get<0>(result);
}
template <class T>
T valueOf(Result<T>&& result) {
  return std::get<0>(std::move(result));
}

/// The error of a result known to be bad.
template <class T>
const Error& errorOf(const Result<T>& result) {
  return std::get<1>(result);
}

}  // namespace hatchfork
