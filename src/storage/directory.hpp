// The file operations that the record log needs, within one directory. Tests
// replace them by ones that simulate a loss of power.
#pragma once

#include "base/error.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::storage {

/// An open file. Every failure is the operating system's.
class file {
public:
  virtual ~file() = default;

  /// Writes all bytes at `offset`. They are durable after `sync`.
  virtual result<void> write(std::uint64_t offset, std::string_view bytes) = 0;
  /// @return the number of bytes read, fewer than asked for at the end of file.
  virtual result<std::size_t> read(std::uint64_t offset,
                                   std::span<char> into) = 0;
  [[nodiscard]] virtual result<std::uint64_t> size() = 0;
  virtual result<void> truncate(std::uint64_t size) = 0;
  /// Makes the contents and the size durable. A new file also needs a sync of
  /// its directory.
  virtual result<void> sync() = 0;

protected:
  file() = default;
  file(const file &) = default;
  file &operator=(const file &) = default;
};

class directory {
public:
  virtual ~directory() = default;

  /// Names of the files in it, in no order.
  [[nodiscard]] virtual result<std::vector<std::string>> list() = 0;
  /// Creates an empty file, or empties one that exists.
  virtual result<std::unique_ptr<file>> create(const std::string &name) = 0;
  virtual result<std::unique_ptr<file>> open(const std::string &name) = 0;
  virtual result<void> rename(const std::string &from,
                              const std::string &to) = 0;
  virtual result<void> remove(const std::string &name) = 0;
  /// Makes new, renamed and removed names durable.
  virtual result<void> sync() = 0;
  /// Where it lies, for error messages.
  [[nodiscard]] virtual const std::string &path() const = 0;

protected:
  directory() = default;
  directory(const directory &) = default;
  directory &operator=(const directory &) = default;
};

/// Reads a whole file.
result<std::string> read_all(file &from);

} // namespace heathtrestle::storage
