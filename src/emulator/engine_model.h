// Simulates the timing of a model engine with continuous batching. The model
// has no clock and does no I/O: the caller advances it step by step.
//
// Each step generates one token for every admitted sequence. A step takes a
// base time, plus a fixed time per sequence, plus the prefill time of the
// prompts admitted in it; a prompt whose prefix is cached prefills only the
// remaining tokens. Sequences are admitted in order of arrival, up to a slot
// limit and a KV-cache limit: the engine has no priorities. The prefix cache
// evicts the least recently used prefix.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace sequoialb::emulator {

struct EngineOptions {
  uint32_t slots = 16;
  uint64_t kv_tokens = 200'000;
  double step_ms = 8;
  double step_ms_per_sequence = 0.25;
  double prefill_ms_per_token = 0.25;
  size_t cached_prefixes = 64;
  // Number of prompt tokens that need no prefill when the prefix is cached.
  uint32_t prefix_tokens = 64;
};

struct Sequence {
  uint64_t id = 0;
  uint64_t prefix = 0;
  uint32_t prompt_tokens = 0;
  // Index of the next token to emit, and the length of the complete answer.
  uint32_t next = 0;
  uint32_t total = 0;
};

// The outcome of one engine step.
struct StepResult {
  double duration_ms = 0;
  // Sequences that emitted a token, with the index of that token.
  std::vector<std::pair<uint64_t, uint32_t>> tokens;
  std::vector<uint64_t> finished;
  std::vector<uint64_t> newly_cached;
};

class EngineModel {
 public:
  explicit EngineModel(EngineOptions options) : options_(options) {}

  void Add(const Sequence& sequence) { waiting_.push_back(sequence); }

  void Cancel(uint64_t id) {
    waiting_.erase(
        std::remove_if(waiting_.begin(), waiting_.end(),
                       [id](const Sequence& s) { return s.id == id; }),
        waiting_.end());
    running_.erase(
        std::remove_if(running_.begin(), running_.end(),
                       [id](const Sequence& s) { return s.id == id; }),
        running_.end());
  }

  bool idle() const { return running_.empty() && waiting_.empty(); }
  size_t running() const { return running_.size(); }
  size_t waiting() const { return waiting_.size(); }
  const std::list<uint64_t>& cache() const { return cache_; }
  uint64_t prefix_hits() const { return prefix_hits_; }
  uint64_t prefix_misses() const { return prefix_misses_; }

  StepResult Step() {
    StepResult result;
    result.duration_ms = options_.step_ms + Admit(result);
    result.duration_ms +=
        options_.step_ms_per_sequence * static_cast<double>(running_.size());
    for (Sequence& sequence : running_) {
      result.tokens.emplace_back(sequence.id, sequence.next++);
      if (sequence.next >= sequence.total) {
        result.finished.push_back(sequence.id);
      }
    }
    running_.erase(
        std::remove_if(running_.begin(), running_.end(),
                       [](const Sequence& s) { return s.next >= s.total; }),
        running_.end());
    return result;
  }

 private:
  uint64_t UsedKv() const {
    uint64_t used = 0;
    for (const Sequence& sequence : running_) {
      used += sequence.prompt_tokens + sequence.next;
    }
    return used;
  }

  // Admits waiting sequences until a limit is reached; returns their prefill
  // time in milliseconds.
  double Admit(StepResult& result) {
    double prefill_ms = 0;
    while (!waiting_.empty() && running_.size() < options_.slots) {
      const Sequence& next = waiting_.front();
      if (!running_.empty() &&
          UsedKv() + next.prompt_tokens > options_.kv_tokens) {
        break;
      }
      const bool hit = Touch(next.prefix, result);
      const uint32_t saved =
          hit ? std::min(next.prompt_tokens, options_.prefix_tokens) : 0;
      prefill_ms += options_.prefill_ms_per_token *
                    (next.prompt_tokens - saved + next.next);
      running_.push_back(next);
      waiting_.pop_front();
    }
    return prefill_ms;
  }

  // Moves a prefix to the front of the LRU cache, adding it if necessary.
  // Returns true if it was cached.
  bool Touch(uint64_t prefix, StepResult& result) {
    const auto found = std::find(cache_.begin(), cache_.end(), prefix);
    const bool hit = found != cache_.end();
    if (hit) {
      cache_.erase(found);
      ++prefix_hits_;
    } else {
      result.newly_cached.push_back(prefix);
      ++prefix_misses_;
    }
    cache_.push_front(prefix);
    if (cache_.size() > options_.cached_prefixes) {
      cache_.pop_back();
    }
    return hit;
  }

  EngineOptions options_;
  std::deque<Sequence> waiting_;
  std::vector<Sequence> running_;
  std::list<uint64_t> cache_;
  uint64_t prefix_hits_ = 0;
  uint64_t prefix_misses_ = 0;
};

}  // namespace sequoialb::emulator
