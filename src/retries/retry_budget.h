// How many retries a host may add, as a share of its fresh traffic.
//
// Each fresh request earns a fraction of a retry; each retry spends one whole.
// When half the servers fail at the peak, retries are thereby at most that
// fraction of the load, instead of multiplying it. Accounts and backend servers
// have budgets of their own, so nobody retries on another's.
#pragma once

#include <algorithm>
#include <map>
#include <mutex>
#include <string>

namespace sequoialb {

class RetryBudget {
 public:
  // Retries earned by one fresh request.
  static constexpr double kEarnedPerRequest = 0.1;
  // What may be saved up; also what a new name starts with.
  static constexpr double kMaxBalance = 10;

  // Counts a fresh request of the name.
  void Earn(const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    double& balance = Balance(name);
    balance = std::min(kMaxBalance, balance + kEarnedPerRequest);
  }

  // Takes one retry from both names' budgets; false when either is spent.
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
