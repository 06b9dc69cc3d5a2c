#include "config/config_view.h"

#include "base/check.h"
#include "observe/log.h"

namespace sequoialb {
namespace {

std::shared_ptr<const ServiceInForce> MakeService(
    const proto::Document& record) {
  Result<ServiceDocument> document =
      ParseServiceDocument(record.content(), record.service() + ".json");
  if (!document) {
    LogError("document_unreadable", {{"service", record.service()},
                                     {"reason", document.error().detail}});
    return nullptr;
  }
  return std::make_shared<const ServiceInForce>(
      ServiceInForce{record, std::move(*document)});
}

}  // namespace

const KeyInForce* ConfigView::FindKey(const std::string& key_sha256) const {
  const auto found = keys.find(key_sha256);
  return found == keys.end() ? nullptr : &found->second;
}

const ServiceInForce* ConfigView::FindForModel(
    const std::string& model, const std::string& account) const {
  const ServiceInForce* offered = nullptr;
  for (const auto& [name, service] : services) {
    if (service->document.FindModel(model) == nullptr) {
      continue;
    }
    if (service->document.FindAccount(account) != nullptr) {
      return service.get();
    }
    offered = service.get();
  }
  return offered;
}

const ServiceInForce* ConfigView::FindForPath(const std::string& path) const {
  const ServiceInForce* best = nullptr;
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

std::optional<RateLimit> ConfigView::TermsOf(const std::string& account) const {
  RateLimit sum;
  for (const auto& [name, service] : services) {
    const AccountTerms* terms = service->document.FindAccount(account);
    if (terms != nullptr) {
      const double share = 1 - service->document.cut_off_reserve;
      sum.rate += terms->rate * share;
      sum.burst += terms->burst * share;
    }
  }
  if (sum.rate <= 0) {
    return std::nullopt;
  }
  return sum;
}

RateLimit ConfigView::ReserveOf(const std::string& account) const {
  RateLimit sum;
  for (const auto& [name, service] : services) {
    const AccountTerms* terms = service->document.FindAccount(account);
    if (terms != nullptr) {
      sum.rate += terms->rate * service->document.cut_off_reserve;
      sum.burst += terms->burst * service->document.cut_off_reserve;
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
    auto& slot = next->services[record.service()];
    if (slot != nullptr && slot->record.version() >= record.version()) {
      continue;
    }
    std::shared_ptr<const ServiceInForce> service = MakeService(record);
    if (service != nullptr) {
      slot = std::move(service);
    } else if (slot == nullptr) {
      next->services.erase(record.service());
    }
  }
  for (const proto::KeyRecord& key : changes.keys()) {
    KeyInForce& slot = next->keys[key.key_sha256()];
    if (slot.index < key.index()) {
      SEQ_CHECK(!slot.withdrawn || key.withdrawn(),
                "withdrawn key " << key.key_id() << " returns");
      slot =
          KeyInForce{key.key_id(), key.account(), key.withdrawn(), key.index()};
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
    return false;  // Never confirmed since this process started.
  }
  return now < until + staleness;
}

}  // namespace sequoialb
