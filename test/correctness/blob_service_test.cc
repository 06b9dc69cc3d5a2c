// Tests what counts as proof that a blob is stored.
#include "batches/blob_service.h"

#include <gtest/gtest.h>

#include <future>

#include "../fakes/last_message.h"

namespace sequoialb {
namespace {

using fakes::LastMessage;

// A host without a disk, one replica, and the host's service before and after a
// restart.
class BlobServiceTest : public ::testing::Test {
 protected:
  static Settings OneReplica() {
    Settings settings;
    settings.host = "h1";
    HostEntry replica;
    replica.host = "h2";
    replica.replica = true;
    settings.hosts.push_back(replica);
    return settings;
  }

  // Starts to store `data` and returns the number of the request.
  uint64_t StartPut(BlobService& service, const std::string& data,
                    std::future<Result<proto::BlobRef>>& done) {
    posted_ = {};
    done = std::async(std::launch::async, [&service, data] {
      return service.Put(data, 1, Clock::now() + seconds(5));
    });
    posted_.get_future().get()();
    return sender_.last.blob_put().request_id();
  }

  void Reply(BlobService& service, uint64_t request) {
    proto::Envelope reply;
    reply.set_from("h2");
    reply.mutable_blob_put_reply()->set_request_id(request);
    reply.mutable_blob_put_reply()->set_stored(true);
    service.OnEnvelope(reply, Clock::now());
  }

  const Settings settings_ = OneReplica();
  LastMessage sender_;
  Metrics metrics_;
  std::promise<std::function<void()>> posted_;
  const BlobService::Post post_ = [this](std::function<void()> task) {
    posted_.set_value(std::move(task));
  };
  BlobService before_{settings_, nullptr, sender_, metrics_, post_};
  BlobService after_{settings_, nullptr, sender_, metrics_, post_};
};

TEST_F(BlobServiceTest, AReplyToTheProcessBeforeARestartStoresNoBlob) {
  std::future<Result<proto::BlobRef>> first;
  const uint64_t old_request = StartPut(before_, "old", first);
  std::future<Result<proto::BlobRef>> second;
  const uint64_t request = StartPut(after_, "new", second);
  Reply(after_, old_request);
  EXPECT_EQ(second.wait_for(milliseconds(100)), std::future_status::timeout);
  Reply(after_, request);
  EXPECT_TRUE(second.get());
  Reply(before_, old_request);
  EXPECT_TRUE(first.get());
}

}  // namespace
}  // namespace sequoialb
