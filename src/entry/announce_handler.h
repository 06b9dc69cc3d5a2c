// Handles POST /v1/backends/announce, with which a backend server announces
// its address, models, slots and load to a host of its own failure domain.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "entry/entry_context.h"
#include "proto/peer.pb.h"

namespace sequoialb {

// Parses and checks an announcement's JSON.
Result<proto::Backend> ParseAnnouncement(const std::string& body);

void HandleAnnounce(EntryContext& context,
                    Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response);

}  // namespace sequoialb
