#include "config/config_view.h"

#include "base/check.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

std::shared_ptr<const ActiveService> MakeService(
    const proto::Document& record) {
  Result<ServiceDocument> document =
      ParseServiceDocument(record.content(), record.service() + ".json");
  if (!document) {
    LogError("document_unreadable", {{"service", record.service()},
                                     {"reason", document.error().detail}});
    return nullptr;
  }
  return std::make_shared<const ActiveService>(
      ActiveService{record, std::move(*document)});
}

}  // namespace

const KeyEntry* ConfigView::FindKey(const std::string& key_sha256) const {
  const auto found = keys.find(key_sha256);
  return found == keys.end() ? nullptr : &found->second;
}

const ActiveService* ConfigView::FindForModel(
    const std::string& model, const std::string& account) const {
  const ActiveService* without_account = nullptr;
  for (const auto& [name, service] : services) {
    if (service->document.FindModel(model) == nullptr) {
      continue;
    }
    if (service->document.FindAccount(account) != nullptr) {
      return service.get();
    }
    without_account = service.get();
  }
  return without_account;
}

const ActiveService* ConfigView::FindForPath(const std::string& path) const {
  const ActiveService* best = nullptr;
  size_t longest = 0;
  for (const auto& [name, service] : services) {
    const Route* route = service->document.FindRoute(path);
    if (route != nullptr && route->prefix.size() > longest) {
      best = service.get();
      longest = route->prefix.size();
    }
  }
  return best;
}

std::optional<RateLimit> ConfigView::RateLimitOf(
    const std::string& account) const {
  RateLimit sum;
  for (const auto& [name, service] : services) {
    const AccountEntry* entry = service->document.FindAccount(account);
    if (entry != nullptr) {
      const double share = 1 - service->document.cut_off_reserve;
      sum.rate += entry->rate * share;
      sum.burst += entry->burst * share;
    }
  }
  if (sum.rate <= 0) {
    return std::nullopt;
  }
  return sum;
}

RateLimit ConfigView::ReservedRateLimitOf(const std::string& account) const {
  RateLimit sum;
  for (const auto& [name, service] : services) {
    const AccountEntry* entry = service->document.FindAccount(account);
    if (entry != nullptr) {
      sum.rate += entry->rate * service->document.cut_off_reserve;
      sum.burst += entry->burst * service->document.cut_off_reserve;
    }
  }
  return sum;
}

void ConfigHolder::Apply(const proto::ConfigState& changes) {
  const ConfigPointer before = current();
  if (changes.index() <= before->index) {
    return;
  }
  auto next = std::make_shared<ConfigView>(*before);
  next->index = changes.index();
  for (const proto::Document& record : changes.documents()) {
    auto& entry = next->services[record.service()];
    if (entry != nullptr && entry->record.version() >= record.version()) {
      continue;
    }
    std::shared_ptr<const ActiveService> service = MakeService(record);
    if (service != nullptr) {
      entry = std::move(service);
    } else if (entry == nullptr) {
      next->services.erase(record.service());
    }
  }
  for (const proto::KeyRecord& key : changes.keys()) {
    KeyEntry& entry = next->keys[key.key_sha256()];
    if (entry.index < key.index()) {
      SEQ_CHECK(!entry.withdrawn || key.withdrawn(),
                "withdrawn key " << key.key_id() << " became valid again");
      entry =
          KeyEntry{key.key_id(), key.account(), key.withdrawn(), key.index()};
    }
  }
  if (changes.has_view() && changes.view().index() > next->view.index()) {
    next->view = changes.view();
  }
  current_.store(std::move(next));
}

void ConfigHolder::ExtendFreshness(TimePoint until) {
  const Duration::rep wanted = until.time_since_epoch().count();
  if (wanted > fresh_until_.load()) {
    fresh_until_.store(wanted);
  }
}

bool ConfigHolder::Fresh(TimePoint now, Duration staleness) const {
  const TimePoint until = fresh_until();
  if (until == TimePoint()) {
    return false;  // Not confirmed since this process started.
  }
  return now < until + staleness;
}

}  // namespace sequoialb
