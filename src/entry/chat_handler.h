// Online questions: /v1/chat/completions and /v1/completions.
//
// The steps are: who asks, may they, are they within their rate; record the
// item on a majority; borrow a slot; stream. The answer's end is sent only
// after its result is recorded, so an answer that a caller has seen whole can
// always be read again.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "entry/entry_context.h"

namespace sequoialb {

// Handles one question, from its headers to the end of its answer.
void HandleChat(EntryContext& context, Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response);

// Runs an accepted item that has no caller here: one taken over from a lost
// host.
void RunReassignedChatItem(EntryContext& context,
                           const proto::ItemRecord& item);

}  // namespace sequoialb
