// A buffered TCP connection on an event loop.
//
// Callbacks report received bytes, an emptied output buffer, and the end of the
// connection. The end is either an orderly close by the peer or a broken
// connection; data cut off by a broken connection must never be treated as
// complete. The kernel reports the error of a connection only once, to a read
// or to a write, and after that a read finds an end like that of an orderly
// close. A connection on which a write has failed is therefore broken, however
// its input ends.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/event_loop.h"
#include "settings/settings.h"

namespace sequoialb {

// kRefused: the connection was not established, because no process listens at
// the address.
enum class StreamEnd : uint8_t { kClosed, kBroken, kRefused };

class TcpStream : public IoHandler {
 public:
  struct Callbacks {
    // `input` has new bytes; the callback erases those that it has consumed.
    std::function<void()> on_input;
    std::function<void(StreamEnd)> on_end;
    std::function<void()> on_connected = nullptr;
    // All buffered output has been handed to the kernel.
    std::function<void()> on_drained = nullptr;
    // Asked when the peer has ended its data while output is unsent. If it
    // returns true, the output is sent first, and on_end then tells whether the
    // peer took it; otherwise the connection ends at once. May be empty.
    std::function<bool()> sends_after_input = nullptr;
  };

  // Wraps an accepted connection.
  TcpStream(EventLoop &loop, const Poco::Net::StreamSocket &socket,
            Callbacks callbacks);
  // Starts to connect; on_connected or on_end reports the result.
  TcpStream(EventLoop &loop, const Address &address, Callbacks callbacks);
  ~TcpStream() override;

  void Write(std::string_view data);
  // Closes immediately and discards unsent output. No callbacks follow.
  void Close();
  // Shuts down the sending direction; the stream can still be read.
  void ShutdownWrite();

  std::string &input() { return input_; }
  size_t unsent() const { return output_.size() - output_sent_; }
  // Memory allocated for unread input and unsent output.
  size_t buffered_bytes() const {
    return input_.capacity() + output_.capacity();
  }
  bool connected() const { return connected_; }

  // Pauses or resumes reading, so that a slow consumer limits buffered input.
  void PauseInput(bool paused);

  void OnReady(bool readable, bool writable, bool failed) override;

 private:
  void SetSocketOptions();
  // Reports a connection that could not be started.
  void FailToConnect(StreamEnd end);
  void ReadOnce();
  void OnInputEnd();
  void Flush();
  void UpdateInterest();
  void CloseAndNotify(StreamEnd end);

  EventLoop &loop_;
  Poco::Net::StreamSocket socket_;
  Callbacks callbacks_;
  std::string input_;
  std::string output_;
  size_t output_sent_ = 0;
  bool connected_ = false;
  bool paused_ = false;
  bool open_ = true;
  bool wants_write_ = false;
  bool write_failed_ = false;
  // The peer has ended its data, and output is still being sent.
  bool input_ended_ = false;
  // Lets a method detect that a callback has deleted this stream.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sequoialb
