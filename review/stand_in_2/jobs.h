// What the users' clients and operator send: configurations with one batch
// route and one stream route, and batch jobs.
#pragma once

#include <string>
#include <vector>

#include "net.h"

namespace review {

inline constexpr const char* kHost = "nony24.example";
inline constexpr const char* kBatchPrefix = "/pule252/";
inline constexpr const char* kStreamPrefix = "/lohu930/";

// A configuration with accounts t0, t1 and so on, whose keys are key-t0, ...
// `rate` is the quota of t1, in requests a second and as the burst; 0 means no
// limit.
std::string Configuration(uint64_t version, uint64_t cap, int tenants,
                          int rate = 0);
std::string KeyOf(int tenant);

struct Item {
  std::string id;
  // In base64.
  std::string body;
  uint64_t tokens = 0;
};

std::string JobBody(const std::string& job, const std::vector<Item>& items);

// Submits a batch job.
Response Submit(const Address& front, int tenant, const std::string& job,
                const std::string& body, milliseconds timeout);
// Reads the results from position `after`.
Response ReadJob(const Address& front, int tenant, const std::string& job,
                 int after, milliseconds timeout);

}  // namespace review
