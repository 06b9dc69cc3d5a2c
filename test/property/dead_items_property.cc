// Tests the results of batch items under lost, repeated and late messages,
// changes of the leader and pauses: an item is listed as dead only after a
// server said that it can never be done, after as many failed runs as its job
// allows, or after its time limit, and as complete only after a complete run.
#include <rapidcheck.h>

#include <set>

#include "../fakes/single_store.h"

namespace sequoialb {
namespace {

constexpr uint32_t kAttempts = 3;
constexpr int64_t kGiveUpMs = 60'000;
constexpr int kItems = 3;

// The fronts, as one, and what its servers have answered.
class Fronts {
 public:
  explicit Fronts(fakes::SingleStore& host) : host_(host) {
    host_.LoseDisk();
    host_.StartLeading();
    proto::JobRecord job;
    job.set_id("j");
    job.set_route_host("h");
    job.set_attempts(kAttempts);
    job.set_due_ms(18'000);
    job.set_give_up_ms(kGiveUpMs);
    job.set_keep_ms(120'000);
    for (int i = 0; i < kItems; ++i) {
      job.add_items()->set_id("i" + std::to_string(i));
    }
    accepted_at_ = host_.now();
    RC_ASSERT(host_.Submit("a", job) == "");
  }

  // Sends a report, whose answer may be lost.
  void Report(bool answer_lost) {
    std::vector<proto::ItemName> in_hand = runs_;
    for (const proto::ItemOutcome& outcome : pending_) {
      in_hand.push_back(outcome.name());
    }
    const proto::ItemOffers offers = host_.Report(in_hand, 2);
    if (answer_lost) {
      return;
    }
    for (const proto::ItemName& name : offers.stop()) {
      Forget(name);
    }
    for (const proto::ItemOffer& offer : offers.offers()) {
      proto::ItemName name;
      name.set_job(offer.job());
      name.set_item(offer.item().id());
      name.set_attempt(offer.attempt());
      runs_.push_back(name);
    }
  }

  // A server ends a run.
  void EndRun(proto::ItemOutcome::Kind kind) {
    if (runs_.empty()) {
      return;
    }
    const size_t index = *rc::gen::inRange<size_t>(0, runs_.size());
    proto::ItemOutcome outcome;
    *outcome.mutable_name() = runs_[index];
    outcome.set_kind(kind);
    outcome.set_output("whole");
    runs_.erase(runs_.begin() + static_cast<int64_t>(index));
    if (kind != proto::ItemOutcome::kReturned) {
      ended_[outcome.name().item()].insert({outcome.name().attempt(), kind});
    }
    pending_.push_back(outcome);
    sent_.push_back(outcome);
  }

  // Sends one outcome, and sometimes one of which the acknowledgement came.
  void SendOutcome(bool any, bool acknowledgement_lost) {
    const auto& outcomes = any ? sent_ : pending_;
    if (outcomes.empty()) {
      return;
    }
    const proto::ItemOutcome outcome =
        outcomes[*rc::gen::inRange<size_t>(0, outcomes.size())];
    host_.TakeAcknowledged();
    host_.Send(outcome);
    for (const proto::ItemName& name : host_.TakeAcknowledged()) {
      if (!acknowledgement_lost) {
        Acknowledge(name);
      }
    }
  }

  void Check() {
    const proto::JobAnswer answer = host_.Read("a", "j");
    RC_ASSERT(answer.total() == static_cast<uint64_t>(kItems));
    const bool expired = host_.now() - accepted_at_ > milliseconds(kGiveUpMs);
    for (const proto::JobResult& result : answer.results()) {
      uint32_t failed = 0;
      bool never_possible = false;
      bool complete = false;
      for (const auto& [attempt, kind] : ended_[result.id()]) {
        failed += kind == proto::ItemOutcome::kFailed ? 1 : 0;
        never_possible |= kind == proto::ItemOutcome::kNeverPossible;
        complete |= kind == proto::ItemOutcome::kComplete;
      }
      const bool proved = result.dead()
                              ? expired || never_possible || failed >= kAttempts
                              : complete;
      RC_ASSERT(proved);
    }
  }

  void EndAllRuns() {
    while (!runs_.empty()) {
      EndRun(proto::ItemOutcome::kFailed);
    }
    while (!pending_.empty()) {
      SendOutcome(false, false);
      host_.Pass(milliseconds(400));
    }
  }

  // Returns whether every item has a result.
  bool AllListed() { return host_.Read("a", "j").results_size() == kItems; }

 private:
  static bool Same(const proto::ItemName& a, const proto::ItemName& b) {
    return a.item() == b.item() && a.attempt() == b.attempt();
  }
  void Acknowledge(const proto::ItemName& name) {
    pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                  [&](const proto::ItemOutcome& outcome) {
                                    return Same(outcome.name(), name);
                                  }),
                   pending_.end());
  }
  void Forget(const proto::ItemName& name) {
    runs_.erase(std::remove_if(runs_.begin(), runs_.end(),
                               [&](const proto::ItemName& run) {
                                 return Same(run, name);
                               }),
                runs_.end());
  }

  fakes::SingleStore& host_;
  TimePoint accepted_at_;
  std::vector<proto::ItemName> runs_;
  std::vector<proto::ItemOutcome> pending_;
  std::vector<proto::ItemOutcome> sent_;
  std::map<std::string, std::set<std::pair<uint64_t, int>>> ended_;
};

void DeadOnlyWithProof(fakes::SingleStore& host) {
  Fronts fronts(host);
  const int steps = *rc::gen::inRange(10, 80);
  for (int step = 0; step < steps; ++step) {
    const bool lost = *rc::gen::inRange(0, 3) == 0;
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
      case 1:
      case 2:
        fronts.Report(lost);
        break;
      case 3:
      case 4:
        fronts.EndRun(proto::ItemOutcome::kFailed);
        break;
      case 5:
        fronts.EndRun(*rc::gen::element(proto::ItemOutcome::kComplete,
                                        proto::ItemOutcome::kNeverPossible,
                                        proto::ItemOutcome::kReturned));
        break;
      case 6:
      case 7:
      case 8:
        fronts.SendOutcome(false, lost);
        break;
      case 9:
        fronts.SendOutcome(true, lost);
        break;
      case 10:
        host.StartLeading();
        break;
      default:
        host.Pass(milliseconds(*rc::gen::inRange(50, 2'000)));
    }
    fronts.Check();
  }
  // Whatever happened before, items whose runs fail come to an end.
  for (int round = 0; round < 40 && !fronts.AllListed(); ++round) {
    fronts.Report(false);
    fronts.EndAllRuns();
    host.Pass(milliseconds(400));
    fronts.Check();
  }
  RC_ASSERT(fronts.AllListed());
}

}  // namespace
}  // namespace sequoialb

int main() {
  sequoialb::fakes::SingleStore host;
  const bool ok = rc::check("an item is dead only with proof",
                            [&host] { sequoialb::DeadOnlyWithProof(host); });
  return ok ? 0 : 1;
}
