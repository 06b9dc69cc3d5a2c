#include "engine.h"

#include <algorithm>
#include <cstdlib>

namespace case3 {
namespace {

constexpr milliseconds kBeat{1'200};

int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string EventText(const EngineOptions& options, int number) {
  const std::string text = "piece-" + std::to_string(number);
  return text + std::string(options.event_bytes -
                                std::min(options.event_bytes, text.size()),
                            'x');
}

}  // namespace

std::string WholeOutput(const EngineOptions& options) {
  std::string text;
  for (int i = 1; i <= options.events; ++i) {
    text += (i > 1 ? "\n" : "") + EventText(options, i);
  }
  return text;
}

Engine::Engine(EngineOptions options, Fleet& fleet, Record& record)
    : options_(std::move(options)),
      fleet_(fleet),
      record_(record),
      born_(UnixMs()),
      server_(fleet.StandInIp(), [this](int fd) { Serve(fd); }),
      announcer_([this] { Announce(); }) {}

Engine::~Engine() {
  stopping_ = true;
  announcer_.join();
}

std::map<std::string, int> Engine::Runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::multimap<Clock::time_point, std::string> Engine::RunTimes() {
  const std::lock_guard lock(mutex_);
  return by_time_;
}

int Engine::Leave(const std::string& control) {
  left_ = true;
  return Ask(fleet_.Control(control), "DELETE",
             "/sequoialb/instances/" + options_.id, {{"Host", "control"}}, "",
             milliseconds(1'000))
      .status;
}

std::vector<Engine::Span> Engine::Spans() {
  const std::lock_guard lock(mutex_);
  return spans_;
}

void Engine::Announce() {
  size_t next = 0;
  for (int sequence = 1; !stopping_ && !left_; ++sequence) {
    const std::string body =
        "{\"Service\":\"" + options_.service + "\",\"Addr\":\"" +
        server_.endpoint().ip + ":" + std::to_string(server_.endpoint().port) +
        "\",\"Zone\":\"" + options_.zone +
        "\",\"Version\":\"v1\",\"Slots\":" + std::to_string(options_.slots) +
        ",\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"mixed\","
        "\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],"
        "\"Seq\":" +
        std::to_string(sequence) + ",\"born\":" + std::to_string(born_) + "}";
    const std::vector<std::string> names =
        options_.beat_at.empty() ? fleet_.Names("control") : options_.beat_at;
    for (size_t tries = 0; tries < names.size() && !stopping_ && !left_;
         ++tries) {
      const Message answer =
          Ask(fleet_.Control(names[next % names.size()]), "PUT",
              "/sequoialb/instances/" + options_.id, {{"Host", "control"}},
              body, milliseconds(1'000));
      if (answer.status / 100 == 2) {
        break;
      }
      ++next;
    }
    const Clock::time_point until = Clock::now() + kBeat;
    while (Clock::now() < until && !stopping_) {
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
}

void Engine::Serve(int fd) {
  std::string rest;
  Message request;
  while (ReadRequest(fd, rest, request, server_.stopping()) &&
         Answer(fd, request)) {
  }
}

// Returns whether the connection can carry another request.
bool Engine::Answer(int fd, const Message& request) {
  const std::string id = request.Field("Request-Id");
  const auto reply = [&](int status, const std::string& fields) {
    return WriteAll(fd, "HTTP/1.1 " + std::to_string(status) +
                            " -\r\nRequest-Id: " + id + "\r\n" + fields +
                            "Content-Length: 0\r\n\r\n");
  };
  if (request.target == "/health") {
    return reply(200, "Instance-Id: " + options_.id + "\r\n");
  }
  const std::string expected = request.Field("Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    return reply(421, "");
  }
  if (++active_ > options_.slots) {
    --active_;
    return reply(503, "Not-Run: 1\r\n");
  }
  {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
    by_time_.emplace(Clock::now(), id);
  }
  const Clock::time_point begin = Clock::now();
  const bool complete = Work(fd, request);
  --active_;
  const std::lock_guard lock(mutex_);
  spans_.push_back({id, begin, Clock::now(), complete});
  return complete;
}

bool Engine::Work(int fd, const Message& request) {
  const std::string id = request.Field("Request-Id");
  const std::string last = request.Field("Last-Event-Id");
  const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
  record_.Line("engine " + options_.id + " runs " + id + " from event " +
               std::to_string(first));
  if (options_.prompt_tokens_per_ms > 0) {
    const double prompt = std::atof(request.Field("Token-Count").c_str());
    const Clock::time_point read =
        Clock::now() + milliseconds(static_cast<int64_t>(
                           prompt / options_.prompt_tokens_per_ms));
    while (Clock::now() < read) {
      if (PeerLeft(fd) || stopping_) {
        record_.Line("engine " + options_.id + " drops " + id +
                     ", whose connection has closed");
        return false;
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  bool open = WriteAll(
      fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
              "\r\nResponse-Stamp: stamp." + options_.id + "." + id +
              "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
  for (int i = first; i <= options_.events && open && !stopping_; ++i) {
    std::this_thread::sleep_for(options_.pause);
    open = !PeerLeft(fd) &&
           WriteAll(fd, Chunk("id: " + std::to_string(i) +
                              "\ndata: " + EventText(options_, i) + "\n\n"));
  }
  return open && !stopping_ && WriteAll(fd, "0\r\n\r\n");
}

}  // namespace case3
