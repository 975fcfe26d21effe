// The thread that runs all socket operations of a process.
#pragma once

#include <memory>

namespace boost::asio {
class io_context;
}

namespace heathtrestle::http {

class io_thread {
public:
  io_thread();
  /// Ends outstanding operations and joins the thread.
  ~io_thread();
  io_thread(const io_thread &) = delete;
  io_thread &operator=(const io_thread &) = delete;

  boost::asio::io_context &context();

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace heathtrestle::http
