// The callers and operators of the soak, each on a thread of its own.
#pragma once

#include <atomic>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"
#include "promises.h"

namespace sequoialb::soak {

class Traffic {
 public:
  Traffic(Deployment& deployment, GuaranteeChecker& checker, uint64_t seed)
      : deployment_(deployment), checker_(checker), seed_(seed) {}
  ~Traffic() { Stop(); }

  // Begins once the deployment serves.
  void Start();
  // Ends all threads; what is under way comes to its end.
  void Stop();

  // Applies the next version until it is acknowledged; false when stopped.
  bool ChangeConfig(bool rotate_key);
  // Sends one question; returns its status.
  int SendRequest(int front, const std::string& key, bool at_most_once,
                  const std::string& account);
  // Reads a job from `after` on; returns how many results are known.
  size_t ReadJob(int front, const std::string& job, size_t after);

 private:
  using Random = std::mt19937_64;

  void RunRequestLoop(uint64_t number);
  void RunSubmitLoop();
  void RunReadLoop();
  void RunConfigLoop();
  void RunAnnounceLoop();
  void CollectRuns();
  std::string PickKey(Random& random);
  std::string ConfigText(uint64_t version) const;
  void Submit(const std::string& job, size_t items, Random& random);

  Deployment& deployment_;
  GuaranteeChecker& checker_;
  uint64_t seed_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
  std::atomic<uint64_t> next_id_{1};
  std::mutex mutex_;
  uint64_t version_ = 1;
  // Keys of the account whose key changes; the last one is in force.
  std::vector<std::string> keys_{"rk0"};
  std::vector<size_t> collected_;
};

}  // namespace sequoialb::soak
