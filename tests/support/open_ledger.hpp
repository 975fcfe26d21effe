// A fake record group for tests of the gateway, which grants turns at once.
#pragma once

#include "records/crash_history.hpp"
#include "records/turn_ledger.hpp"
#include "runtime/asio.hpp"
#include "tenants/quota_account.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace heathtrestle::test_support {

/// Grants every turn unless configured otherwise, and records requests and turn
/// ends.
class open_ledger : public records::turn_ledger {
public:
  records::turn_verdict verdict = records::turn_verdict::granted;
  std::vector<records::turn_end> ends;
  std::vector<records::turn_request> requests;
  /// How long each request could wait for its reply.
  std::vector<duration_ms> reply_times;
  /// Called before a grant is given.
  std::function<void()> before_grant;
  bool records_ends = true;
  /// This many first requests are refused because other turns reserve the
  /// budget.
  int refused_for_reservations = 0;
  std::uint64_t spent = 0;
  int asked = 0;
  records::turn_place previous_place;
  bool is_cut_off = false;
  /// The recorded versions by attempt.
  std::map<std::string, software_version> origins;
  /// The attempt whose stream an unnamed resumption continues.
  std::string continues_unnamed;
  /// This many first versions after the grant are recorded without a reply.
  int lost_version_replies = 0;

  [[nodiscard]] bool cut_off() const override { return is_cut_off; }

  /// The places of its storage nodes.
  std::vector<records::storage_place> places;

  [[nodiscard]] std::vector<records::storage_place>
  storage_places() const override {
    return places;
  }

  asio::awaitable<records::turn_grant> begin(records::turn_request request,
                                             timestamp deadline) override {
    reply_times.push_back(deadline - steady_now());
    requests.push_back(std::move(request));
    if (before_grant) {
      before_grant();
    }
    ++asked;
    const bool refused = asked <= refused_for_reservations;
    if (requests.back().version_choice > 0 && lost_version_replies > 0) {
      --lost_version_replies;
      record_origin(requests.back());
      co_return records::turn_grant{};
    }
    const records::stream_origin origin = record_origin(requests.back());
    co_return records::turn_grant{
        .verdict = refused ? records::turn_verdict::budget_spent : verdict,
        .history = {},
        .spent = spent,
        .reserved = refused ? std::uint64_t{1} : std::uint64_t{0},
        .previous_place = previous_place,
        .origin = origin,
        .crashes = granted_counts};
  }
  asio::awaitable<bool> finish(records::turn_end end, timestamp) override {
    ends.push_back(std::move(end));
    co_return records_ends;
  }
  void settle(records::turn_end end) override {
    ends.push_back(std::move(end));
  }
  asio::awaitable<records::permit_answer>
  take_permit(records::permit_request request, timestamp) override {
    const timestamp asked = steady_now();
    const auto time =
        static_cast<tenants::quota_time>(asked.time_since_epoch().count());
    account &of = accounts_[request.tenant.value()];
    const tenants::reservation made =
        of.permits.reserve({.terms = request.terms,
                            .follows = of.number,
                            .given = std::exchange(of.given, {}),
                            .wanted = 1},
                           time);
    of.number = made.number;
    ++permits_asked;
    if (no_permits) {
      co_return records::permit_answer{};
    }
    if (made.granted == 0) {
      co_return records::permit_answer{.verdict =
                                           records::permit_verdict::used_up,
                                       .retry_after = made.free_after};
    }
    of.given[tenants::slice_of(time)] = 1;
    co_return records::permit_answer{
        .verdict = records::permit_verdict::granted,
        .good_until = permits_asked <= void_permits
                          ? asked
                          : asked + tenants::permit_lifetime};
  }
  asio::awaitable<records::crash_verdict>
  report_crashes(records::crash_report report, timestamp) override {
    crash_reports.push_back(report);
    if (no_crash_counts) {
      co_return records::crash_verdict{};
    }
    wire::ReportCrashes reported;
    reported.set_request(report.request.value());
    reported.set_attempt(report.attempt);
    reported.set_number(report.number);
    reported.mutable_crashed()->Assign(report.crashed.begin(),
                                       report.crashed.end());
    reported.set_wants_send(report.wants_send);
    reported.set_completed(report.completed);
    reported.set_keep_ms(1U << 20U);
    constexpr std::uint64_t any_time = 1;
    const wire::RecordReplyItem reply =
        crashes[report.account].report(reported, any_time);
    const wire::CrashCount &count = reply.crash_counts(0);
    co_return records::crash_verdict{.verdict =
                                         reply.verdict() == wire::RECORD_GRANTED
                                             ? records::send_verdict::allowed
                                             : records::send_verdict::refused,
                                     .count = {.request = report.request,
                                               .crashed = count.crashed(),
                                               .at_risk = count.at_risk()}};
  }
  void announce(records::crash_notice notice) override {
    notices.push_back(notice);
  }
  /// The crashes by account, and what was reported and announced of them.
  std::map<std::string, records::crash_history> crashes;
  std::vector<records::crash_report> crash_reports;
  std::vector<records::crash_notice> notices;
  /// Reports of crashes get no answer.
  bool no_crash_counts = false;
  /// The counts that come with each grant.
  std::vector<records::crash_count> granted_counts;
  int permits_asked = 0;
  /// Permit requests get no answer.
  bool no_permits = false;
  /// This many first permits have expired when they arrive.
  int void_permits = 0;

private:
  records::stream_origin record_origin(const records::turn_request &request) {
    const bool is_unnamed =
        request.resumes_unnamed && !continues_unnamed.empty();
    if (request.version.value().empty() && !is_unnamed) {
      return {};
    }
    const auto first =
        origins.find(is_unnamed ? continues_unnamed : request.resumes);
    const bool is_continuation = first != origins.end();
    const software_version version =
        is_continuation ? first->second : request.version;
    origins[request.attempt] = version;
    return {.version = version, .is_continuation = is_continuation};
  }

  struct account {
    tenants::quota_account permits;
    std::uint64_t number = 0;
    tenants::permits_by_slice given;
  };
  std::map<std::string, account> accounts_;
};

} // namespace heathtrestle::test_support
