#include "storage/posix_directory.hpp"

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace heathtrestle::storage {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

namespace {

constexpr ::mode_t file_mode = 0640;

error system_error(std::string step, const std::string &path) {
  return {.code = error_code::internal,
          .message = std::generic_category().message(errno),
          .step = std::move(step),
          .peer = path};
}

result<void> sync_directory(const std::string &path) {
  const int descriptor =
      ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return system_error("open", path);
  }
  const int done = ::fsync(descriptor);
  const error failed = system_error("sync", path);
  ::close(descriptor);
  if (done != 0) {
    return failed;
  }
  return outcome::success();
}

class posix_file : public file {
public:
  posix_file(int descriptor, std::string path)
      : descriptor_(descriptor), path_(std::move(path)) {}
  ~posix_file() override { ::close(descriptor_); }
  posix_file(const posix_file &) = delete;
  posix_file &operator=(const posix_file &) = delete;

  result<void> write(std::uint64_t offset, std::string_view bytes) override {
    while (!bytes.empty()) {
      const ::ssize_t n = ::pwrite(descriptor_, bytes.data(), bytes.size(),
                                   static_cast<::off_t>(offset));
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n < 0) {
        return system_error("write", path_);
      }
      offset += static_cast<std::uint64_t>(n);
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return outcome::success();
  }

  result<std::size_t> read(std::uint64_t offset,
                           std::span<char> into) override {
    std::size_t done = 0;
    while (done < into.size()) {
      const ::ssize_t n =
          ::pread(descriptor_, into.data() + done, into.size() - done,
                  static_cast<::off_t>(offset + done));
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n < 0) {
        return system_error("read", path_);
      }
      if (n == 0) {
        break;
      }
      done += static_cast<std::size_t>(n);
    }
    return done;
  }

  result<std::uint64_t> size() override {
    struct ::stat status {};
    if (::fstat(descriptor_, &status) != 0) {
      return system_error("read the size", path_);
    }
    return static_cast<std::uint64_t>(status.st_size);
  }

  result<void> truncate(std::uint64_t size) override {
    if (::ftruncate(descriptor_, static_cast<::off_t>(size)) != 0) {
      return system_error("truncate", path_);
    }
    return outcome::success();
  }

  result<void> sync() override {
    if (::fdatasync(descriptor_) != 0) {
      return system_error("sync", path_);
    }
    return outcome::success();
  }

private:
  int descriptor_;
  std::string path_;
};

} // namespace

result<std::string> read_all(file &from) {
  BOOST_OUTCOME_TRY(const std::uint64_t size, from.size());
  std::string bytes(size, '\0');
  BOOST_OUTCOME_TRY(const std::size_t n, from.read(0, bytes));
  bytes.resize(n);
  return bytes;
}

result<std::unique_ptr<posix_directory>>
posix_directory::open_or_create(const std::string &path) {
  std::error_code ec;
  const bool created = std::filesystem::create_directories(path, ec);
  if (ec) {
    return error{.code = error_code::internal,
                 .message = ec.message(),
                 .step = "create the directory",
                 .peer = path};
  }
  if (created) {
    // Its name would be lost with the power otherwise, and all files with it.
    BOOST_OUTCOME_TRY(
        sync_directory(std::filesystem::absolute(path).parent_path().string()));
  }
  return std::unique_ptr<posix_directory>(new posix_directory(path));
}

std::string posix_directory::path_of(const std::string &name) const {
  return path_ + '/' + name;
}

result<std::vector<std::string>> posix_directory::list() {
  std::vector<std::string> names;
  std::error_code ec;
  for (std::filesystem::directory_iterator it(path_, ec), end; !ec && it != end;
       it.increment(ec)) {
    std::error_code ignored; // of an entry that is gone already
    if (it->is_regular_file(ignored)) {
      names.push_back(it->path().filename().string());
    }
  }
  if (ec) {
    return error{.code = error_code::internal,
                 .message = ec.message(),
                 .step = "list",
                 .peer = path_};
  }
  return names;
}

result<std::unique_ptr<file>>
posix_directory::open_with(const std::string &name, int flags) {
  const std::string path = path_of(name);
  const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC, file_mode);
  if (descriptor < 0) {
    return system_error("open", path);
  }
  return std::unique_ptr<file>(new posix_file(descriptor, path));
}

result<std::unique_ptr<file>> posix_directory::create(const std::string &name) {
  return open_with(name, O_RDWR | O_CREAT | O_TRUNC);
}

result<std::unique_ptr<file>> posix_directory::open(const std::string &name) {
  return open_with(name, O_RDWR);
}

result<void> posix_directory::rename(const std::string &from,
                                     const std::string &to) {
  if (std::rename(path_of(from).c_str(), path_of(to).c_str()) != 0) {
    return system_error("rename", path_of(from));
  }
  return outcome::success();
}

result<void> posix_directory::remove(const std::string &name) {
  if (::unlink(path_of(name).c_str()) != 0) {
    return system_error("remove", path_of(name));
  }
  return outcome::success();
}

result<void> posix_directory::sync() { return sync_directory(path_); }

} // namespace heathtrestle::storage
