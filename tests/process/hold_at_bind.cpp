// Loaded into a process under test before its libraries: its calls of bind(2)
// wait for as long as the file named by HEATHTRESTLE_HOLD_FILE exists, so that
// a signal can be sent at a known point of the start. The file's name with
// ".reached" appended is created when the process has come to that point.
#include <cstdlib>
#include <fstream>
#include <string>

#include <dlfcn.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr useconds_t check_interval_us = 1000;

void wait_while_held() {
  const char *name = std::getenv("HEATHTRESTLE_HOLD_FILE");
  if (name == nullptr) {
    return;
  }
  const std::string held(name);
  std::ofstream{held + ".reached"};
  while (::access(held.c_str(), F_OK) == 0) {
    ::usleep(check_interval_us);
  }
}

} // namespace

extern "C" int bind(int socket, const sockaddr *address, socklen_t length) {
  using bind_function = int (*)(int, const sockaddr *, socklen_t);
  static const auto next =
      reinterpret_cast<bind_function>(::dlsym(RTLD_NEXT, "bind"));
  wait_while_held();
  return next(socket, address, length);
}
