// Blocking HTTP/1.1 over loopback sockets for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline steady::time_point process_start() {
  static const steady::time_point start = steady::now();
  return start;
}

/// Seconds since this process started.
inline double seconds_now() {
  return std::chrono::duration<double>(steady::now() - process_start()).count();
}

inline void pause_ms(double count) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(count));
}

struct less_no_case {
  bool operator()(const std::string &left, const std::string &right) const {
    return strcasecmp(left.c_str(), right.c_str()) < 0;
  }
};
using headers = std::map<std::string, std::string, less_no_case>;

struct http_message {
  std::string first_line;
  headers head;
  std::string body;

  std::string header(const std::string &name) const {
    const auto found = head.find(name);
    return found == head.end() ? std::string() : found->second;
  }
  std::string method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string target() const {
    const std::size_t begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  int status() const {
    const std::size_t begin = first_line.find(' ');
    return begin == std::string::npos
               ? 0
               : std::atoi(first_line.c_str() + begin + 1);
  }
};

/// A connected socket with a read buffer. Writes are serialised.
class connection {
public:
  explicit connection(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~connection() { ::close(descriptor_); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  static std::shared_ptr<connection> open(const std::string &host, int port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&address),
                  sizeof address) != 0) {
      ::close(descriptor);
      return nullptr;
    }
    return std::make_shared<connection>(descriptor);
  }

  bool write(const std::string &bytes) {
    const std::scoped_lock lock(writing_);
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t n = ::send(descriptor_, bytes.data() + done,
                               bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  void shut() { ::shutdown(descriptor_, SHUT_RDWR); }

  /// Waits until bytes or the end have arrived.
  /// @return false when neither came in time.
  bool readable(int wait_ms) {
    if (!buffer_.empty()) {
      return true;
    }
    pollfd watched{descriptor_, POLLIN, 0};
    return ::poll(&watched, 1, wait_ms) > 0;
  }

  /// True when the peer has closed the connection.
  bool closed_by_peer() {
    char byte = 0;
    const ssize_t n =
        ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /// Reads one message with its whole body. Chunked bodies are joined;
  /// `on_chunk` is called for each chunk as it arrives.
  /// @return nothing when the connection ended or `wait_ms` passed.
  std::optional<http_message>
  read(int wait_ms,
       const std::function<void(const std::string &)> &on_chunk = {}) {
    const auto until = steady::now() + ms(wait_ms);
    std::optional<std::string> text = take_until("\r\n\r\n", until);
    if (!text) {
      return std::nullopt;
    }
    http_message message;
    std::size_t at = text->find("\r\n");
    message.first_line = text->substr(0, at);
    while (at != std::string::npos && at + 2 < text->size()) {
      const std::size_t begin = at + 2;
      at = text->find("\r\n", begin);
      const std::string line = text->substr(begin, at - begin);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        message.head[line.substr(0, colon)] = line.substr(value);
      }
    }
    if (message.header("Transfer-Encoding") == "chunked") {
      while (true) {
        const auto size_line = take_until("\r\n", until);
        if (!size_line) {
          return std::nullopt;
        }
        const std::size_t size = std::strtoul(size_line->c_str(), nullptr, 16);
        const auto chunk = take(size + 2, until);
        if (!chunk) {
          return std::nullopt;
        }
        if (size == 0) {
          return message;
        }
        message.body += chunk->substr(0, size);
        if (on_chunk) {
          on_chunk(chunk->substr(0, size));
        }
      }
    }
    const std::size_t size =
        std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
    auto body = take(size, until);
    if (!body) {
      return std::nullopt;
    }
    message.body = std::move(*body);
    return message;
  }

private:
  bool fill(steady::time_point until) {
    const auto left =
        std::chrono::duration_cast<ms>(until - steady::now()).count();
    pollfd watched{descriptor_, POLLIN, 0};
    if (left <= 0 || ::poll(&watched, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t n = ::recv(descriptor_, bytes, sizeof bytes, 0);
    if (n <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  std::optional<std::string> take_until(const std::string &mark,
                                        steady::time_point until) {
    std::size_t found = buffer_.find(mark);
    while (found == std::string::npos) {
      if (!fill(until)) {
        return std::nullopt;
      }
      found = buffer_.find(mark);
    }
    std::string taken = buffer_.substr(0, found);
    buffer_.erase(0, found + mark.size());
    return taken;
  }
  std::optional<std::string> take(std::size_t size, steady::time_point until) {
    while (buffer_.size() < size) {
      if (!fill(until)) {
        return std::nullopt;
      }
    }
    std::string taken = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return taken;
  }

  int descriptor_;
  std::mutex writing_;
  std::string buffer_;
};

using connection_ptr = std::shared_ptr<connection>;

inline std::string to_text(const std::string &first_line, const headers &head,
                           const std::string &body) {
  std::string text = first_line + "\r\n";
  for (const auto &[name, value] : head) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Accepts connections for ever, each served by a thread of its own.
inline bool serve(int port, std::function<void(connection_ptr)> handle) {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  if (::bind(listener, reinterpret_cast<sockaddr *>(&address),
             sizeof address) != 0 ||
      ::listen(listener, 512) != 0) {
    ::close(listener);
    return false;
  }
  std::thread([listener, handle] {
    while (true) {
      const int accepted = ::accept(listener, nullptr, nullptr);
      if (accepted >= 0) {
        std::thread(handle, std::make_shared<connection>(accepted)).detach();
      }
    }
  }).detach();
  return true;
}

} // namespace review
