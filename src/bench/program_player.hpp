// Runs the calls of one program over HTTP, retries each with the same
// idempotency key until its answer is final, and compares it with the expected
// answer.
#pragma once

#include "bench/driver.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::bench {

class program_player {
public:
  program_player(http::client &client, const driver_options &options,
                 const program_plan &plan, std::size_t number);

  program_result play();

private:
  struct final_reply {
    std::uint32_t status = 0;
    std::string body;
    bool settled = false; // refused; a retry needs a new key
  };

  bool create();
  bool play_stage(const stage_plan &stage, std::size_t stage_number);
  bool play_call(const call_plan &call, const std::string &key);
  bool play_chat(const call_plan &call, const std::string &key);
  bool play_tool(const call_plan &call, const std::string &key);
  void check_history();
  void end();
  /// Sends a request, retrying at the next daemon, until the answer is final.
  /// @return nothing when the timeout has passed.
  std::optional<final_reply> send_until_final(const http::request &request);
  /// Sends a call, and sends it again under a new key when it was not run.
  /// @return nothing when the timeout has passed.
  std::optional<final_reply> send_call(http::request request,
                                       const std::string &key);
  void record_error(std::string what);
  [[nodiscard]] std::string key_of(std::size_t stage, std::size_t call) const;

  http::client &client_;
  const driver_options &options_;
  const program_plan &plan_;
  std::size_t number_;
  std::size_t next_daemon_;
  std::string id_;
  std::map<std::string, std::vector<std::string>> conversations_; // by agent
  program_result result_;
};

} // namespace heathtrestle::bench
