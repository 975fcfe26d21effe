// Files of one directory of this machine.
#pragma once

#include "storage/directory.hpp"

namespace heathtrestle::storage {

class posix_directory : public directory {
public:
  /// Creates the directory and its parents if they do not exist.
  static result<std::unique_ptr<posix_directory>>
  open_or_create(const std::string &path);

  result<std::vector<std::string>> list() override;
  result<std::unique_ptr<file>> create(const std::string &name) override;
  result<std::unique_ptr<file>> open(const std::string &name) override;
  result<void> rename(const std::string &from, const std::string &to) override;
  result<void> remove(const std::string &name) override;
  result<void> sync() override;
  [[nodiscard]] const std::string &path() const override { return path_; }

private:
  explicit posix_directory(std::string path) : path_(std::move(path)) {}
  result<std::unique_ptr<file>> open_with(const std::string &name, int flags);
  [[nodiscard]] std::string path_of(const std::string &name) const;

  std::string path_;
};

} // namespace heathtrestle::storage
