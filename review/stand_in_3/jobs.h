// What the operator and the clients of the batch route send.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire.h"

namespace case3 {

inline constexpr const char* kHost = "nony24.example";
inline constexpr const char* kBatchPrefix = "/pule252/";
inline constexpr const char* kStreamPrefix = "/lohu930/";
inline constexpr const char* kOtherService = "hull-check";
inline constexpr const char* kTenant = "kaje80";
inline constexpr const char* kKey = "i9n73hh2b9wu3fexd9dn";

struct ConfigOptions {
  uint64_t version = 7;
  uint64_t cap = 1'000'000;
  // Requests a second and burst of the tenant; 0 means no limit.
  int rate = 0;
  int slots = 8;
  // Whether streams may be resumed, in a second attempt.
  bool resumable = true;
  // The prefix of one more stream route, to the service kOtherService.
  std::string other_prefix;
};

// A configuration with a batch route, a stream route and one tenant.
std::string Config(const ConfigOptions& options);

// The body of a batch job with items "ID-0", "ID-1" and so on.
// Each item has `prompt` tokens to read and at most 193 to make; `tokens_each`
// is what it states for the limit.
std::string JobBody(const std::string& id, int items, uint64_t tokens_each,
                    uint64_t prompt = 350);

Fields ClientFields();
// Submits a batch job and returns the status, or 0.
Message Submit(const Endpoint& front, const std::string& id,
               const std::string& body, milliseconds timeout,
               const std::function<void()>& sent = {});
// Reads the results from a position.
Message ReadResults(const Endpoint& front, const std::string& id, int after,
                    milliseconds timeout);
int CountOf(const std::string& text, const std::string& part);

}  // namespace case3
