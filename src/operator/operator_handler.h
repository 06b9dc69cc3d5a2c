// Serves the operators' HTTP API under /admin/v1. Every request must carry the
// operator token.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "entry/entry_context.h"

namespace sequoialb {

void HandleOperator(EntryContext& context,
                    Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response);

}  // namespace sequoialb
