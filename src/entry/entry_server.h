// The HTTP server of a host. It serves callers, backend servers and operators.
#pragma once

#include <memory>

#include "base/error.h"
#include "entry/entry_context.h"

namespace sequoialb {

class EntryServer {
 public:
  // Listens on the host's HTTP address; with a certificate in the settings only
  // TLS is served. Fails with kIo when the address is taken.
  static Result<std::unique_ptr<EntryServer>> Start(EntryContext& context);
  virtual ~EntryServer() = default;

  // Stops accepting connections and waits for the requests in progress.
  virtual void Stop() = 0;
};

}  // namespace sequoialb
