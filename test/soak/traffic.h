// Generates the traffic of the soak test: callers, operators and announcements
// of backend servers, each on its own thread.
#pragma once

#include <atomic>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"
#include "guarantee_checker.h"

namespace sequoialb::soak {

class Traffic {
 public:
  Traffic(Deployment& deployment, GuaranteeChecker& checker, uint64_t seed)
      : deployment_(deployment), checker_(checker), seed_(seed) {}
  ~Traffic() { Stop(); }

  // Starts the threads. Call it once the deployment serves requests.
  void Start();
  // Stops all threads after their calls in flight have ended.
  void Stop();

  // Sends the next configuration version until it is acknowledged. Returns
  // false if it is refused or the traffic is stopped.
  bool ChangeConfig(bool rotate_key);
  // Sends one request and returns the status of its answer.
  int SendRequest(int front, const std::string& key, bool at_most_once,
                  const std::string& account);
  // Reads the results of a job from position `after` on. Returns the position
  // after the last result read.
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
  // All keys so far of the account whose key changes. Only the last one is
  // valid.
  std::vector<std::string> keys_{"rk0"};
  std::vector<size_t> collected_;
};

}  // namespace sequoialb::soak
