// Handles batch jobs and their files with the interface of the OpenAI batch
// API: /v1/files and /v1/batches.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "entry/entry_context.h"

namespace sequoialb {

// Handles all paths below /v1/files and /v1/batches.
void HandleBatches(EntryContext& context, Poco::Net::HTTPServerRequest& request,
                   Poco::Net::HTTPServerResponse& response);

// Returns true for the paths that HandleBatches handles.
bool IsBatchPath(const std::string& path);

}  // namespace sequoialb
