// The calls of operators and backend servers to a control host in decoded form,
// and the interface of the platform adapter that decodes them.
#pragma once

#include <string>
#include <variant>

#include "catalog/catalog.h"
#include "http/message.h"
#include "proto/fleet.pb.h"

namespace sequoialb {

struct PutCatalog {
  uint64_t version = 0;
  std::string content;
};
struct ReadCatalog {};
struct AnnounceBackend {
  proto::BackendRecord record;
};
struct DeregisterBackend {
  std::string id;
};
struct RetireHost {
  std::string host;
};
struct ReadRetireStatus {
  std::string host;
};
// Orders that nothing new is sent to the backend servers of a failure domain,
// or revokes that order.
struct OrderEvacuation {
  std::string failure_domain;
  bool evacuated = false;
};
using ControlRequest =
    std::variant<PutCatalog, ReadCatalog, AnnounceBackend, DeregisterBackend,
                 RetireHost, ReadRetireStatus, OrderEvacuation>;

class ControlProtocol {
 public:
  virtual ~ControlProtocol() = default;

  // Fails with kNotFound for an unknown call, or with an error that says what
  // is wrong with a known one.
  virtual Result<ControlRequest> Decode(const RequestHead& head,
                                        const std::string& body) const = 0;
  // Decodes a stored catalog. Does not run CheckCatalog.
  virtual Result<Catalog> DecodeCatalog(const std::string& content) const = 0;
  // Encodes the response to ReadRetireStatus.
  virtual std::string EncodeRetireStatus(bool retired) const = 0;
};

}  // namespace sequoialb
