#include "entry/batch_handler.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTMLForm.h>
#include <Poco/Net/MessageHeader.h>
#include <Poco/Net/PartHandler.h>
#include <json/value.h>

#include <array>
#include <istream>
#include <ostream>

#include "base/hash.h"
#include "batches/line_splitter.h"
#include "entry/caller_auth.h"
#include "entry/http_io.h"
#include "ledger/command_results.h"
#include "settings/json_fields.h"

namespace sequoialb {
namespace {

constexpr char kFilesPath[] = "/v1/files";
constexpr char kBatchesPath[] = "/v1/batches";
constexpr char kOutputPrefix[] = "output-";
constexpr seconds kQueryTimeout{3};
constexpr seconds kProposeTimeout{5};
constexpr seconds kBlobTimeout{20};
constexpr size_t kIdBytes = 12;
constexpr size_t kReadBufferBytes = 64U << 10U;
constexpr int64_t kMsPerSecond = 1'000;
constexpr uint32_t kMaxItems = 200'000;

std::string BatchStateName(proto::LotState state) {
  switch (state) {
    case proto::LOT_RUNNING:
      return "in_progress";
    case proto::LOT_COMPLETED:
      return "completed";
    case proto::LOT_CANCELLED:
      return "cancelled";
    default:
      return "expired";
  }
}

std::string BatchJson(const proto::LotRecord& batch) {
  Json::Value json;
  json["id"] = batch.id();
  json["object"] = "batch";
  json["endpoint"] = batch.endpoint();
  json["input_file_id"] = batch.input_file();
  json["output_file_id"] = kOutputPrefix + batch.id();
  json["status"] = BatchStateName(batch.state());
  json["created_at"] =
      static_cast<Json::Int64>(batch.created_unix_ms() / kMsPerSecond);
  json["expires_at"] =
      static_cast<Json::Int64>(batch.deadline_unix_ms() / kMsPerSecond);
  if (batch.finished_unix_ms() > 0) {
    json["completed_at"] =
        static_cast<Json::Int64>(batch.finished_unix_ms() / kMsPerSecond);
  }
  json["request_counts"]["total"] = batch.total();
  json["request_counts"]["completed"] = batch.done() - batch.failed();
  json["request_counts"]["failed"] = batch.failed();
  json["owner_host"] = batch.owner();
  return JsonLine(json);
}

std::string FileJson(const proto::FileRecord& file) {
  Json::Value json;
  json["id"] = file.id();
  json["object"] = "file";
  json["bytes"] = static_cast<Json::UInt64>(file.size());
  json["lines"] = file.lines();
  json["created_at"] =
      static_cast<Json::Int64>(file.created_unix_ms() / kMsPerSecond);
  json["purpose"] = "batch";
  return JsonLine(json);
}

// Parses a completion window such as "24h", "30m" or "90s".
Result<milliseconds> ParseWindow(const std::string& text) {
  constexpr int64_t kSecondsPerMinute = 60;
  constexpr int64_t kSecondsPerHour = 3'600;
  char* end = nullptr;
  const int64_t count = std::strtoll(text.c_str(), &end, 10);
  const std::string unit = end == nullptr ? "" : end;
  const int64_t factor = unit == "h"   ? kSecondsPerHour
                         : unit == "m" ? kSecondsPerMinute
                         : unit == "s" ? 1
                                       : 0;
  constexpr int64_t kMaxCount = 10'000;
  if (count <= 0 || count > kMaxCount || factor == 0) {
    return Fail(
        ErrorCode::kInvalidField,
        "completion_window: expected a number with h, m or s, such as \"24h\"");
  }
  return milliseconds(count * factor * kMsPerSecond);
}

// Feeds the uploaded part of a multipart form to the splitter as it arrives.
class UploadPart : public Poco::Net::PartHandler {
 public:
  explicit UploadPart(std::function<Status(std::istream&)> consume)
      : consume_(std::move(consume)) {}

  void handlePart(const Poco::Net::MessageHeader& /*header*/,
                  std::istream& stream) override {
    if (status_) {
      status_ = consume_(stream);
    }
    seen_ = true;
  }

  const Status& status() const { return status_; }
  bool seen() const { return seen_; }

 private:
  std::function<Status(std::istream&)> consume_;
  Status status_;
  bool seen_ = false;
};

class BatchExchange {
 public:
  BatchExchange(EntryContext& context, Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response)
      : context_(context),
        host_(context.host),
        request_(request),
        response_(response) {}

  void Handle() {
    const Result<Caller> caller = Authenticate(request_, host_, Duration(0));
    if (!caller) {
      SendError(response_, caller.error());
      return;
    }
    caller_ = *caller;
    const Status status = Route();
    if (!status) {
      SendError(response_, status.error());
    }
  }

 private:
  Status Route() {
    const std::string path = PathOf(request_);
    const bool post = request_.getMethod() == "POST";
    if (path == kFilesPath && post) {
      return Upload();
    }
    if (path == kBatchesPath) {
      return post ? Create() : ListBatches();
    }
    const bool is_file =
        path.compare(0, sizeof(kFilesPath) - 1, kFilesPath) == 0;
    std::string id =
        path.substr((is_file ? sizeof(kFilesPath) : sizeof(kBatchesPath)));
    std::string action;
    const size_t slash = id.find('/');
    if (slash != std::string::npos) {
      action = id.substr(slash + 1);
      id.resize(slash);
    }
    if (is_file) {
      return action == "content" ? SendContent(id) : ShowFile(id);
    }
    return action == "cancel" && post ? Cancel(id) : ShowBatch(id);
  }

  Result<proto::QueryReply> RunQuery(proto::Query query) {
    query.set_account(caller_.account);
    return host_.Query(std::move(query), Clock::now() + kQueryTimeout);
  }

  Result<proto::CommandResult> Propose(const proto::Command& command) {
    auto result = host_.Propose(command, Clock::now() + kProposeTimeout);
    if (!result) {
      return result;
    }
    const Status status = StatusOf(*result);
    if (!status) {
      return tl::unexpected<Error>(status.error());
    }
    return result;
  }

  // Stores an upload while it is received: each blob is stored on the replicas
  // once it is complete, and the file record that lists the blobs is added
  // last.
  Status Upload() {
    proto::FileRecord file;
    LineSplitter splitter(
        [this, &file](const std::string& data, uint32_t lines) -> Status {
          const auto ref =
              host_.blobs().Put(data, lines, Clock::now() + kBlobTimeout);
          if (!ref) {
            return tl::unexpected<Error>(ref.error());
          }
          *file.add_blobs() = *ref;
          return {};
        });
    Status consumed = ReadUpload(splitter);
    if (!consumed) {
      response_.setKeepAlive(false);
      return consumed;
    }
    if (splitter.lines() == 0) {
      return Fail(ErrorCode::kInvalidField, "the file has no lines");
    }
    // The ID is a hash of the account and the content, so that a repeated
    // upload is the same file.
    std::string id_source = caller_.account;
    for (const proto::BlobRef& blob : file.blobs()) {
      id_source += blob.sha256();
    }
    file.set_id("file-" + Sha256Hex(id_source).substr(0, 2 * kIdBytes));
    file.set_account(caller_.account);
    file.set_size(splitter.bytes());
    file.set_lines(splitter.lines());
    file.set_created_unix_ms(UnixMs());
    proto::Command command;
    *command.mutable_add_file()->mutable_file() = file;
    const auto added = Propose(command);
    if (!added) {
      return tl::unexpected<Error>(added.error());
    }
    SendJson(response_, FileJson(file));
    return {};
  }

  Status ReadUpload(LineSplitter& splitter) {
    const auto consume = [this, &splitter](std::istream& in) {
      return Consume(in, splitter);
    };
    if (request_.getContentType().compare(0, 19, "multipart/form-data") != 0) {
      return consume(request_.stream());
    }
    UploadPart part(consume);
    try {
      const Poco::Net::HTMLForm form(request_, request_.stream(), part);
    } catch (const Poco::Exception& e) {
      return Fail(ErrorCode::kMalformed,
                  "the form could not be read: " + e.displayText());
    }
    if (!part.seen()) {
      return Fail(ErrorCode::kInvalidField, "the form has no file");
    }
    return part.status();
  }

  Status Consume(std::istream& in, LineSplitter& splitter) {
    std::array<char, kReadBufferBytes> buffer{};
    uint64_t bytes_read = 0;
    try {
      while (in.read(buffer.data(), buffer.size()) || in.gcount() > 0) {
        const auto count = static_cast<size_t>(in.gcount());
        bytes_read += count;
        if (bytes_read > host_.settings().http_limits.max_file_bytes) {
          return Fail(ErrorCode::kTooLarge,
                      "the file is over the limit of this host");
        }
        Status fed = splitter.Feed(std::string_view(buffer.data(), count));
        if (!fed) {
          return fed;
        }
        if (splitter.lines() > kMaxItems) {
          return Fail(ErrorCode::kTooLarge, "a file may have " +
                                                std::to_string(kMaxItems) +
                                                " lines at most");
        }
      }
    } catch (const Poco::Exception& e) {
      return Fail(ErrorCode::kMalformed,
                  "the upload was interrupted: " + e.displayText());
    }
    const bool cut_short =
        request_.hasContentLength() && &in == &request_.stream() &&
        bytes_read != static_cast<uint64_t>(request_.getContentLength64());
    if (cut_short) {
      return Fail(ErrorCode::kMalformed,
                  "the connection ended before the whole upload was received");
    }
    return splitter.Finish();
  }

  Status Create() {
    const Result<std::string> body =
        ReadBody(request_, host_.settings().http_limits.max_body_bytes);
    if (!body) {
      return tl::unexpected<Error>(body.error());
    }
    const Result<JsonDocument> json = JsonDocument::Parse(*body, "body");
    if (!json) {
      return tl::unexpected<Error>(json.error());
    }
    FieldReader reader(*json);
    proto::LotRecord batch;
    batch.set_input_file(reader.String("input_file_id"));
    batch.set_endpoint(reader.String("endpoint", "/v1/chat/completions"));
    const std::string window = reader.String("completion_window", "");
    const std::string model = reader.String("model", "");
    reader.Object("metadata");
    Status read = reader.Finish();
    if (!read) {
      return read;
    }
    if (!IsChatPath(batch.endpoint())) {
      return Fail(ErrorCode::kInvalidField,
                  "endpoint: expected a completions path");
    }
    return ChooseService(batch, model)
        .and_then([&] { return SetDeadline(batch, window); })
        .and_then([&] {
          batch.set_content_sha256(Sha256Hex(*body));
          return Record(batch);
        });
  }

  // A batch runs in a service that allows its account and offers models. If
  // there are several, the model named in the request decides.
  Status ChooseService(proto::LotRecord& batch, const std::string& model) {
    const ConfigPointer config = host_.config().current();
    const ActiveService* chosen = nullptr;
    for (const auto& [name, service] : config->services) {
      const bool allowed =
          service->document.FindAccount(caller_.account) != nullptr;
      const bool offers =
          model.empty() || service->document.FindModel(model) != nullptr;
      if (allowed && offers && !service->document.models.empty() &&
          chosen == nullptr) {
        chosen = service.get();
      }
    }
    if (chosen == nullptr) {
      return Fail(ErrorCode::kNotAllowed,
                  "client account " + caller_.account +
                      " is not allowed in any service with that model");
    }
    batch.set_service(chosen->document.service);
    window_ = chosen->document.batch_window;
    return {};
  }

  Status SetDeadline(proto::LotRecord& batch, const std::string& window) {
    if (!window.empty()) {
      const Result<milliseconds> parsed = ParseWindow(window);
      if (!parsed) {
        return tl::unexpected<Error>(parsed.error());
      }
      window_ = *parsed;
    }
    batch.set_deadline_unix_ms(UnixMs() + window_.count());
    return {};
  }

  Status Record(proto::LotRecord& batch) {
    batch.set_id("batch-" + RandomHex(kIdBytes));
    batch.set_account(caller_.account);
    batch.set_idempotency_key(request_.get("Idempotency-Key", ""));
    batch.set_owner(host_.settings().host);
    batch.set_owner_incarnation(host_.incarnation());
    batch.set_created_unix_ms(UnixMs());
    proto::Command command;
    *command.mutable_create_lot()->mutable_lot() = batch;
    const auto created = Propose(command);
    if (!created) {
      return tl::unexpected<Error>(created.error());
    }
    const bool owned_here =
        created->lot().owner() == host_.settings().host &&
        created->lot().owner_incarnation() == host_.incarnation() &&
        created->lot().state() == proto::LOT_RUNNING;
    if (owned_here) {
      context_.batches.Add(created->lot());
    }
    response_.set("X-Sequoialb-Repeated",
                  created->repeated() ? "true" : "false");
    SendJson(response_, BatchJson(created->lot()));
    return {};
  }

  Result<proto::LotRecord> FindBatch(const std::string& id) {
    proto::Query query;
    query.set_lot_id(id);
    const auto reply = RunQuery(query);
    if (!reply) {
      return tl::unexpected<Error>(reply.error());
    }
    if (!reply->found()) {
      return Fail(ErrorCode::kNotFound, "no batch " + id);
    }
    return reply->lot();
  }

  Result<proto::FileRecord> FindFile(const std::string& id) {
    proto::Query query;
    query.set_file_id(id);
    const auto reply = RunQuery(query);
    if (!reply) {
      return tl::unexpected<Error>(reply.error());
    }
    if (!reply->found()) {
      return Fail(ErrorCode::kNotFound, "no file " + id);
    }
    return reply->file();
  }

  Status ShowBatch(const std::string& id) {
    return FindBatch(id).map([this](const proto::LotRecord& batch) {
      SendJson(response_, BatchJson(batch));
    });
  }

  Status ShowFile(const std::string& id) {
    return FindFile(id).map([this](const proto::FileRecord& file) {
      SendJson(response_, FileJson(file));
    });
  }

  Status ListBatches() {
    proto::Query query;
    query.set_lots(true);
    const auto reply = RunQuery(query);
    if (!reply) {
      return tl::unexpected<Error>(reply.error());
    }
    std::string list = "{\"object\":\"list\",\"data\":[";
    for (int i = 0; i < reply->lots_size(); ++i) {
      list += (i > 0 ? "," : "") + BatchJson(reply->lots(i));
    }
    SendJson(response_, list + "]}");
    return {};
  }

  Status Cancel(const std::string& id) {
    proto::Command command;
    command.mutable_cancel_lot()->set_lot_id(id);
    command.mutable_cancel_lot()->set_account(caller_.account);
    command.mutable_cancel_lot()->set_unix_ms(UnixMs());
    const auto cancelled = Propose(command);
    if (!cancelled) {
      return tl::unexpected<Error>(cancelled.error());
    }
    context_.batches.Stop(id);
    SendJson(response_, BatchJson(cancelled->lot()));
    return {};
  }

  // Streams a file's content, or the results of a batch recorded so far.
  Status SendContent(const std::string& id) {
    google::protobuf::RepeatedPtrField<proto::BlobRef> blobs;
    if (id.compare(0, sizeof(kOutputPrefix) - 1, kOutputPrefix) == 0) {
      const auto batch = FindBatch(id.substr(sizeof(kOutputPrefix) - 1));
      if (!batch) {
        return tl::unexpected<Error>(batch.error());
      }
      blobs = batch->output();
    } else {
      const auto file = FindFile(id);
      if (!file) {
        return tl::unexpected<Error>(file.error());
      }
      blobs = file->blobs();
    }
    std::streamsize size = 0;
    for (const proto::BlobRef& blob : blobs) {
      size += static_cast<std::streamsize>(blob.size());
    }
    std::ostream* out = nullptr;
    for (const proto::BlobRef& blob : blobs) {
      const auto data =
          host_.blobs().Read(blob.sha256(), Clock::now() + kBlobTimeout);
      if (!data && out == nullptr) {
        return tl::unexpected<Error>(data.error());
      }
      if (!data) {
        // Part of the answer has been sent. Closing the connection before the
        // Content-Length is reached shows the caller that it is incomplete.
        response_.setKeepAlive(false);
        throw Poco::IOException("blob unreadable while streaming");
      }
      if (out == nullptr) {
        response_.setContentType("application/jsonl");
        response_.setContentLength(size);
        out = &response_.send();
      }
      *out << *data;
    }
    if (out == nullptr) {
      SendBody(response_, "", "application/jsonl");
    }
    return {};
  }

  EntryContext& context_;
  Host& host_;
  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
  Caller caller_;
  milliseconds window_{0};
};

}  // namespace

bool IsBatchPath(const std::string& path) {
  return path.compare(0, sizeof(kFilesPath) - 1, kFilesPath) == 0 ||
         path.compare(0, sizeof(kBatchesPath) - 1, kBatchesPath) == 0;
}

void HandleBatches(EntryContext& context, Poco::Net::HTTPServerRequest& request,
                   Poco::Net::HTTPServerResponse& response) {
  BatchExchange(context, request, response).Handle();
}

}  // namespace sequoialb
