// A buffered TCP connection on an event loop.
//
// Owners get bytes, the room to write more, and the end of the connection told
// apart: closed by the far end after its last byte, or broken. What a broken
// connection carried last is never taken for complete.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/event_loop.h"
#include "settings/settings.h"

namespace sequoialb {

enum class StreamEnd : uint8_t { kClosed, kBroken };

class TcpStream : public IoHandler {
 public:
  struct Callbacks {
    // New bytes are in `input`; the owner erases what it has used.
    std::function<void()> on_input;
    std::function<void(StreamEnd)> on_end;
    std::function<void()> on_connected = nullptr;
    // All that was written has left this process.
    std::function<void()> on_drained = nullptr;
  };

  // Takes an accepted connection.
  TcpStream(EventLoop& loop, const Poco::Net::StreamSocket& socket,
            Callbacks callbacks);
  // Starts to connect; the owner hears on_connected or on_end.
  TcpStream(EventLoop& loop, const Address& address, Callbacks callbacks);
  ~TcpStream() override;

  void Write(std::string_view data);
  // Closes at once, dropping what was not sent; no callbacks follow.
  void Close();
  // Says that nothing more will be written; reading goes on.
  void ShutdownWrite();

  std::string& input() { return input_; }
  size_t unsent() const { return output_.size() - output_sent_; }
  bool connected() const { return connected_; }

  // Stops reading while the owner cannot take more.
  void PauseInput(bool paused);

  void OnReady(bool readable, bool writable, bool failed) override;

 private:
  void SetSocketOptions();
  void ReadOnce();
  void Flush();
  void UpdateInterest();
  void CloseAndNotify(StreamEnd end);

  EventLoop& loop_;
  Poco::Net::StreamSocket socket_;
  Callbacks callbacks_;
  std::string input_;
  std::string output_;
  size_t output_sent_ = 0;
  bool connected_ = false;
  bool paused_ = false;
  bool open_ = true;
  bool wants_write_ = false;
  // Guards against deletion by a callback.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sequoialb
