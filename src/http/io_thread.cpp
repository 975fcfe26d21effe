#include "http/io_thread.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace heathtrestle::http {

struct io_thread::state {
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      context.get_executor()};
  std::thread thread;
};

io_thread::io_thread() : state_(std::make_unique<state>()) {
  state_->thread = std::thread([this] { state_->context.run(); });
}

io_thread::~io_thread() {
  state_->work.reset();
  state_->context.stop();
  state_->thread.join();
}

boost::asio::io_context &io_thread::context() { return state_->context; }

} // namespace heathtrestle::http
