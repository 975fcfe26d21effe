// Remembers which engine last answered a request with each prompt part, so that
// the next turn of a conversation finds that engine without a search through
// all of them. A wrong entry costs time but never correctness.
#pragma once

#include "balance/prefix_view.hpp"
#include "routing/instance_directory.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace heathtrestle::forwarding {

class prompt_holders {
public:
  /// @param capacity parts that are remembered; those used longest ago are
  /// forgotten first.
  explicit prompt_holders(std::size_t capacity = default_capacity)
      : capacity_(capacity) {}

  void record(const std::vector<balance::prompt_part> &prompt,
              const routing::instance_ptr &holder);
  /// Returns the listed engines that hold parts of the prompt, the holder of
  /// the longest prefix first.
  [[nodiscard]] std::vector<routing::instance_ptr>
  find(const std::vector<balance::prompt_part> &prompt) const;
  [[nodiscard]] std::size_t size() const { return by_part_.size(); }

private:
  /// The conversations of one gateway in several minutes.
  static constexpr std::size_t default_capacity = 2048;

  struct entry {
    std::uint64_t part = 0;
    std::weak_ptr<routing::instance> holder;
  };
  using order = std::list<entry>;

  std::size_t capacity_;
  order recent_;
  std::unordered_map<std::uint64_t, order::iterator> by_part_;
};

} // namespace heathtrestle::forwarding
