#include "ledger/document_table.h"

#include "base/check.h"
#include "ledger/command_results.h"

namespace sequoialb {
namespace {

constexpr size_t kHistoryLength = 100;

}  // namespace

const proto::Document* DocumentTable::Find(const std::string& service) const {
  const auto found = current_.find(service);
  return found == current_.end() ? nullptr : &found->second;
}

const proto::Document* DocumentTable::FindVersion(const std::string& service,
                                                  uint64_t version) const {
  const proto::Document* document = Find(service);
  if (document != nullptr && document->version() == version) {
    return document;
  }
  const auto history = history_.find(service);
  if (history == history_.end()) {
    return nullptr;
  }
  for (const proto::Document& earlier : history->second) {
    if (earlier.version() == version) {
      return &earlier;
    }
  }
  return nullptr;
}

proto::CommandResult DocumentTable::Apply(const proto::PutDocument& command,
                                          uint64_t index) {
  const proto::Document& wanted = command.document();
  const proto::Document* present = Find(wanted.service());
  const uint64_t version = present == nullptr ? 0 : present->version();
  const proto::Document* same_version =
      FindVersion(wanted.service(), command.base_version() + 1);
  if (same_version != nullptr && same_version->content() == wanted.content()) {
    proto::CommandResult result = Repeated();
    *result.mutable_document() = *same_version;
    return result;
  }
  if (command.base_version() != version) {
    const std::string current_state =
        present == nullptr ? "no document exists yet"
                           : "version " + std::to_string(version) + " by " +
                                 present->author() + " is in force";
    proto::CommandResult result = Refused(
        ErrorCode::kVersionConflict,
        "the change is based on version " +
            std::to_string(command.base_version()) + ", but " + current_state);
    if (present != nullptr) {
      *result.mutable_document() = *present;
    }
    return result;
  }
  proto::Document installed = wanted;
  installed.set_version(version + 1);
  installed.set_index(index);
  if (present != nullptr) {
    SEQ_CHECK(installed.version() > present->version(),
              "document version decreases");
    auto& history = history_[wanted.service()];
    history.push_back(*present);
    if (history.size() > kHistoryLength) {
      history.pop_front();
    }
  }
  current_[wanted.service()] = installed;
  proto::CommandResult result;
  *result.mutable_document() = installed;
  return result;
}

std::vector<proto::Document> DocumentTable::History(
    const std::string& service) const {
  std::vector<proto::Document> out;
  const auto history = history_.find(service);
  if (history != history_.end()) {
    out.assign(history->second.begin(), history->second.end());
  }
  const proto::Document* present = Find(service);
  if (present != nullptr) {
    out.push_back(*present);
  }
  return out;
}

void DocumentTable::LoadCurrent(const proto::Document& document) {
  current_[document.service()] = document;
}

void DocumentTable::LoadHistory(const proto::Document& document) {
  history_[document.service()].push_back(document);
}

}  // namespace sequoialb
