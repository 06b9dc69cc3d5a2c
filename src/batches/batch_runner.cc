#include "batches/batch_runner.h"

#include <json/reader.h>

#include <algorithm>

#include "ledger/command_results.h"
#include "observe/log.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr size_t kMaxGroupItems = 256;
constexpr size_t kMaxGroupBytes = 512U << 10U;
constexpr milliseconds kMaxGroupAge{250};
constexpr seconds kBlobTimeout{20};
constexpr seconds kLedgerTimeout{5};
constexpr milliseconds kIdlePause{100};
constexpr milliseconds kWatchInterval{2'000};
// A job is urgent when its remaining items are expected to need more than this
// fraction of the time until its deadline.
constexpr double kUrgentTimeFraction = 0.7;

std::string ItemError(const std::string& custom_id, const Error& error) {
  Json::Value line;
  line["custom_id"] = custom_id;
  line["response"] = Json::Value();
  line["error"]["code"] = std::string(ErrorName(error.code));
  line["error"]["message"] = error.detail;
  line["error"]["run"] = std::string(RunStateName(error.run));
  return JsonLine(line);
}

std::string ItemAnswer(const std::string& custom_id,
                       const std::string& request_id, const std::string& body) {
  return "{\"custom_id\":" + JsonLine(custom_id) +
         ",\"response\":{\"status_code\":200,\"request_id\":" +
         JsonLine(request_id) + ",\"body\":" + body + "},\"error\":null}";
}

std::vector<std::string> SplitLines(const std::string& data) {
  std::vector<std::string> lines;
  size_t start = 0;
  while (start < data.size()) {
    size_t end = data.find('\n', start);
    end = end == std::string::npos ? data.size() : end;
    lines.push_back(data.substr(start, end - start));
    start = end + 1;
  }
  return lines;
}

struct BatchLine {
  std::string custom_id;
  Result<ChatRequest> request =
      Fail(ErrorCode::kMalformed, "the line is not a JSON object");
};

BatchLine ParseBatchLine(const std::string& line, const std::string& endpoint) {
  BatchLine parsed;
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string problem;
  if (!reader->parse(line.data(), line.data() + line.size(), &value,
                     &problem) ||
      !value.isObject()) {
    return parsed;
  }
  if (value["custom_id"].isString()) {
    parsed.custom_id = value["custom_id"].asString();
  }
  if (parsed.custom_id.empty()) {
    parsed.request =
        Fail(ErrorCode::kInvalidField, "custom_id: expected a string");
    return parsed;
  }
  if (value["url"].isString() && value["url"].asString() != endpoint) {
    parsed.request = Fail(ErrorCode::kInvalidField,
                          "url: differs from the batch's endpoint");
    return parsed;
  }
  parsed.request = ParseChatRequest(endpoint, JsonLine(value["body"]));
  return parsed;
}

}  // namespace

BatchRunner::BatchRunner(Host& host, ChatRunner& chat)
    : host_(host), chat_(chat) {
  for (uint32_t i = 0; i < host.settings().batch_concurrency; ++i) {
    workers_.emplace_back([this] { Work(); });
  }
  watcher_ = std::thread([this] { Watch(); });
}

BatchRunner::~BatchRunner() {
  Drain();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& worker : workers_) {
    worker.join();
  }
  watcher_.join();
}

void BatchRunner::Add(const proto::LotRecord& batch) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = jobs_.find(batch.id());
  if (found != jobs_.end()) {
    if (found->second->record.generation() >= batch.generation()) {
      return;
    }
    found->second->stopped = true;
  }
  auto job = std::make_shared<Job>();
  job->record = batch;
  job->recorded_count = batch.done();
  job->started_at = Clock::now();
  job->deadline =
      Clock::now() + milliseconds(batch.deadline_unix_ms() - UnixMs());
  jobs_[batch.id()] = job;
  changed_.notify_all();
  LogInfo("batch_started",
          {{"batch", batch.id()},
           {"items", std::to_string(batch.total())},
           {"done", std::to_string(batch.done())},
           {"generation", std::to_string(batch.generation())}});
}

void BatchRunner::Stop(const std::string& batch_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = jobs_.find(batch_id);
  if (found == jobs_.end()) {
    return;
  }
  found->second->stopped = true;
  jobs_.erase(found);
  LogInfo("batch_stopped", {{"batch", batch_id}});
}

size_t BatchRunner::running() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return jobs_.size();
}

void BatchRunner::Drain() {
  draining_ = true;
  changed_.notify_all();
  std::map<std::string, JobPointer> jobs;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    jobs = jobs_;
  }
  for (const auto& [id, job] : jobs) {
    const TimePoint limit = Clock::now() + kLedgerTimeout;
    bool busy = true;
    while (busy && Clock::now() < limit) {
      {
        const std::lock_guard<std::mutex> lock(job->mutex);
        busy = job->in_flight > 0 || job->recording;
      }
      std::this_thread::sleep_for(milliseconds(busy ? 10 : 0));
    }
    RecordResults(job);
  }
}

// Chooses the jobs in turn, in the order of their ids, so that a job of 10
// items does not wait for one of 200,000.
BatchRunner::JobPointer BatchRunner::NextJob() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (jobs_.empty()) {
    return nullptr;
  }
  auto next = jobs_.upper_bound(last_job_);
  if (next == jobs_.end()) {
    next = jobs_.begin();
  }
  last_job_ = next->first;
  return next->second;
}

void BatchRunner::Work() {
  size_t idle_turns = 0;
  while (true) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      if (stopping_) {
        return;
      }
      if (jobs_.empty() || draining_) {
        changed_.wait(lock);
        continue;
      }
      if (idle_turns > jobs_.size()) {
        changed_.wait_for(lock, kIdlePause);
        idle_turns = 0;
        continue;
      }
    }
    const JobPointer job = NextJob();
    Input input;
    if (job == nullptr || job->stopped || !TakeInput(job, input)) {
      ++idle_turns;
      if (job != nullptr) {
        RecordIfDue(job);
      }
      continue;
    }
    idle_turns = 0;
    RunItem(job, input);
  }
}

bool BatchRunner::LoadFileRecord(const JobPointer& job) {
  if (!job->file.id().empty()) {
    return true;
  }
  proto::Query query;
  query.set_file_id(job->record.input_file());
  const auto reply = host_.Query(query, Clock::now() + kLedgerTimeout);
  if (!reply || !reply->found()) {
    return false;
  }
  job->file = reply->file();
  return true;
}

bool BatchRunner::OpenNextBlob(const JobPointer& job) {
  if (!LoadFileRecord(job)) {
    return false;
  }
  if (job->next_blob >= job->file.blobs_size()) {
    job->exhausted = true;
    return false;
  }
  const proto::BlobRef& blob = job->file.blobs(job->next_blob);
  const Result<std::string> data =
      host_.blobs().Read(blob.sha256(), Clock::now() + kBlobTimeout);
  if (!data) {
    LogWarn("batch_input_unreadable",
            {{"batch", job->record.id()}, {"reason", data.error().detail}});
    return false;
  }
  ++job->next_blob;
  for (std::string& line : SplitLines(*data)) {
    const uint32_t index = job->next_index++;
    if (index < job->record.total() &&
        !BitmapHas(job->record.done_bitmap(), index)) {
      job->pending_inputs.push_back(Input{index, std::move(line)});
    }
  }
  std::reverse(job->pending_inputs.begin(), job->pending_inputs.end());
  return true;
}

bool BatchRunner::TakeInput(const JobPointer& job, Input& input) {
  const std::lock_guard<std::mutex> lock(job->mutex);
  while (job->pending_inputs.empty()) {
    if (job->exhausted || !OpenNextBlob(job)) {
      return false;
    }
  }
  input = std::move(job->pending_inputs.back());
  job->pending_inputs.pop_back();
  ++job->in_flight;
  return true;
}

// Compares the time that the remaining items need, at the average rate since
// the job started on this host, with the time until the deadline. Until results
// are recorded, uses the elapsed time as the estimate.
bool BatchRunner::Urgent(const JobPointer& job) const {
  const TimePoint now = Clock::now();
  const double elapsed = ToSeconds(now - job->started_at);
  const uint32_t done_before = job->record.done();
  const uint32_t done =
      job->recorded_count - std::min(done_before, job->recorded_count);
  const uint32_t remaining_items = job->record.total() - job->recorded_count;
  const double remaining_seconds = ToSeconds(job->deadline - now);
  if (done == 0) {
    return elapsed > kUrgentTimeFraction * remaining_seconds;
  }
  return elapsed / done * remaining_items >
         kUrgentTimeFraction * remaining_seconds;
}

std::string BatchRunner::RunLine(const JobPointer& job, const Input& input,
                                 bool& failed, bool& cancelled) {
  const BatchLine line = ParseBatchLine(input.line, job->record.endpoint());
  failed = true;
  if (!line.request) {
    return ItemError(line.custom_id, line.request.error());
  }
  const ConfigPointer config = host_.config().current();
  const auto service = config->services.find(job->record.service());
  if (service == config->services.end() ||
      service->second->document.FindModel(line.request->model) == nullptr) {
    return ItemError(line.custom_id, Error{ErrorCode::kNotFound,
                                           "no service offers the model " +
                                               line.request->model});
  }
  if (Clock::now() >= job->deadline) {
    return ItemError(line.custom_id,
                     Error{ErrorCode::kDeadlineExceeded,
                           "the batch's completion window has passed"});
  }
  const ServiceDocument& document = service->second->document;
  const AccountEntry* terms = document.FindAccount(job->record.account());
  ChatRun run;
  run.request = &*line.request;
  run.service = job->record.service();
  run.account = job->record.account();
  run.weight = terms == nullptr ? 1 : terms->weight;
  run.batch = true;
  run.max_attempts = document.max_attempts;
  run.deadline = job->deadline;
  run.first_token_deadline = job->deadline;
  run.trace = TraceContext::FromHeader("");
  run.cancelled = [this, job] { return job->stopped || draining_; };
  run.urgent = [this, job] { return Urgent(job); };
  const Result<ChatAnswer> answer = chat_.Run(run);
  if (!answer) {
    cancelled = answer.error().code == ErrorCode::kCancelled;
    return ItemError(line.custom_id, answer.error());
  }
  failed = false;
  const std::string id = job->record.id() + "-" + std::to_string(input.index);
  const std::string body =
      FormatAnswer(*line.request, id, UnixMs() / 1000, answer->text,
                   answer->finish_reason, answer->chunks);
  return ItemAnswer(line.custom_id, id, body);
}

void BatchRunner::RunItem(const JobPointer& job, const Input& input) {
  bool failed = false;
  bool cancelled = false;
  const std::string line = RunLine(job, input, failed, cancelled);
  if (!cancelled && !job->stopped) {
    AddResult(job, input.index, line, failed);
  }
  {
    const std::lock_guard<std::mutex> lock(job->mutex);
    --job->in_flight;
  }
  RecordIfDue(job);
}

void BatchRunner::AddResult(const JobPointer& job, uint32_t index,
                            const std::string& line, bool failed) {
  const std::lock_guard<std::mutex> lock(job->mutex);
  if (job->result_indices.empty()) {
    job->oldest_result = Clock::now();
  }
  job->result_lines += line;
  job->result_lines += '\n';
  job->result_indices.push_back(index);
  job->failed_count += failed ? 1 : 0;
  host_.metrics()
      .counter("sequoialb_batch_items_total",
               failed ? "outcome=\"failed\"" : "outcome=\"done\"")
      .Add();
}

void BatchRunner::RecordIfDue(const JobPointer& job) {
  {
    const std::lock_guard<std::mutex> lock(job->mutex);
    const bool full = job->result_indices.size() >= kMaxGroupItems ||
                      job->result_lines.size() >= kMaxGroupBytes;
    const bool old = !job->result_indices.empty() &&
                     Clock::now() >= job->oldest_result + kMaxGroupAge;
    const bool last =
        job->exhausted && job->pending_inputs.empty() && job->in_flight == 0;
    if (job->result_indices.empty() || !(full || old || last)) {
      return;
    }
  }
  RecordResults(job);
}

// Records the results gathered so far as one group. At most one group of a job
// is being recorded at a time.
void BatchRunner::RecordResults(const JobPointer& job) {
  std::string lines;
  proto::Command command;
  proto::LotProgress& progress = *command.mutable_lot_progress();
  {
    const std::lock_guard<std::mutex> lock(job->mutex);
    if (job->recording || job->result_indices.empty() || job->stopped) {
      return;
    }
    job->recording = true;
    lines.swap(job->result_lines);
    for (const uint32_t index : job->result_indices) {
      progress.add_done(index);
    }
    progress.set_failed(job->failed_count);
    job->result_indices.clear();
    job->failed_count = 0;
  }
  progress.set_lot_id(job->record.id());
  progress.set_generation(job->record.generation());
  const auto count = static_cast<uint32_t>(progress.done_size());
  bool recorded = false;
  while (!recorded && !job->stopped) {
    const auto blob =
        host_.blobs().Put(lines, count, Clock::now() + kBlobTimeout);
    if (!blob) {
      continue;
    }
    *progress.mutable_output() = *blob;
    progress.set_unix_ms(UnixMs());
    const auto result = host_.Propose(command, Clock::now() + kLedgerTimeout);
    if (!result) {
      // It is unknown whether the command was applied. Proposing it again is
      // safe: a repeated command has no further effect and the same result.
      continue;
    }
    recorded = true;
    const Status status = StatusOf(*result);
    if (!status) {
      LogInfo("batch_given_up",
              {{"batch", job->record.id()}, {"reason", status.error().detail}});
      Stop(job->record.id());
    }
  }
  bool complete = false;
  {
    const std::lock_guard<std::mutex> lock(job->mutex);
    job->recording = false;
    job->recorded_count += count;
    complete = job->recorded_count >= job->record.total();
  }
  if (complete) {
    Finish(job);
  }
}

void BatchRunner::Finish(const JobPointer& job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = jobs_.find(job->record.id());
  if (found != jobs_.end() && found->second == job) {
    jobs_.erase(found);
    LogInfo("batch_completed", {{"batch", job->record.id()}});
  }
}

// Periodically queries the record of each running job and stops the jobs that
// have ended or were taken over, since a message about a cancellation may have
// been lost.
void BatchRunner::Watch() {
  while (true) {
    std::vector<JobPointer> jobs;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait_for(lock, kWatchInterval, [this] { return stopping_; });
      if (stopping_) {
        return;
      }
      for (const auto& [id, job] : jobs_) {
        jobs.push_back(job);
      }
    }
    for (const JobPointer& job : jobs) {
      proto::Query query;
      query.set_lot_id(job->record.id());
      const auto reply = host_.Query(query, Clock::now() + kLedgerTimeout);
      const bool ended =
          reply &&
          (!reply->found() || reply->lot().state() != proto::LOT_RUNNING ||
           reply->lot().generation() != job->record.generation());
      if (ended) {
        Stop(job->record.id());
      }
    }
  }
}

}  // namespace sequoialb
