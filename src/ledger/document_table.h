// The replicated service documents: compare-and-set on the version.
//
// An operator sends the version that the change is based on. Three answers are
// possible: the change is installed; it is already there with equal content (a
// resend after a lost answer), which is the same success; or another change
// won, and the conflict names it.
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

  // Returns the document in force, or nullptr.
  const proto::Document* Find(const std::string& service) const;
  const std::map<std::string, proto::Document>& current() const {
    return current_;
  }
  // Earlier versions of a service's document, oldest first.
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
