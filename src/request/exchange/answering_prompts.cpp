#include "request/exchange/answering_prompts.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork::request {

std::vector<RequestFingerprint> sharedPartsOf(const ServiceId& service, const PromptShape& prompt) {
  std::vector<RequestFingerprint> shared;
  for (std::size_t i = 0; i + 1 < prompt.parts.size() && shared.size() < kMaxSharedParts; ++i) {
    RequestFingerprint part = fingerprintOfPart(service, prompt.parts[i].id);
    if (std::find(shared.begin(), shared.end(), part) == shared.end()) shared.push_back(std::move(part));
  }
  return shared;
}

AnsweringPrompts::Registration::Registration(AnsweringPrompts& prompts, const ServiceId& service,
                                             const PromptShape& prompt)
    : prompts_(prompts), service_(service), prompt_(prompt) {
  prompts_.registrations_.insert(this);
}

AnsweringPrompts::Registration::~Registration() {
  prompts_.registrations_.erase(this);
}

bool AnsweringPrompts::contains(const RequestFingerprint& part) const {
  return std::any_of(registrations_.begin(), registrations_.end(), [&part](const Registration* registration) {
    const std::vector<RequestFingerprint> parts = sharedPartsOf(registration->service_, registration->prompt_);
    return std::find(parts.begin(), parts.end(), part) != parts.end();
  });
}

}  // namespace hatchfork::request
