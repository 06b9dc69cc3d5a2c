// A store group with a single member and a clock of the test. The caller plays
// the fronts: what the store host sends to itself are its answers to them.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <memory>
#include <string>
#include <vector>

#include "base/check.h"
#include "jobs/store_service.h"
#include "memory_files.h"
#include "observe/log.h"

namespace sequoialb::fakes {

class SingleStore {
 public:
  static constexpr const char* kHost = "h1";

  SingleStore() {
    SetLogLevel("error");
    Address listen{"127.0.0.1", 0};
    {
      Poco::Net::ServerSocket free(Poco::Net::SocketAddress("127.0.0.1", 0));
      listen.port = free.address().port();
    }
    self_.set_host(kHost);
    self_.set_failure_domain("d1");
    self_.set_peer_address(listen.ToString());
    self_.set_store(true);
    auto links = HostLinks::Open(self_, listen, metrics_);
    SEQ_CHECK(links.has_value(), "cannot listen on " << listen.ToString());
    links_ = std::move(*links);
  }

  // Starts the host on its disk, also once more, and waits until it leads.
  void StartLeading() {
    store_.reset();
    Drain();
    auto opened =
        StoreService::Open(self_, "data", 0, files_, *links_, metrics_, now_);
    SEQ_CHECK(opened.has_value(), "the store host's data cannot be opened");
    store_ = std::move(*opened);
    proto::HelloReply reply;
    reply.set_confirmed(true);
    reply.add_store_founders(store_->node());
    store_->OnFleetUpdate({}, reply, now_);
    Pass(seconds(4));
    SEQ_CHECK(store_->status().leads(), "the only member does not lead");
  }

  // Ends the host's process.
  void Stop() { store_.reset(); }

  // Starts on an empty disk.
  void LoseDisk() {
    store_.reset();
    files_.files().clear();
  }

  void Pass(Duration time) {
    const TimePoint until = now_ + time;
    while (now_ < until) {
      now_ += std::min<Duration>(until - now_, milliseconds(50));
      store_->Tick(now_);
      Flush();
    }
  }

  // Returns an error's name, or nothing.
  std::string Submit(const std::string& account, const proto::JobRecord& job) {
    proto::JobCall call;
    call.set_account(account);
    *call.mutable_submit() = job;
    return Call(call).error_name();
  }

  // Returns all results of a job.
  proto::JobAnswer Read(const std::string& account, const std::string& job) {
    proto::JobCall call;
    call.set_account(account);
    call.mutable_read()->set_job(job);
    return Call(call);
  }

  // Reports what a front with this catalog holds, and returns what it is
  // offered and told.
  proto::ItemOffers Report(const std::vector<proto::ItemName>& in_hand,
                           uint32_t free_slots, uint64_t catalog = 0) {
    proto::ItemReport report;
    report.set_catalog_version(catalog);
    for (const proto::ItemName& name : in_hand) {
      *report.add_in_hand() = name;
    }
    report.add_room()->set_items(free_slots);
    offers_.Clear();
    store_->OnReport(kHost, report, now_);
    Flush();
    return offers_;
  }

  // Returns the runs whose outcomes have been acknowledged since the last call.
  std::vector<proto::ItemName> TakeAcknowledged() {
    return std::exchange(acknowledged_, {});
  }

  void Send(const proto::ItemOutcome& outcome) {
    store_->OnOutcome(kHost, outcome, now_);
    Flush();
  }

  TimePoint now() const { return now_; }
  StoreService& store() { return *store_; }
  MemoryFiles& files() { return files_; }
  Metrics& metrics() { return metrics_; }

 private:
  proto::JobAnswer Call(const proto::JobCall& call) {
    answer_.Clear();
    store_->OnCall(kHost, call, now_);
    Flush();
    return answer_;
  }

  void Flush() {
    store_->Flush(now_);
    Drain();
  }

  void Drain() {
    links_->Drain([this](const std::string&, const proto::FleetMessage& m) {
      if (m.has_item_offers()) {
        offers_ = m.item_offers();
      } else if (m.has_job_answer()) {
        answer_ = m.job_answer();
      } else if (m.has_item_taken()) {
        acknowledged_.push_back(m.item_taken().name());
      }
    });
  }

  TimePoint now_ = TimePoint(seconds(1'000));
  proto::HostInfo self_;
  Metrics metrics_;
  MemoryFiles files_;
  std::unique_ptr<HostLinks> links_;
  std::unique_ptr<StoreService> store_;
  proto::ItemOffers offers_;
  proto::JobAnswer answer_;
  std::vector<proto::ItemName> acknowledged_;
};

}  // namespace sequoialb::fakes
