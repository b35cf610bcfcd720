#pragma once

#include <unordered_set>
#include <vector>

#include "request/crash/crash_subjects.hpp"
#include "request/exchange/prompt_shape.hpp"

namespace hatchfork::request {

/// Largest number of parts of one prompt that crashes are attributed to; prompts have a few.
constexpr std::size_t kMaxSharedParts = 32;

/// Returns the names of the parts of a prompt that other requests may share, in their order, without repetitions: all
/// but the last, at most `kMaxSharedParts`.
std::vector<RequestFingerprint> sharedPartsOf(const ServiceId& service, const PromptShape& prompt);

/// The prompts on which answers are under way at one process. An engine has read them without crashing. Not
/// thread-safe.
class AnsweringPrompts {
 public:
  /// Registers a prompt for as long as this object lives. The arguments must outlive it.
  class Registration {
   public:
    Registration(AnsweringPrompts& prompts, const ServiceId& service, const PromptShape& prompt);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

   private:
    friend class AnsweringPrompts;
    AnsweringPrompts& prompts_;
    const ServiceId& service_;
    const PromptShape& prompt_;
  };

  /// True if a registered prompt has this part. Cost: a look at the parts of all registered prompts.
  bool contains(const RequestFingerprint& part) const;
  std::size_t size() const { return registrations_.size(); }

 private:
  std::unordered_set<const Registration*> registrations_;
};

}  // namespace hatchfork::request
