// Handles requests to plain services, which are routed by path.
//
// Idempotent calls may be retried on another server after a failure. A call
// that is not idempotent is an accepted item: the intent to send it is recorded
// after the connection is established and before the first byte is sent, so
// that after any failure it is known whether it may have run. It is sent at
// most once, and a lost call is reported as unknown, never as not run.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "entry/entry_context.h"

namespace sequoialb {

// Handles a request whose path matches a route of a service document.
void HandlePlain(EntryContext& context, Poco::Net::HTTPServerRequest& request,
                 Poco::Net::HTTPServerResponse& response);

// Runs an accepted call that was taken over from a lost host before it was
// sent.
void RunReassignedPlainItem(EntryContext& context,
                            const proto::ItemRecord& assigned);

}  // namespace sequoialb
