// heathtrestlectl, the operators' command line tool. It runs statements from
// its arguments, from a file or from an interactive prompt.
#include "ctl/table.hpp"
#include "http/client.hpp"
#include "http/io_thread.hpp"
#include "runtime/fiber_pool.hpp"

#include <boost/program_options.hpp>
#include <editline/readline.h>
#include <fmt/format.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace heathtrestle;
namespace options = boost::program_options;

constexpr int exit_code_failed = 1;
constexpr int exit_code_usage = 2;
constexpr std::uint32_t status_ok = 200;

struct command_line {
  std::string address = "127.0.0.1:8080";
  std::string format = "table";
  std::string file;
  std::vector<std::string> words;
};

/// Sends statements to a daemon and prints the responses.
class session {
public:
  explicit session(command_line arguments)
      : arguments_(std::move(arguments)), client_(io_) {}

  /// @return true if the statement succeeded.
  bool run(const std::string &statement) {
    std::promise<result<http::response>> promise;
    auto response_future = promise.get_future();
    fibers_.spawn([&] {
      http::request request;
      request.method = "POST";
      request.path = "/v1/statements";
      request.body = statement;
      promise.set_value(client_.send(arguments_.address, request));
    });
    const auto answer = response_future.get();
    if (!answer) {
      fmt::print(stderr, "{}\n", describe(answer.error()));
      return false;
    }
    const bool accepted = answer.value().status == status_ok;
    const std::string text = arguments_.format == "json"
                                 ? answer.value().body
                                 : ctl::format_answer(answer.value().body);
    fmt::print(accepted ? stdout : stderr, "{}", text);
    return accepted;
  }

  /// Runs each line of a file as a statement. Empty lines and lines that begin
  /// with `#` are skipped.
  bool run_file(std::istream &lines) {
    std::string line;
    bool all_succeeded = true;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.front() != '#') {
        all_succeeded = run(line) && all_succeeded;
      }
    }
    return all_succeeded;
  }

  void run_prompt() {
    using_history();
    while (char *line = ::readline("heathtrestle> ")) {
      const std::string statement(line);
      std::free(line); // NOLINT: the library allocates with malloc
      if (statement == "quit" || statement == "exit") {
        return;
      }
      if (!statement.empty()) {
        add_history(statement.c_str());
        run(statement);
      }
    }
  }

private:
  command_line arguments_;
  http::io_thread io_;
  http::client client_;
  runtime::fiber_pool fibers_{1};
};

std::string join_words(const std::vector<std::string> &words) {
  std::string text;
  for (const std::string &word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

} // namespace

int main(int argc, char **argv) {
  command_line arguments;
  options::options_description flags("Flags");
  flags.add_options()("help", "print this text")(
      "address",
      options::value(&arguments.address)->default_value(arguments.address),
      "the HTTP address of any daemon, ip:port")(
      "format",
      options::value(&arguments.format)->default_value(arguments.format),
      "table or json")("file", options::value(&arguments.file),
                       "runs the statements in this file, one a line")(
      "statement", options::value(&arguments.words), "the statement");
  options::positional_options_description positions;
  positions.add("statement", -1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(flags)
                       .positional(positions)
                       .run(),
                   values);
    options::notify(values);
  } catch (const options::error &failure) {
    fmt::print(stderr, "{}\n", failure.what());
    return exit_code_usage;
  }
  if (values.contains("help")) {
    std::ostringstream text;
    text << "heathtrestlectl [flags] [statement]: asks and commands a cluster\n"
         << "\nWithout a statement or a file it reads statements at a prompt.\n"
         << flags;
    fmt::print("{}", text.str());
    return EXIT_SUCCESS;
  }
  if (arguments.format != "table" && arguments.format != "json") {
    fmt::print(stderr, "--format: expected table or json\n");
    return exit_code_usage;
  }
  session session(arguments);
  if (!arguments.file.empty()) {
    std::ifstream lines(arguments.file);
    if (!lines) {
      fmt::print(stderr, "{}: cannot be read\n", arguments.file);
      return exit_code_usage;
    }
    return session.run_file(lines) ? EXIT_SUCCESS : exit_code_failed;
  }
  if (!arguments.words.empty()) {
    return session.run(join_words(arguments.words)) ? EXIT_SUCCESS
                                                    : exit_code_failed;
  }
  if (::isatty(STDIN_FILENO) == 0) {
    return session.run_file(std::cin) ? EXIT_SUCCESS : exit_code_failed;
  }
  session.run_prompt();
  return EXIT_SUCCESS;
}
