// A plain replica: works on some requests at once, queues a few more and refuses
// the rest. In the trouble window it repeats some of its answers late on the
// same connection, as a faulty replica may.
#pragma once

#include "net.hpp"

#include <condition_variable>
#include <random>

namespace review {

struct replica_options {
  std::string id;
  int port = 0;
  int slots = 6;
  int queue = 24;
  double mean_work_ms = 39;
  /// Share of its answers that come twice while `faulty` is set.
  double surplus_share = 0;
  double surplus_after_ms_least = 20;
  double surplus_after_ms_most = 120;
};

struct replica_log {
  std::mutex mutex;
  /// "seconds replica event id"
  std::vector<std::string> lines;
  std::map<std::string, int> runs;
  std::uint64_t refused = 0;
  std::uint64_t answered = 0;
  std::uint64_t surplus_answers = 0;
  std::uint64_t surplus_refusals = 0;

  void note(const std::string &replica, const std::string &what,
            const std::string &id) {
    char text[64];
    std::snprintf(text, sizeof text, "%9.4f ", seconds_now());
    lines.push_back(text + replica + " " + what + " " + id);
  }
};

class replica {
public:
  replica(replica_options options, replica_log &log, std::atomic<bool> &faulty)
      : options_(std::move(options)), log_(log), faulty_(faulty) {}

  bool start() {
    return serve(options_.port, [this](connection_ptr gateway) {
      while (const auto request = gateway->read(3600 * 1000)) {
        if (!handle(*gateway, gateway, *request)) {
          return;
        }
      }
    });
  }

private:
  bool handle(connection &gateway, const connection_ptr &shared,
              const http_message &request) {
    const std::string id = request.header("X-Attempt-Id");
    const std::string expected = request.header("X-Expect-Instance");
    headers head{{"X-Attempt-Id", id}};
    if (!expected.empty() && expected != options_.id) {
      return gateway.write(to_text("HTTP/1.1 421 Misdirected", head, ""));
    }
    if (request.target() == "/health") {
      head["X-Instance-Id"] = options_.id;
      return gateway.write(to_text("HTTP/1.1 200 OK", head, "well\n"));
    }
    {
      std::unique_lock lock(mutex_);
      if (running_ >= options_.slots && waiting_ >= options_.queue) {
        lock.unlock();
        head["X-Not-Executed"] = "full";
        const std::string text =
            to_text("HTTP/1.1 503 Unavailable", head, "full\n");
        {
          const std::scoped_lock held(log_.mutex);
          ++log_.refused;
          log_.note(options_.id, "refuses", id);
        }
        const bool written = gateway.write(text);
        repeat_late(shared, text, id, true);
        return written;
      }
      ++waiting_;
      free_.wait(lock, [this] { return running_ < options_.slots; });
      --waiting_;
      ++running_;
    }
    {
      const std::scoped_lock held(log_.mutex);
      ++log_.runs[id];
      log_.note(options_.id, "runs", id);
    }
    pause_ms(work_ms());
    {
      const std::scoped_lock lock(mutex_);
      --running_;
    }
    free_.notify_one();
    head["X-Server-Signature"] = options_.id + ".signed";
    const std::string text =
        to_text("HTTP/1.1 200 OK", head, "done " + id + "\n");
    {
      const std::scoped_lock held(log_.mutex);
      ++log_.answered;
    }
    const bool written = gateway.write(text);
    repeat_late(shared, text, id, false);
    return written;
  }

  double work_ms() {
    const std::scoped_lock lock(mutex_);
    std::exponential_distribution<double> work(1.0 / options_.mean_work_ms);
    return std::min(work(random_), 300.0);
  }

  void repeat_late(const connection_ptr &gateway, const std::string &text,
                   const std::string &id, bool refusal) {
    double wait = 0;
    {
      const std::scoped_lock lock(mutex_);
      std::uniform_real_distribution<double> draw(0, 1);
      if (!faulty_ || draw(random_) >= options_.surplus_share) {
        return;
      }
      std::uniform_real_distribution<double> late(
          options_.surplus_after_ms_least, options_.surplus_after_ms_most);
      wait = late(random_);
    }
    std::thread([this, gateway, text, id, refusal, wait] {
      pause_ms(wait);
      const std::scoped_lock held(log_.mutex);
      if (gateway->write(text)) {
        ++(refusal ? log_.surplus_refusals : log_.surplus_answers);
        log_.note(options_.id,
                  refusal ? "repeats its refusal of" : "repeats its answer to",
                  id);
      }
    }).detach();
  }

  replica_options options_;
  replica_log &log_;
  std::atomic<bool> &faulty_;
  std::mutex mutex_;
  std::condition_variable free_;
  int running_ = 0;
  int waiting_ = 0;
  std::minstd_rand random_{std::random_device{}()};
};

} // namespace review
