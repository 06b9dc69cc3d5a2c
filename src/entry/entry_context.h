// The state that the HTTP handlers of one host share.
#pragma once

#include "batches/batch_runner.h"
#include "entry/request_gate.h"
#include "host/host.h"
#include "requests/chat_runner.h"
#include "requests/item_ledger.h"

namespace sequoialb {

struct EntryContext {
  explicit EntryContext(Host& h)
      : host(h), chat(h), items(h), batches(h, chat) {}

  Host& host;
  RequestGate gate;
  ChatRunner chat;
  ItemLedger items;
  BatchRunner batches;
};

}  // namespace sequoialb
