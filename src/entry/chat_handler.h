// Handles online (interactive) requests: /v1/chat/completions and
// /v1/completions.
//
// The steps are: authenticate the caller; check that its account may use the
// service and is within its rate limit; record the item on a majority of the
// replicas; acquire a slot; stream the answer. The end of the answer is sent
// only after its result is recorded, so an answer that a caller has received in
// full can always be read again.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "entry/entry_context.h"

namespace sequoialb {

// Handles one request, from its headers to the end of its answer.
void HandleChat(EntryContext& context, Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response);

// Runs an accepted item that was taken over from a lost host. No caller is
// connected to this host for it.
void RunReassignedChatItem(EntryContext& context,
                           const proto::ItemRecord& item);

}  // namespace sequoialb
