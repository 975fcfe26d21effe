// The requests of one tenant at many gateways, without I/O: which are let
// through, and how many in the worst window.
#pragma once

#include "records/usage_board.hpp"
#include "tenants/quota_book.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace heathtrestle::test_support {

class quota_fleet {
public:
  quota_fleet(std::size_t gateways, tenants::request_quota quota, unsigned seed)
      : random_(seed), cut_off_(gateways, false) {
    tenant_.id = tenant_id{"a"};
    tenant_.quota = quota;
    for (std::size_t number = 0; number < gateways; ++number) {
      books_.emplace_back(
          tenants::quota_options{.window = window,
                                 .salt = seed * 1000ULL + number},
          now_ - 4 * window);
      books_.back().apply({tenant_}, now_);
    }
  }

  /// Requests that begin no program, at gateways drawn at random.
  void run(duration_ms length, double per_second) {
    const timestamp end = now_ + length;
    for (; now_ < end; now_ += step) {
      due_ += per_second * std::chrono::duration<double>(step).count();
      for (; due_ >= 1; due_ -= 1) {
        ask(random_() % books_.size());
      }
      tell();
    }
  }

  /// The first so many gateways hear of nobody, and nobody of them.
  void cut_off(std::size_t count) {
    std::fill_n(cut_off_.begin(), count, true);
  }
  void heal() { std::fill(cut_off_.begin(), cut_off_.end(), false); }

  /// The most requests let through in any window.
  [[nodiscard]] std::size_t most_in_window() const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < passed_.size(); ++last) {
      while (passed_[first] + window <= passed_[last]) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

private:
  static constexpr duration_ms window{5000};
  static constexpr duration_ms step{5};
  static constexpr duration_ms telling{200};

  void ask(std::size_t gateway) {
    const auto refusal = books_[gateway].refuse(
        tenant_, tenants::request_stage::under_way, now_);
    if (!refusal) {
      passed_.push_back(now_);
    }
  }

  void tell() {
    const auto count = static_cast<std::int64_t>(books_.size());
    for (std::size_t number = 0; number < books_.size(); ++number) {
      const auto shift = static_cast<std::int64_t>(number) * telling / count;
      const auto phase = (now_.time_since_epoch() + shift) / step;
      if (phase % (telling / step) != 0 || cut_off_[number]) {
        continue;
      }
      const std::string name = std::to_string(number);
      wire::TenantUsage told;
      told.set_covered_ms(static_cast<std::uint32_t>(window.count()));
      for (const auto &each : books_[number].own_usage(now_)) {
        told.add_tenants(each.tenant);
        told.add_requests(each.asked.requests);
        told.add_programs(each.asked.programs);
      }
      board_.tell(name, told, now_);
      const wire::TenantUsage others = board_.others(name);
      std::vector<tenants::tenant_usage> usage;
      for (int place = 0; place < others.tenants_size(); ++place) {
        usage.push_back({.tenant = others.tenants(place),
                         .asked = {.requests = others.requests(place),
                                   .programs = others.programs(place)}});
      }
      books_[number].take_others(usage, duration_ms{others.covered_ms()}, now_);
    }
  }

  std::mt19937 random_;
  timestamp now_ = timestamp_from(1000000);
  tenants::tenant tenant_;
  std::vector<tenants::quota_book> books_;
  std::vector<bool> cut_off_;
  records::usage_board board_;
  double due_ = 0;
  std::vector<timestamp> passed_;
};

} // namespace heathtrestle::test_support
