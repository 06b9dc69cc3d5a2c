// The quarantines in force. A quarantine names one or more parts of prompts; a
// request whose prompt has all of them is not sent to any server, but as a
// trial. Several parts are named while all crashes had them together, so that
// sound requests with one of them are still served.
#pragma once

#include <string>
#include <vector>

#include "proto/fleet.pb.h"

namespace sequoialb {

using Quarantines = google::protobuf::RepeatedPtrField<proto::Quarantine>;

// Returns whether a request with these shared parts falls under the quarantine.
bool Covers(const proto::Quarantine& quarantine,
            const std::vector<std::string>& shared_parts);

// Returns the first quarantine that covers a request with these shared parts,
// or nullptr.
const proto::Quarantine* FindQuarantine(
    const Quarantines& quarantines,
    const std::vector<std::string>& shared_parts);

// Returns all quarantines that cover a request with these shared parts.
std::vector<const proto::Quarantine*> AllQuarantines(
    const Quarantines& quarantines,
    const std::vector<std::string>& shared_parts);

// Returns the parts of a quarantine, which identify it.
std::vector<std::string> PartsOf(const proto::Quarantine& quarantine);

// Returns a hash by which hosts compare their lists; 0 for an empty list.
uint64_t HashOf(const Quarantines& quarantines);

// Takes the list of a leader's reply over into `known`, and returns whether it
// has changed. A reply leaves its list out when the host had the same one at
// the time of its heartbeat; such a reply is ignored if the host has another
// one by now.
bool TakeQuarantines(const proto::HelloReply& reply, proto::HelloReply& known);

// Returns the parts as "a+b", for logs and error messages.
std::string PartsText(const std::vector<std::string>& parts);
std::string PartsText(const proto::Quarantine& quarantine);

}  // namespace sequoialb
