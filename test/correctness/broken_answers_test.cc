// End-to-end tests of backend servers in trouble: what a caller receives when a
// server's answer is malformed or cut, and whether the refusal tells the truth
// about execution.
#include <gtest/gtest.h>

#include "../fakes/fleet_fixture.h"
#include "platform/json_values.h"

namespace sequoialb {
namespace {

using fakes::Answer;
using fakes::Call;
using fakes::RawServer;

// How a server ends the connection after its answer.
enum class Ending : uint8_t { kClose, kReset };

struct BrokenAnswer {
  std::string name;
  // The server sends the id of the request in place of the first "@".
  std::string bytes;
  Ending ending = Ending::kClose;
};

// Heads that no HTTP parser may accept, each before a complete body.
std::vector<BrokenAnswer> MalformedHeads() {
  const std::string stamp = "Request-Id: @\r\nResponse-Stamp: s\r\n";
  const std::string body = "Content-Length: 2\r\n\r\nok";
  const std::string ok = "HTTP/1.1 200 OK\r\n" + stamp;
  return {
      {"status 000", "HTTP/1.1 000 Weird\r\n" + stamp + body},
      {"status 000 without a reason", "HTTP/1.1 000\r\n" + stamp + body},
      {"status 099", "HTTP/1.1 099 Low\r\n" + stamp + body},
      {"status 600", "HTTP/1.1 600 High\r\n" + stamp + body},
      {"line feed in the reason", "HTTP/1.1 200 OK\nX: y\r\n" + stamp + body},
      {"switch of protocols",
       "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" + ok + body},
      {"blank in a name", ok + "X Y: z\r\n" + body},
      {"blank before a name", ok + " X: z\r\n" + body},
      {"blank after a name", ok + "X : z\r\n" + body},
      {"tab after a name", ok + "X\t: z\r\n" + body},
      {"blank after the name of the length",
       ok + "Content-Length : 2\r\n\r\nok and bytes of no answer"},
      {"blank after the name of the coding",
       ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
      {"control byte in a name", ok + "X\x01Y: z\r\n" + body},
      {"NUL in a name", ok + "X" + std::string(1, '\0') + "Y: z\r\n" + body},
      {"DEL in a name", ok + "X\x7fY: z\r\n" + body},
      {"carriage return in a name", ok + "X\rY: z\r\n" + body},
      {"line feed in a name", ok + "X\nY: z\r\n" + body},
      {"empty name", ok + ": z\r\n" + body},
  };
}

// A backend server that gives every request the same broken answer before it
// has read the body.
class BrokenServer : public RawServer {
 public:
  explicit BrokenServer(BrokenAnswer answer)
      : RawServer([this, answer = std::move(answer)](auto& socket, int) {
          socket.setReceiveTimeout(Poco::Timespan(10, 0));
          const std::string head = ReadHead(socket);
          if (head.empty()) {
            return;
          }
          ++requests;
          const std::string field = "Request-Id: ";
          const size_t begin = head.find(field) + field.size();
          std::string bytes = answer.bytes;
          const size_t mark = bytes.find('@');
          if (mark != std::string::npos) {
            bytes.replace(mark, 1,
                          head.substr(begin, head.find('\r', begin) - begin));
          }
          Write(socket, bytes);
          if (answer.ending == Ending::kReset) {
            // Lets the answer arrive before the reset.
            std::this_thread::sleep_for(milliseconds(30));
            socket.setLinger(true, 0);
          }
        }) {}

  std::atomic<int> requests{0};

 private:
  static std::string ReadHead(Poco::Net::StreamSocket& socket) {
    std::string head;
    char c = 0;
    while (head.find("\r\n\r\n") == std::string::npos) {
      if (socket.receiveBytes(&c, 1) <= 0) {
        return "";
      }
      head.push_back(c);
    }
    return head;
  }
};

class BrokenAnswersTest : public fakes::FleetFixture {
 protected:
  // As large as the front accepts, and more than the sockets between it and a
  // server buffer.
  static constexpr size_t kLongBody = 4U << 20U;

  // Adds the services "t0", "t1", ... with routes of several kinds each. The
  // routes /a/ and /b/ of the fixture stay.
  void AddServices(size_t count) {
    std::string routes;
    std::string services;
    for (size_t i = 0; i < count; ++i) {
      const std::string number = std::to_string(i);
      routes += RouteJson("once" + number, "unsafe", "t" + number) +
                RouteJson("again" + number, "safe", "t" + number) +
                RouteJson("events" + number, "stream", "t" + number);
      services += R"(,{"Name":"t)" + number + R"(","Engine":{"Slots":4}})";
    }
    const std::string catalog =
        R"({"Version":2,"Routes":[)" + routes + RouteJson("a", "stream", "s") +
        R"({"Name":"b","Host":"h.example","PathPrefix":"/b/","Kind":"bulk",)"
        R"("TimeoutMs":5000,"SloMs":1000,"Service":"s","Attempts":3,)"
        R"("DueMs":18000,"MaxWaitS":60,"Cap":100000}],)"
        R"("Services":[{"Name":"s","Engine":{"Slots":4}})" +
        services +
        R"(],"Tenants":[{"Name":"acct","ApiKeys":["k1"],"RatePerS":500,)"
        R"("Burst":500}]})";
    WaitUntil([&] {
      return Call(ControlAt(0), "PUT /sequoialb/config", "", catalog).status ==
             200;
    });
    WaitUntil([&] { return fakes::Parse(SendRequest("once0")).status == 503; });
  }

  static std::string RouteJson(const std::string& path, const std::string& kind,
                               const std::string& service) {
    return R"({"Name":")" + path + R"(","Host":"h.example","PathPrefix":"/)" +
           path + R"(/","Kind":")" + kind +
           R"(","TimeoutMs":9000,"SloMs":2000,"Service":")" + service +
           R"(","Attempts":3,"Resumable":true,"GapTargetMs":2000},)";
  }

  // Announces a server of the failure domain of front 6.
  void Announce(const RawServer& server, const std::string& id,
                const std::string& service) {
    const std::string body =
        R"({"Service":")" + service + R"(","Addr":")" +
        server.address().ToString() +
        R"(","Zone":"d0","Version":"v1","Slots":4,"State":"ready",)" +
        R"("ColdLeftMs":0,"born":1000,"Seq":)" +
        std::to_string(++announcements_) + "}";
    Call(ControlAt(0), "PUT /sequoialb/instances/" + id, "", body);
  }

  // Sends a request and returns all bytes that its caller gets.
  std::string SendRequest(const std::string& path,
                          const std::string& body = "") {
    fakes::RawClient client(FrontAt(6));
    client.Send("POST /" + path + "/x HTTP/1.1\r\nHost: h.example\r\n" +
                "Key: k1\r\nRequest-Id: q-" + RandomHex(6) +
                "\r\nDeadline-Ms: 9000\r\nConnection: close\r\n" +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body);
    return client.ReadAll();
  }

  // Sends requests to a route of service `number` until `server`, its only one,
  // has got one, and returns the bytes that its caller gets. Until then, the
  // requests must be refused as not run.
  std::string BytesFrom(BrokenServer& server, size_t number,
                        const std::string& kind, const std::string& body = "") {
    const std::string digits = std::to_string(number);
    const int before = server.requests;
    std::string bytes;
    WaitUntil([&] {
      Announce(server, "broken" + digits, "t" + digits);
      bytes = SendRequest(kind + digits, body);
      if (server.requests > before) {
        return true;
      }
      const Answer refusal = fakes::Parse(bytes);
      EXPECT_EQ(refusal.status, 503) << bytes;
      EXPECT_NE(refusal.body.find("\"run\":\"not_run\""), std::string::npos)
          << bytes;
      return false;
    });
    return bytes;
  }

 private:
  std::atomic<int> announcements_{0};
};

// The server may have run what it answered, so nothing is promised.
TEST_F(BrokenAnswersTest, AMalformedHeadBecomesARefusalThatPromisesNothing) {
  const std::vector<BrokenAnswer> answers = MalformedHeads();
  std::vector<std::unique_ptr<BrokenServer>> servers;
  for (const BrokenAnswer& answer : answers) {
    servers.push_back(std::make_unique<BrokenServer>(answer));
  }
  AddServices(servers.size());
  // At the same time, because a new server gets its first request after
  // seconds.
  std::vector<std::thread> callers;
  for (size_t i = 0; i < servers.size(); ++i) {
    callers.emplace_back([&, i] {
      for (const char* kind : {"once", "again", "events"}) {
        const std::string bytes = BytesFrom(*servers[i], i, kind);
        const Answer answer = fakes::Parse(bytes);
        EXPECT_EQ(answer.status, 502) << answers[i].name << " " << bytes;
        EXPECT_NE(answer.body.find("\"run\":\"unknown\""), std::string::npos)
            << answers[i].name << " " << bytes;
        EXPECT_EQ(bytes.find("Response-Stamp"), std::string::npos) << bytes;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
}

// Guards against the part of an answer that a caller takes for a whole one: the
// server answers a long request at once, without a length, and resets the
// connection before it has read the request.
TEST_F(BrokenAnswersTest, APartBeforeAResetDuringTheRequestIsCut) {
  const std::string body(kLongBody, 'x');
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: @\r\nResponse-Stamp: s\r\n";
  BrokenServer plain({"plain", head + "\r\npart", Ending::kReset});
  BrokenServer events({"events",
                       head + "Content-Type: text/event-stream\r\n\r\n" +
                           "id: 0\ndata: t0\n\nid: 1\ndata: t1\n\n",
                       Ending::kReset});
  AddServices(2);
  for (const char* kind : {"once", "again", "events"}) {
    for (const std::string& bytes :
         {BytesFrom(plain, 0, kind, body), BytesFrom(events, 1, kind, body)}) {
      // Cut inside its body, or refused without a promise.
      const Answer answer = fakes::Parse(bytes);
      EXPECT_TRUE(answer.status == 0 || answer.status == 502)
          << kind << " " << bytes;
      EXPECT_EQ(bytes.find("not_run"), std::string::npos) << bytes;
    }
  }
}

// The stream goes on at another server.
TEST_F(BrokenAnswersTest, AStreamCutDuringTheRequestIsResumed) {
  const std::string body(kLongBody, 'x');
  BrokenServer server({"events",
                       "HTTP/1.1 200 OK\r\nRequest-Id: @\r\n"
                       "Response-Stamp: s\r\n"
                       "Content-Type: text/event-stream\r\n\r\n"
                       "id: 0\ndata: t0\n\nid: 1\ndata: t1\n\n",
                       Ending::kReset});
  AddServices(1);
  // A sound server of the same service in another failure domain: the front
  // prefers the local one.
  std::string sound = engines_[1]->AnnouncementBody("d1", 1'000);
  sound.replace(sound.find("\"s\""), 3, "\"t0\"");
  WaitUntil([&] {
    Call(ControlAt(1), "PUT /sequoialb/instances/e1", "", sound);
    return fakes::Parse(SendRequest("events0")).status == 200;
  });
  WaitUntil([&] {
    Announce(server, "broken", "t0");
    const std::string bytes = SendRequest("events0", body);
    const Answer answer = fakes::Parse(bytes);
    EXPECT_EQ(answer.status, 200) << bytes;
    EXPECT_EQ(answer.body, WholeStream()) << bytes;
    return server.requests >= 3;
  });
}

// Items that a broken server has got are done by the others, with their whole
// output.
TEST_F(BrokenAnswersTest, ItemsWithMalformedHeadsAreDoneByOtherServers) {
  constexpr int kItems = 60;
  std::vector<std::unique_ptr<BrokenServer>> servers;
  for (const BrokenAnswer& answer : MalformedHeads()) {
    servers.push_back(std::make_unique<BrokenServer>(answer));
  }
  const auto announce = [&] {
    for (size_t i = 0; i < servers.size(); ++i) {
      Announce(*servers[i], "broken" + std::to_string(i), "s");
    }
    AnnounceEngines();
  };
  int requests = 0;
  for (int jobs = 0; requests == 0; ++jobs) {
    const std::string job = "job" + std::to_string(jobs);
    std::string items;
    for (int i = 0; i < kItems; ++i) {
      items += std::string(i == 0 ? "" : ",") + R"({"Id":")" + job + "-" +
               std::to_string(i) +
               R"(","Path":"/b/1","Headers":{"Model":"m"},"Body":"Ym9keQ==",)" +
               R"("Tokens":10})";
    }
    WaitUntil([&] {
      announce();
      return Call(FrontAt(6), "POST /b/" + job,
                  "Request-Id: " + job + "\r\nKey: k1\r\n",
                  R"({"Items":[)" + items + "]}")
                 .status == 202;
    });
    Json::Value results;
    WaitUntil([&] {
      announce();
      const Answer answer = Call(
          FrontAt(7), "GET /sequoialb/lots/" + job + "?After=0", "Key: k1\r\n");
      if (answer.status != 200) {
        return false;
      }
      results = *platform::ParseObject(answer.body);
      return results["Results"].size() == kItems;
    });
    for (const Json::Value& result : results["Results"]) {
      EXPECT_EQ(result["State"].asString(), "complete");
      EXPECT_EQ(result["Output"].asString(), WholeOutput());
    }
    for (const auto& server : servers) {
      requests += server->requests;
    }
  }
}

}  // namespace
}  // namespace sequoialb
