// heathtrestle-fault-proxy: TCP links on loopback with faults that are set over
// HTTP, for the fault soak.
#include "stand_ins/fault_proxy/fault_proxy.hpp"

#include "config/settings_schema.hpp"
#include "http/status_server.hpp"

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace heathtrestle;

/// @param text "NAME=LISTEN=UPSTREAM".
result<void> add_link(stand_ins::fault_proxy &proxy, const std::string &text) {
  const std::size_t first = text.find('=');
  const std::size_t second = text.find('=', first + 1);
  if (first == std::string::npos || second == std::string::npos) {
    return error{.code = error_code::invalid_request,
                 .message = "a link is NAME=LISTEN=UPSTREAM, not " + text,
                 .step = "read links",
                 .peer = {}};
  }
  return proxy.add(text.substr(0, first),
                   text.substr(first + 1, second - first - 1),
                   text.substr(second + 1));
}

int run_program(int argc, char **argv) {
  std::string control;
  std::vector<std::string> links;
  config::settings_schema schema;
  schema.address("control", control,
                 "where GET /LINK/FAULT is taken; see fault_proxy.hpp", true);
  schema.texts("link", links, "NAME=LISTEN=UPSTREAM, as often as needed");
  const auto choice = config::parse_command_line(
      argc, argv, "heathtrestle-fault-proxy",
      "passes connections on and disturbs them when told to", schema);
  if (choice != config::start_choice::run) {
    return choice == config::start_choice::exit_success
               ? EXIT_SUCCESS
               : config::exit_code_bad_settings;
  }
  asio::io_context io(1);
  stand_ins::fault_proxy proxy(io);
  for (const std::string &link : links) {
    if (const auto added = add_link(proxy, link); !added) {
      std::cerr << describe(added.error()) << "\n";
      return EXIT_FAILURE;
    }
  }
  constexpr std::uint32_t not_found = 404;
  const auto served =
      http::serve_pages(io, control, [&proxy](std::string_view target) {
        return proxy.apply_command(target)
                   ? http::page{.body = "done\n"}
                   : http::page{.status = not_found,
                                .body = "no such link or fault\n"};
      });
  if (!served) {
    std::cerr << describe(served.error()) << "\n";
    return EXIT_FAILURE;
  }
  io.run();
  return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv) {
  try {
    return run_program(argc, argv);
  } catch (const std::exception &failure) {
    std::cerr << failure.what() << "\n";
    return EXIT_FAILURE;
  }
}
