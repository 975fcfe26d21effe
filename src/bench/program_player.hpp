// Plays one program: its calls in order, repeated with the same key until a
// final answer comes, each answer checked against what the engine must say.
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
  struct answered {
    std::uint32_t status = 0;
    std::string body;
    bool settled = false; // refused for good under its key
  };

  bool create();
  bool play_stage(const stage_plan &stage, std::size_t stage_number);
  bool play_call(const call_plan &call, const std::string &key);
  bool play_chat(const call_plan &call, const std::string &key);
  bool play_tool(const call_plan &call, const std::string &key);
  void check_history();
  void end();
  /// Sends a request to one daemon after another until the answer is final.
  std::optional<answered> ask(const http::request &request);
  /// Asks for a call; one that was not run is asked for under a new key.
  std::optional<answered> ask_call(http::request request,
                                   const std::string &key);
  void complain(std::string what);
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
