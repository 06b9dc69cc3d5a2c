// Tests rate limits under lost and delayed messages, crashed lease holders and
// changes of owner: in every span of w seconds all hosts together admit at most
// burst + rate * w requests. Without faults no request is refused that a single
// token bucket would have admitted.
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "rates/rate_owner.h"
#include "rates/token_lease_holder.h"

namespace sequoialb {
namespace {

constexpr char kAccount[] = "account";

class Fleet {
 public:
  Fleet(int hosts, RateLimit rate_limit) : rate_limit_(rate_limit) {
    for (int i = 0; i < hosts; ++i) {
      AddHost("h" + std::to_string(i));
    }
    view_.set_epoch(1);
    view_.set_settled_epoch(1);
    SetMembers();
    InstallViews();
  }

  void Advance(milliseconds by, bool faults) {
    now_ += by;
    for (auto& [name, host] : hosts_) {
      if (!host.alive) {
        continue;
      }
      host.owner->SetAuthorityLeaseEnd(host.in_view ? now_ + seconds(1)
                                                    : host.authority_lease_end);
      host.owner->Tick(now_);
      Send(name);
    }
    const size_t count = network_.size();
    for (size_t i = 0; i < count && !network_.empty(); ++i) {
      Message message = network_.front();
      network_.pop_front();
      const int fault = faults ? *rc::gen::inRange(0, 20) : 9;
      if (fault == 0) {
        continue;
      }
      if (fault == 1) {
        network_.push_back(message);
        continue;
      }
      Deliver(message);
    }
    PollTickets();
  }

  void RequestToken(const std::string& name) {
    Host& host = hosts_[name];
    if (host.alive) {
      host.tickets.push_back(host.holder->Begin(kAccount, now_));
      Send(name);
    }
  }

  // Removes a host together with the tokens leased to it. Its authority lease
  // ends before other hosts take over its accounts.
  void IsolateAndRemove(const std::string& name) {
    Host& host = hosts_[name];
    if (!host.alive || hosts_.size() < 2) {
      return;
    }
    // The host is isolated, not crashed: it acts as an owner until its
    // authority lease ends.
    host.in_view = false;
    host.authority_lease_end = now_ + milliseconds(500);
    for (int i = 0; i < 30; ++i) {
      Advance(milliseconds(25), true);
    }
    host.alive = false;
    hosts_.erase(name);
    ChangeView();
  }

  void Join() {
    AddHost("j" + std::to_string(next_host_++));
    ChangeView();
  }

  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, host] : hosts_) {
      names.push_back(name);
    }
    return names;
  }

  void CheckBound() const {
    for (size_t first = 0; first < admitted_.size(); ++first) {
      for (size_t last = first; last < admitted_.size(); ++last) {
        const double span_s = ToSeconds(admitted_[last] - admitted_[first]);
        const auto count = static_cast<double>(last - first + 1);
        RC_ASSERT(count <=
                  rate_limit_.burst + rate_limit_.rate * span_s + 1e-6);
      }
    }
  }

  size_t admitted() const { return admitted_.size(); }
  size_t refused() const { return refused_; }
  TimePoint now() const { return now_; }

 private:
  struct Host {
    std::unique_ptr<RateOwner> owner;
    std::unique_ptr<TokenLeaseHolder> holder;
    std::vector<uint64_t> tickets;
    bool alive = true;
    bool in_view = true;
    TimePoint authority_lease_end;
  };

  struct Message {
    std::string from;
    std::string to;
    proto::Envelope envelope;
  };

  void AddHost(const std::string& name) {
    Host& host = hosts_[name];
    const RateLimit rate_limit = rate_limit_;
    host.owner = std::make_unique<RateOwner>(
        name, RateOptions{},
        [rate_limit](const std::string&) { return std::optional(rate_limit); });
    host.holder = std::make_unique<TokenLeaseHolder>(false);
  }

  void SetMembers() {
    view_.clear_members();
    for (const auto& [name, host] : hosts_) {
      view_.add_members()->set_host(name);
    }
  }

  void InstallViews() {
    for (auto& [name, host] : hosts_) {
      host.owner->SetView(view_, now_);
    }
  }

  // Installs a new view host by host, so that for some time both views are in
  // use, then settles it.
  void ChangeView() {
    view_.set_epoch(view_.epoch() + 1);
    SetMembers();
    const int delay_steps = *rc::gen::inRange(0, 10);
    for (auto& [name, host] : hosts_) {
      for (int i = 0; i < delay_steps; ++i) {
        Advance(milliseconds(10), true);
      }
      host.owner->SetView(view_, now_);
    }
    view_.set_settled_epoch(view_.epoch());
    for (auto& [name, host] : hosts_) {
      host.owner->SetView(view_, now_);
      Advance(milliseconds(10), true);
    }
  }

  void Send(const std::string& name) {
    Host& host = hosts_[name];
    for (RateMessage& message : host.owner->TakeMessages()) {
      network_.push_back(Message{name, message.to, message.envelope});
    }
    for (TokenMessage& message : host.holder->TakeMessages(now_)) {
      proto::Envelope envelope;
      *envelope.mutable_token_request() = message.request;
      network_.push_back(
          Message{name, host.owner->OwnerOf(message.account), envelope});
    }
  }

  void Deliver(const Message& message) {
    const auto found = hosts_.find(message.to);
    if (found == hosts_.end() || !found->second.alive) {
      return;
    }
    Host& host = found->second;
    const proto::Envelope& envelope = message.envelope;
    if (envelope.has_token_request()) {
      host.owner->OnRequest(message.from, envelope.token_request(), now_);
    } else if (envelope.has_token_reply()) {
      host.holder->OnReply(envelope.token_reply(), now_);
    } else {
      host.holder->OnRecall(envelope.token_recall());
    }
    Send(message.to);
  }

  void PollTickets() {
    for (auto& [name, host] : hosts_) {
      std::vector<uint64_t> waiting;
      for (const uint64_t ticket : host.tickets) {
        const auto outcome = host.holder->Poll(kAccount, ticket, now_);
        if (outcome.answer == TokenLeaseHolder::Answer::kTaken) {
          admitted_.push_back(now_);
        } else if (outcome.answer == TokenLeaseHolder::Answer::kRefused) {
          ++refused_;
        } else {
          waiting.push_back(ticket);
        }
      }
      host.tickets = waiting;
    }
  }

  RateLimit rate_limit_;
  std::map<std::string, Host> hosts_;
  std::deque<Message> network_;
  proto::HostView view_;
  std::vector<TimePoint> admitted_;
  size_t refused_ = 0;
  int next_host_ = 0;
  TimePoint now_ = TimePoint() + seconds(1'000);
};

void AdmissionNeverExceedsBound() {
  const RateLimit rate_limit{static_cast<double>(*rc::gen::inRange(1, 60)),
                             static_cast<double>(*rc::gen::inRange(1, 40))};
  Fleet fleet(*rc::gen::inRange(1, 5), rate_limit);
  const int steps = *rc::gen::inRange(20, 200);
  for (int i = 0; i < steps; ++i) {
    const std::vector<std::string> names = fleet.Names();
    const int action = *rc::gen::inRange(0, 40);
    if (action == 0) {
      fleet.IsolateAndRemove(names[*rc::gen::inRange<size_t>(0, names.size())]);
    } else if (action == 1 && names.size() < 6) {
      fleet.Join();
    } else if (action < 28) {
      const int count = *rc::gen::inRange(1, 8);
      for (int k = 0; k < count; ++k) {
        fleet.RequestToken(names[*rc::gen::inRange<size_t>(0, names.size())]);
      }
      fleet.Advance(milliseconds(*rc::gen::inRange(1, 30)), true);
    } else {
      fleet.Advance(milliseconds(*rc::gen::inRange(1, 400)), true);
    }
  }
  fleet.CheckBound();
}

// An account that stays well within its rate is never refused, however its
// requests are spread over the hosts.
void NoWrongfulRefusals() {
  const RateLimit rate_limit{20, 20};
  Fleet fleet(4, rate_limit);
  for (int i = 0; i < 200; ++i) {
    fleet.Advance(milliseconds(20), false);
  }
  const std::vector<std::string> names = fleet.Names();
  for (int i = 0; i < 60; ++i) {
    fleet.RequestToken(names[*rc::gen::inRange<size_t>(0, names.size())]);
    const int pause = *rc::gen::inRange(3, 8);
    for (int k = 0; k < pause; ++k) {
      fleet.Advance(milliseconds(10), false);
    }
    // Requests are at least 55 ms apart, so about 18 per second at most.
    fleet.Advance(milliseconds(25), false);
  }
  for (int i = 0; i < 100; ++i) {
    fleet.Advance(milliseconds(10), false);
  }
  RC_ASSERT(fleet.refused() == 0U);
  RC_ASSERT(fleet.admitted() == 60U);
}

}  // namespace
}  // namespace sequoialb

int main() {
  bool ok = rc::check("no account gets more than its rate and burst",
                      sequoialb::AdmissionNeverExceedsBound);
  ok &= rc::check("within its rate an account is not refused",
                  sequoialb::NoWrongfulRefusals);
  return ok ? 0 : 1;
}
