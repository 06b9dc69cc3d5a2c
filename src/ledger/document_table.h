// The replicated service documents, changed by compare-and-set on the version.
//
// An operator sends the version that the change is based on. There are three
// possible results. The change is installed; or it is already installed with
// equal content (a resend after a lost answer), which also counts as success;
// or another change was installed first, and the conflict error names its
// version and author.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "proto/ledger.pb.h"

namespace sequoialb {

class DocumentTable {
 public:
  proto::CommandResult Apply(const proto::PutDocument& command, uint64_t index);

  // Returns the current document of the service, or nullptr.
  const proto::Document* Find(const std::string& service) const;
  const std::map<std::string, proto::Document>& current() const {
    return current_;
  }
  // Returns the retained versions of a service's document, oldest first. The
  // last one is the current version.
  std::vector<proto::Document> History(const std::string& service) const;

  void LoadCurrent(const proto::Document& document);
  void LoadHistory(const proto::Document& document);

 private:
  const proto::Document* FindVersion(const std::string& service,
                                     uint64_t version) const;

  std::map<std::string, proto::Document> current_;
  std::map<std::string, std::deque<proto::Document>> history_;
};

}  // namespace sequoialb
