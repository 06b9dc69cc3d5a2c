// Requests to plain services, routed by path.
//
// Idempotent calls may be repeated on another server when one fails. A call
// that may not be repeated is an accepted item: the intent to send is recorded
// after the connection stands and before its first byte, so that after any
// failure it is known whether it may have run. It is sent once at the most, and
// its loss is reported as unknown, never as not run.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "entry/entry_context.h"

namespace sequoialb {

// Handles a request for a path of a service document's routes.
void HandlePlain(EntryContext& context, Poco::Net::HTTPServerRequest& request,
                 Poco::Net::HTTPServerResponse& response);

// Runs an accepted call that was taken over before it was sent.
void RunReassignedPlainItem(EntryContext& context,
                            const proto::ItemRecord& item);

}  // namespace sequoialb
