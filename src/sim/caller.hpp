// Simulated client that runs one program against simulated daemons in virtual
// time, retries failed requests and records every answer.
#pragma once

#include "bench/workload.hpp"
#include "sim/world.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::sim {

struct caller_options {
  /// A connection without a reply is closed after this time; the caller then
  /// retries with the same key at a daemon picked at random.
  microseconds reply_timeout = 8 * per_second;
  microseconds retry_pause = 300 * per_millisecond;
  /// Probability that two consecutive calls of an agent are sent without
  /// waiting for the first answer.
  double pipelining = 0.0;
};

class caller : public std::enable_shared_from_this<caller> {
public:
  caller(world &cluster, const bench::program_plan &plan, std::size_t number,
         caller_options options);

  void start();

  [[nodiscard]] bool ended() const { return ended_; }
  [[nodiscard]] const std::string &program() const { return id_; }
  [[nodiscard]] const bench::program_plan &plan() const { return plan_; }
  [[nodiscard]] bool created() const { return created_; }
  [[nodiscard]] double latency_ms() const { return latency_ms_; }
  /// Sum of the pauses that the program itself makes.
  [[nodiscard]] double no_wait_ms() const { return no_wait_ms_; }
  /// The expected conversation of each agent, from the completed calls.
  [[nodiscard]] const std::map<std::string, std::vector<std::string>> &
  conversations() const {
    return conversations_;
  }

private:
  struct open_call {
    std::shared_ptr<open_call> after; // predecessor sent just before
    bench::call_plan plan;
    std::string key;
    std::string base_key;
    std::uint32_t renamed = 0;       // number of new keys used
    std::vector<std::string> prompt; // known once earlier calls are answered
    bool append = false;
    bool answered = false;
    /// An answer that arrived before the predecessor's.
    std::optional<wire::CallRecord> early;
    std::shared_ptr<open_call> next;
    std::string connection;
  };
  using reply_action = std::function<void(const wire::ClientReply &)>;
  /// A request to create or end the program, sent in attempts.
  struct pending_request {
    wire::ClientRequest request;
    reply_action done;
    std::uint32_t attempt = 0;
    bool answered = false;
  };
  using call_pointer = std::shared_ptr<open_call>;

  void create();
  void next_stage();
  call_pointer make_call(const bench::call_plan &plan, std::size_t call);
  void send(const call_pointer &call);
  void on_reply(const call_pointer &call, const wire::ClientReply &reply);
  void on_completed(const call_pointer &call, const wire::CallRecord &record);
  void on_refused(const call_pointer &call, const wire::Failure &failure);
  void call_done();
  void end();
  /// Sends a request to create or end the program, and retries until it is
  /// answered.
  void send_program_request(const wire::ClientRequest &request,
                            reply_action done);
  void send_attempt(const std::shared_ptr<pending_request> &pending);
  std::size_t pick_node();
  [[nodiscard]] std::uint32_t partition() const;
  [[nodiscard]] microseconds elapsed() const;

  world &world_;
  const bench::program_plan &plan_;
  std::size_t number_;
  caller_options options_;
  std::string id_;
  bool created_ = false;
  bool ended_ = false;
  std::size_t stage_ = 0;
  std::size_t open_calls_ = 0;
  microseconds pause_ = 0;
  microseconds began_ = 0;
  double latency_ms_ = 0;
  double no_wait_ms_ = 0;
  std::map<std::string, std::vector<std::string>> conversations_;
};

} // namespace heathtrestle::sim
