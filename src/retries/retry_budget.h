// Limits the retries of a host to a share of its new requests.
//
// Each new request earns a fraction of a retry, and each retry spends a whole
// one. When half the servers fail at peak load, retries therefore add at most
// that fraction to the load instead of multiplying it. Each account and each
// backend server has a budget of its own, so that none uses up the retries of
// another.
#pragma once

#include <algorithm>
#include <map>
#include <mutex>
#include <string>

namespace sequoialb {

class RetryBudget {
 public:
  // Retries earned by one new request.
  static constexpr double kEarnedPerRequest = 0.1;
  // The largest balance of a budget, and the initial balance of a new one.
  static constexpr double kMaxBalance = 10;

  // Adds what one new request earns to the budget of `name`, an account or a
  // backend server.
  void Earn(const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    double& balance = Balance(name);
    balance = std::min(kMaxBalance, balance + kEarnedPerRequest);
  }

  // Takes one retry from both budgets. Returns false and takes nothing when
  // either budget has less than one retry left.
  bool Spend(const std::string& first, const std::string& second) {
    const std::lock_guard<std::mutex> lock(mutex_);
    double& a = Balance(first);
    double& b = Balance(second);
    if (a < 1 || b < 1) {
      return false;
    }
    a -= 1;
    b -= 1;
    return true;
  }

 private:
  double& Balance(const std::string& name) {
    return balances_.try_emplace(name, kMaxBalance).first->second;
  }

  std::mutex mutex_;
  std::map<std::string, double> balances_;
};

}  // namespace sequoialb
