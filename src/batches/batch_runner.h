// Runs the batch jobs that this host owns.
//
// A pool of workers takes items from the running jobs in turn and runs each
// item like a chat request of batch priority. The results of each job are
// collected and recorded in groups: first the blob with the result lines is
// stored, then one command records the reference to it and the indices of its
// items. An item is done once its group is recorded. If the host fails before
// that, the job's next owner runs the item again.
//
// Inputs are read one blob at a time, so a job of 200,000 items takes no more
// memory than one of 2,000.
#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "host/host.h"
#include "proto/ledger.pb.h"
#include "requests/chat_runner.h"

namespace sequoialb {

class BatchRunner {
 public:
  BatchRunner(Host& host, ChatRunner& chat);
  ~BatchRunner();

  // Starts a job that this host owns. Does nothing if the job already runs here
  // with the same or a later generation.
  void Add(const proto::LotRecord& batch);
  // Stops a job that this host must no longer run, including its running items.
  void Stop(const std::string& batch_id);
  // Starts no more items, stops the running ones and records the results so
  // far.
  void Drain();
  size_t running();

 private:
  struct Input {
    uint32_t index = 0;
    std::string line;
  };

  struct Job {
    proto::LotRecord record;
    proto::FileRecord file;
    std::atomic<bool> stopped{false};
    TimePoint deadline;
    TimePoint started_at;
    std::mutex mutex;
    // Position in the input: the next blob to read, the index of its first
    // line, and the lines of the current blob that have not been started.
    int next_blob = 0;
    uint32_t next_index = 0;
    std::vector<Input> pending_inputs;
    bool exhausted = false;
    uint32_t in_flight = 0;
    uint32_t recorded_count = 0;
    // Results that are not recorded yet.
    std::string result_lines;
    std::vector<uint32_t> result_indices;
    uint32_t failed_count = 0;
    TimePoint oldest_result;
    bool recording = false;
  };
  using JobPointer = std::shared_ptr<Job>;

  void Work();
  JobPointer NextJob();
  bool TakeInput(const JobPointer& job, Input& input);
  bool OpenNextBlob(const JobPointer& job);
  void RunItem(const JobPointer& job, const Input& input);
  std::string RunLine(const JobPointer& job, const Input& input, bool& failed,
                      bool& cancelled);
  void AddResult(const JobPointer& job, uint32_t index, const std::string& line,
                 bool failed);
  void RecordIfDue(const JobPointer& job);
  void RecordResults(const JobPointer& job);
  bool Urgent(const JobPointer& job) const;
  void Finish(const JobPointer& job);
  bool LoadFileRecord(const JobPointer& job);
  void Watch();

  Host& host_;
  ChatRunner& chat_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, JobPointer> jobs_;
  std::string last_job_;
  std::atomic<bool> draining_{false};
  bool stopping_ = false;
  std::vector<std::thread> workers_;
  std::thread watcher_;
};

}  // namespace sequoialb
