#include "jobs/job_table.h"

#include <algorithm>

#include "observe/log.h"

namespace sequoialb {

const std::string& JobItemState::output() const {
  static const std::string kNone;
  return result == nullptr ? kNone : *result;
}

bool JobItemState::HasCounted(uint64_t attempt) const {
  return std::find(failed_attempts.begin(), failed_attempts.end(), attempt) !=
         failed_attempts.end();
}

const JobItemState* JobState::FindItem(const std::string& id) const {
  const auto position = by_id.find(id);
  return position == by_id.end() ? nullptr : &items[position->second];
}

const JobState* JobTable::Find(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

uint64_t JobTable::WaitingTokens(const proto::JobRecord& record) const {
  const auto on_one_route = [&record](const proto::JobRecord& other) {
    return other.route_host() == record.route_host() &&
           (other.route_prefix() == record.route_prefix() ||
            other.route_name() == record.route_name() ||
            other.route_prefix().empty() || record.route_prefix().empty());
  };
  uint64_t tokens = 0;
  for (const auto& [id, job] : jobs_) {
    if (!job.open() || job.job.account() != record.account() ||
        !on_one_route(job.job)) {
      continue;
    }
    for (const JobItemState& item : job.items) {
      tokens += item.finished ? 0 : item.item->tokens();
    }
  }
  return tokens;
}

std::vector<std::string> JobTable::ClosedJobsToDrop(int64_t clock_ms,
                                                    size_t most) const {
  std::vector<std::string> ids;
  for (const auto& [id, job] : jobs_) {
    const int64_t kept_until = job.job.accepted_clock_ms() + job.job.keep_ms();
    if (!job.open() && clock_ms > kept_until && ids.size() < most) {
      ids.push_back(id);
    }
  }
  return ids;
}

void JobTable::Index(JobState& job) {
  for (size_t i = 0; i < job.items.size(); ++i) {
    job.by_id[job.items[i].id()] = i;
  }
}

Status JobTable::Submit(const proto::JobRecord& record) {
  const auto found = jobs_.find(record.id());
  if (found != jobs_.end()) {
    if (found->second.job.account() != record.account()) {
      return Fail(ErrorCode::kConflict,
                  "a job with this id belongs to another account");
    }
    // The route may have been removed and added again in between.
    found->second.job.set_catalog_version(std::max(
        found->second.job.catalog_version(), record.catalog_version()));
    return {};
  }
  uint64_t tokens = 0;
  for (const proto::JobItem& item : record.items()) {
    tokens += item.tokens();
  }
  if (record.token_cap() > 0 &&
      WaitingTokens(record) + tokens > record.token_cap()) {
    return Fail(ErrorCode::kRateLimited,
                "the job would exceed the account's limit on waiting tokens");
  }
  JobState& job = jobs_[record.id()];
  job.job = record;
  for (proto::JobItem& item : *job.job.mutable_items()) {
    JobItemState item_state;
    auto content = std::make_shared<proto::JobItem>();
    content->Swap(&item);
    item_state.item = std::move(content);
    job.items.push_back(std::move(item_state));
  }
  job.job.clear_items();
  job.job.set_accepted_clock_ms(clock_ms_);
  Index(job);
  LogInfo("job_accepted", {{"job", record.id()},
                           {"account", record.account()},
                           {"items", std::to_string(job.items.size())}});
  return {};
}

void JobTable::RecordResult(const proto::StoreCommand::ItemDone& done) {
  const auto found = jobs_.find(done.job());
  if (found == jobs_.end()) {
    return;
  }
  JobState& job = found->second;
  const auto position = job.by_id.find(done.item());
  if (position == job.by_id.end()) {
    return;
  }
  JobItemState& item = job.items[position->second];
  if (item.finished) {
    return;
  }
  item.finished = true;
  item.failed_permanently = done.dead();
  if (!done.dead()) {
    item.result = std::make_shared<const std::string>(done.output());
  }
  // An item's body can be read only while the item is unfinished, so it is
  // dropped here.
  auto without_body = std::make_shared<proto::JobItem>();
  without_body->set_id(item.id());
  without_body->set_tokens(item.item->tokens());
  item.item = std::move(without_body);
  job.result_order.push_back(static_cast<uint32_t>(position->second));
}

Status JobTable::CountFailure(const proto::StoreCommand::ItemFailed& failed) {
  const auto found = jobs_.find(failed.job());
  if (found == jobs_.end()) {
    return {};
  }
  const auto position = found->second.by_id.find(failed.item());
  if (position == found->second.by_id.end()) {
    return {};
  }
  JobItemState& item = found->second.items[position->second];
  if (failed.attempt() == 0) {
    item.failures = failed.failures();
    return {};
  }
  if (item.HasCounted(failed.attempt())) {
    return Fail(ErrorCode::kConflict, "this run has been counted as failed");
  }
  item.failed_attempts.push_back(failed.attempt());
  ++item.failures;
  return {};
}

void JobTable::AdvanceClock(int64_t clock_ms) {
  clock_ms_ = std::max(clock_ms_, clock_ms);
  if (clock_ms == 0) {
    return;
  }
  for (const std::string& id : undated_) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
      found->second.job.set_accepted_clock_ms(clock_ms_);
    }
  }
  undated_.clear();
}

Status JobTable::Apply(const std::string& command) {
  proto::StoreCommand parsed;
  if (!parsed.ParseFromString(command)) {
    return Fail(ErrorCode::kCorrupt, "a command in the log cannot be parsed");
  }
  AdvanceClock(parsed.clock_ms());
  switch (parsed.kind_case()) {
    case proto::StoreCommand::KIND_NOT_SET:
      return {};
    case proto::StoreCommand::kSubmit:
      return Submit(parsed.submit());
    case proto::StoreCommand::kDone:
      RecordResult(parsed.done());
      return {};
    case proto::StoreCommand::kEndJob: {
      const auto found = jobs_.find(parsed.end_job());
      if (found == jobs_.end()) {
        return Fail(ErrorCode::kNotFound, "no such job");
      }
      found->second.ended = true;
      return {};
    }
    case proto::StoreCommand::kDropJob:
      jobs_.erase(parsed.drop_job());
      return {};
    case proto::StoreCommand::kFailed:
      return CountFailure(parsed.failed());
    default:
      return Fail(ErrorCode::kCorrupt,
                  "a command in the log is of an unknown kind");
  }
}

StateParts JobTable::Save() const {
  struct FrozenJob {
    proto::JobRecord job;
    std::vector<JobItemState> items;
    std::vector<uint32_t> result_order;
    bool ended = false;
  };
  auto frozen = std::make_shared<std::vector<FrozenJob>>();
  frozen->reserve(jobs_.size());
  for (const auto& [id, job] : jobs_) {
    frozen->push_back({job.job, job.items, job.result_order, job.ended});
  }
  return [frozen, clock_ms = clock_ms_,
          next = size_t{0}]() mutable -> std::optional<std::string> {
    proto::StoredJob stored;
    stored.set_clock_ms(clock_ms);
    if (frozen->empty() && next == 0) {
      // Without any job, one part has only the clock.
      ++next;
      return stored.SerializeAsString();
    }
    if (next >= frozen->size()) {
      return std::nullopt;
    }
    const FrozenJob& job = (*frozen)[next++];
    *stored.mutable_job() = job.job;
    stored.set_ended(job.ended);
    for (const uint32_t index : job.result_order) {
      stored.add_listed_order(index);
    }
    for (const JobItemState& item : job.items) {
      proto::StoredItem& stored_item = *stored.add_items();
      *stored_item.mutable_item() = *item.item;
      stored_item.set_listed(item.finished);
      stored_item.set_dead(item.failed_permanently);
      stored_item.set_output(item.output());
      stored_item.set_failures(item.failures);
      stored_item.mutable_failed_attempts()->Assign(
          item.failed_attempts.begin(), item.failed_attempts.end());
    }
    return stored.SerializeAsString();
  };
}

Status JobTable::LoadPart(const std::string& part) {
  proto::StoredJob stored;
  if (!stored.ParseFromString(part)) {
    return Fail(ErrorCode::kCorrupt, "a job in a snapshot cannot be parsed");
  }
  clock_ms_ = std::max(clock_ms_, stored.clock_ms());
  if (!stored.has_job()) {
    return {};
  }
  JobState& job = jobs_[stored.job().id()];
  job.job = stored.job();
  if (stored.clock_ms() == 0) {
    undated_.push_back(stored.job().id());
  }
  job.ended = stored.ended();
  job.result_order.assign(stored.listed_order().begin(),
                          stored.listed_order().end());
  for (proto::StoredItem& item : *stored.mutable_items()) {
    JobItemState item_state;
    auto content = std::make_shared<proto::JobItem>();
    content->Swap(item.mutable_item());
    item_state.item = std::move(content);
    item_state.finished = item.listed();
    item_state.failed_permanently = item.dead();
    if (item_state.finished && !item_state.failed_permanently) {
      item_state.result = std::make_shared<const std::string>(
          std::move(*item.mutable_output()));
    }
    item_state.failures = item.failures();
    item_state.failed_attempts.assign(item.failed_attempts().begin(),
                                      item.failed_attempts().end());
    job.items.push_back(std::move(item_state));
  }
  Index(job);
  return {};
}

}  // namespace sequoialb
