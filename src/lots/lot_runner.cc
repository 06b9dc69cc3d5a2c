#include "lots/lot_runner.h"

#include <json/reader.h>

#include <algorithm>

#include "ledger/command_results.h"
#include "observe/log.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr size_t kGroupItems = 256;
constexpr size_t kGroupBytes = 512U << 10U;
constexpr milliseconds kGroupAge{250};
constexpr seconds kStoreLimit{20};
constexpr seconds kRecordLimit{5};
constexpr milliseconds kIdlePause{100};
constexpr milliseconds kWatchInterval{2'000};
// A job is urgent when it needs more than this share of its time left.
constexpr double kUrgentShare = 0.7;

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

LotRunner::LotRunner(Host& host, ChatRunner& chat) : host_(host), chat_(chat) {
  for (uint32_t i = 0; i < host.settings().batch_concurrency; ++i) {
    workers_.emplace_back([this] { Work(); });
  }
  watcher_ = std::thread([this] { Watch(); });
}

LotRunner::~LotRunner() {
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

void LotRunner::Add(const proto::LotRecord& lot) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = jobs_.find(lot.id());
  if (found != jobs_.end()) {
    if (found->second->record.generation() >= lot.generation()) {
      return;
    }
    found->second->stopped = true;
  }
  auto job = std::make_shared<Job>();
  job->record = lot;
  job->recorded = lot.done();
  job->started_at = Clock::now();
  job->deadline =
      Clock::now() + milliseconds(lot.deadline_unix_ms() - UnixMs());
  jobs_[lot.id()] = job;
  changed_.notify_all();
  LogInfo("batch_started", {{"batch", lot.id()},
                            {"items", std::to_string(lot.total())},
                            {"done", std::to_string(lot.done())},
                            {"generation", std::to_string(lot.generation())}});
}

void LotRunner::Stop(const std::string& lot_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = jobs_.find(lot_id);
  if (found == jobs_.end()) {
    return;
  }
  found->second->stopped = true;
  jobs_.erase(found);
  LogInfo("batch_stopped", {{"batch", lot_id}});
}

size_t LotRunner::running() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return jobs_.size();
}

void LotRunner::Drain() {
  draining_ = true;
  changed_.notify_all();
  std::map<std::string, JobPointer> jobs;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    jobs = jobs_;
  }
  for (const auto& [id, job] : jobs) {
    const TimePoint limit = Clock::now() + kRecordLimit;
    bool busy = true;
    while (busy && Clock::now() < limit) {
      {
        const std::lock_guard<std::mutex> lock(job->mutex);
        busy = job->in_flight > 0 || job->recording;
      }
      std::this_thread::sleep_for(milliseconds(busy ? 10 : 0));
    }
    Record(job);
  }
}

// Chooses the next job in turn, by account and identity, so that a job of
// 200,000 items does not keep one of ten waiting.
LotRunner::JobPointer LotRunner::NextJob() {
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

void LotRunner::Work() {
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

bool LotRunner::LoadFile(const JobPointer& job) {
  if (!job->file.id().empty()) {
    return true;
  }
  proto::Query query;
  query.set_file_id(job->record.input_file());
  const auto reply = host_.Query(query, Clock::now() + kRecordLimit);
  if (!reply || !reply->found()) {
    return false;
  }
  job->file = reply->file();
  return true;
}

bool LotRunner::OpenNextBlob(const JobPointer& job) {
  if (!LoadFile(job)) {
    return false;
  }
  if (job->next_blob >= job->file.blobs_size()) {
    job->exhausted = true;
    return false;
  }
  const proto::BlobRef& blob = job->file.blobs(job->next_blob);
  const Result<std::string> data =
      host_.blobs().Read(blob.sha256(), Clock::now() + kStoreLimit);
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
      job->open.push_back(Input{index, std::move(line)});
    }
  }
  std::reverse(job->open.begin(), job->open.end());
  return true;
}

bool LotRunner::TakeInput(const JobPointer& job, Input& input) {
  const std::lock_guard<std::mutex> lock(job->mutex);
  while (job->open.empty()) {
    if (job->exhausted || !OpenNextBlob(job)) {
      return false;
    }
  }
  input = std::move(job->open.back());
  job->open.pop_back();
  ++job->in_flight;
  return true;
}

// Compares the time that the rest needs, at the pace so far, with what is left.
bool LotRunner::Urgent(const JobPointer& job) const {
  const TimePoint now = Clock::now();
  const double elapsed = ToSeconds(now - job->started_at);
  const uint32_t before = job->record.done();
  const uint32_t done = job->recorded - std::min(before, job->recorded);
  const uint32_t rest = job->record.total() - job->recorded;
  const double left = ToSeconds(job->deadline - now);
  if (done == 0) {
    return elapsed > kUrgentShare * left;
  }
  return elapsed / done * rest > kUrgentShare * left;
}

std::string LotRunner::RunLine(const JobPointer& job, const Input& input,
                               bool& failed, bool& abandoned) {
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
    abandoned = answer.error().code == ErrorCode::kCancelled;
    return ItemError(line.custom_id, answer.error());
  }
  failed = false;
  const std::string id = job->record.id() + "-" + std::to_string(input.index);
  const std::string body =
      FormatAnswer(*line.request, id, UnixMs() / 1000, answer->text,
                   answer->finish_reason, answer->chunks);
  return ItemAnswer(line.custom_id, id, body);
}

void LotRunner::RunItem(const JobPointer& job, const Input& input) {
  bool failed = false;
  bool abandoned = false;
  const std::string line = RunLine(job, input, failed, abandoned);
  if (!abandoned && !job->stopped) {
    AddResult(job, input.index, line, failed);
  }
  {
    const std::lock_guard<std::mutex> lock(job->mutex);
    --job->in_flight;
  }
  RecordIfDue(job);
}

void LotRunner::AddResult(const JobPointer& job, uint32_t index,
                          const std::string& line, bool failed) {
  const std::lock_guard<std::mutex> lock(job->mutex);
  if (job->done.empty()) {
    job->oldest_result = Clock::now();
  }
  job->lines += line;
  job->lines += '\n';
  job->done.push_back(index);
  job->failed += failed ? 1 : 0;
  host_.metrics()
      .counter("sequoialb_batch_items_total",
               failed ? "outcome=\"failed\"" : "outcome=\"done\"")
      .Add();
}

void LotRunner::RecordIfDue(const JobPointer& job) {
  {
    const std::lock_guard<std::mutex> lock(job->mutex);
    const bool full =
        job->done.size() >= kGroupItems || job->lines.size() >= kGroupBytes;
    const bool old =
        !job->done.empty() && Clock::now() >= job->oldest_result + kGroupAge;
    const bool last =
        job->exhausted && job->open.empty() && job->in_flight == 0;
    if (job->done.empty() || !(full || old || last)) {
      return;
    }
  }
  Record(job);
}

// Records the results gathered so far; one group at a time for each job.
void LotRunner::Record(const JobPointer& job) {
  std::string lines;
  proto::Command command;
  proto::LotProgress& progress = *command.mutable_lot_progress();
  {
    const std::lock_guard<std::mutex> lock(job->mutex);
    if (job->recording || job->done.empty() || job->stopped) {
      return;
    }
    job->recording = true;
    lines.swap(job->lines);
    for (const uint32_t index : job->done) {
      progress.add_done(index);
    }
    progress.set_failed(job->failed);
    job->done.clear();
    job->failed = 0;
  }
  progress.set_lot_id(job->record.id());
  progress.set_generation(job->record.generation());
  const auto count = static_cast<uint32_t>(progress.done_size());
  bool recorded = false;
  while (!recorded && !job->stopped) {
    const auto blob =
        host_.blobs().Put(lines, count, Clock::now() + kStoreLimit);
    if (!blob) {
      continue;
    }
    *progress.mutable_output() = *blob;
    progress.set_unix_ms(UnixMs());
    const auto result = host_.Propose(command, Clock::now() + kRecordLimit);
    if (!result) {
      continue;  // Unknown; the repetition answers the same.
    }
    recorded = true;
    const Status status = StatusOf(*result);
    if (!status) {
      LogInfo("batch_given_up",
              {{"batch", job->record.id()}, {"reason", status.error().detail}});
      Stop(job->record.id());
    }
  }
  bool whole = false;
  {
    const std::lock_guard<std::mutex> lock(job->mutex);
    job->recording = false;
    job->recorded += count;
    whole = job->recorded >= job->record.total();
  }
  if (whole) {
    Finish(job);
  }
}

void LotRunner::Finish(const JobPointer& job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = jobs_.find(job->record.id());
  if (found != jobs_.end() && found->second == job) {
    jobs_.erase(found);
    LogInfo("batch_completed", {{"batch", job->record.id()}});
  }
}

// Looks after jobs whose word of cancellation may have been lost.
void LotRunner::Watch() {
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
      const auto reply = host_.Query(query, Clock::now() + kRecordLimit);
      const bool gone =
          reply &&
          (!reply->found() || reply->lot().state() != proto::LOT_RUNNING ||
           reply->lot().generation() != job->record.generation());
      if (gone) {
        Stop(job->record.id());
      }
    }
  }
}

}  // namespace sequoialb
