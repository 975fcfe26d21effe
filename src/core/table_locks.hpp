// Determines which tables the reduction of an event uses, and locks them in the
// order of the `table` enumerators.
#pragma once

#include "core/node.hpp"

#include <bitset>

namespace heathtrestle::core {

using table_set = std::bitset<table_count>;

/// The tables whose locks the reduction of `event` needs.
table_set tables_needed(const wire::Event &event);

/// Holds the locks of a set of tables for its lifetime.
class table_guard {
public:
  table_guard(std::array<std::mutex, table_count> &locks, table_set needed);
  ~table_guard();
  table_guard(const table_guard &) = delete;
  table_guard &operator=(const table_guard &) = delete;

private:
  std::array<std::mutex, table_count> &locks_;
  table_set held_;
};

} // namespace heathtrestle::core
