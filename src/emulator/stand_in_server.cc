#include "emulator/stand_in_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>

#include "requests/backend_client.h"

namespace sequoialb::emulator {
namespace {

constexpr int kMinThreads = 4;
constexpr int kMaxThreads = 512;
constexpr int kBacklog = 1024;
constexpr int kKeepAliveS = 30;

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit Factory(HandlerMaker make) : make_(std::move(make)) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return make_().release();
  }

 private:
  HandlerMaker make_;
};

}  // namespace

void NameAttempt(const Poco::Net::HTTPServerRequest& request,
                 Poco::Net::HTTPServerResponse& response) {
  if (request.has(kAttemptHeader)) {
    response.set(kAttemptHeader, request.get(kAttemptHeader));
  }
}

Status ServeStandIn(const std::string& address, HandlerMaker make_handler,
                    const std::function<void()>& wait_for_stop) {
  Poco::ThreadPool pool(kMinThreads, kMaxThreads + kMinThreads);
  Poco::Net::ServerSocket socket;
  try {
    socket.bind(Poco::Net::SocketAddress(address), true);
    socket.listen(kBacklog);
  } catch (const Poco::Exception& e) {
    return Fail(ErrorCode::kIo,
                "listen on " + address + ": " + e.displayText());
  }
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kBacklog);
  params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveS, 0));
  Poco::Net::HTTPServer server(new Factory(std::move(make_handler)), pool,
                               socket, params);
  server.start();
  wait_for_stop();
  // Exits without waiting for open connections: a stand-in has no state to
  // save, and the exit closes its connections.
  std::_Exit(0);
}

}  // namespace sequoialb::emulator
