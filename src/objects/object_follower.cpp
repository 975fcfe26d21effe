#include "objects/object_follower.hpp"

#include "base/ids.hpp"
#include "logging/log.hpp"
#include "objects/change_log.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::objects {

namespace {

/// Whether a copy lacks nothing that its relay has.
bool has_everything(const wire::CopiedKind &copied, const object_watch &watch) {
  return copied.revision() <= watch.revision();
}

} // namespace

object_follower::object_follower(asio::io_context &io, follow_options options,
                                 std::function<relay_order()> relays,
                                 sender send)
    : io_(io), options_(std::move(options)), relays_(std::move(relays)),
      send_(std::move(send)), started_at_(steady_now()) {}

void object_follower::add(std::string kind, object_watch &watch) {
  kinds_.push_back({.kind = std::move(kind), .watch = &watch});
}

asio::awaitable<void> object_follower::run() {
  asio::steady_timer timer(io_);
  while (true) {
    tick();
    timer.expires_after(options_.heartbeat);
    co_await timer.async_wait(as_result);
  }
}

void object_follower::tick() {
  const bool timed_out =
      steady_now() >= last_useful_at_ + options_.relay_timeout;
  if (relay_.empty() || timed_out) {
    switch_to_next_relay();
  }
  if (relay_.empty()) {
    return;
  }
  send_heartbeat();
  if (steady_now() >= next_registration_) {
    next_registration_ = steady_now() + options_.registration_interval;
    register_with_others();
  }
}

void object_follower::register_with_others() {
  if (options_.further_relays == 0) {
    return;
  }
  const relay_order order = relays_();
  if (order.relays.empty()) {
    return;
  }
  wire::Envelope envelope;
  envelope.mutable_follow_objects()->set_reply_to(options_.address);
  for (std::size_t step = 1; step <= options_.further_relays; ++step) {
    const std::size_t place = (relay_place_ + step) % order.relays.size();
    const std::string &address = order.relays[place].address;
    if (address != relay_) {
      send_(address, envelope);
    }
  }
}

void object_follower::restart() {
  started_at_ = steady_now();
  current_until_ = {};
  last_useful_at_ = {};
  last_loading_at_ = {};
  relays_tried_ = 0;
  tick();
}

void object_follower::switch_to_next_relay() {
  const relay_order order = relays_();
  if (order.relays.empty()) {
    relay_.clear();
    return;
  }
  const std::string before = relay_;
  const std::size_t first =
      stable_hash(options_.address) % std::max<std::size_t>(order.preferred, 1);
  relay_place_ = (first + relays_tried_) % order.relays.size();
  relay_ = order.relays[relay_place_].address;
  ++relays_tried_;
  last_useful_at_ = steady_now();
  logging::line(logging::event::relay_chosen)
      .field("relay", relay_)
      .field("before", before)
      .field("known", order.relays.size())
      .write();
}

void object_follower::send_heartbeat() {
  wire::Envelope envelope;
  wire::FollowObjects &follow = *envelope.mutable_follow_objects();
  follow.set_reply_to(options_.address);
  follow.set_sent_ms(milliseconds_of(steady_now()));
  for (const followed_kind &each : kinds_) {
    wire::FollowedKind &kind = *follow.add_kinds();
    kind.set_kind(each.kind);
    kind.set_known(each.watch->known());
    kind.set_revision(each.watch->revision());
    kind.set_hinted(each.watch->hinted_revision());
  }
  send_(relay_, envelope);
}

void object_follower::on_copies(const wire::ObjectCopies &copies) {
  if (copies.from() != relay_) {
    return; // no longer followed
  }
  last_answer_at_ = steady_now();
  bool all_current = true;
  bool all_complete = true;
  bool any_loading = false;
  for (const wire::CopiedKind &copied : copies.kinds()) {
    if (object_watch *watch = find_watch(copied.kind())) {
      apply_copy(copied, *watch);
      record_confirmation(copies, copied, *watch);
      all_complete = all_complete && has_everything(copied, *watch);
    }
    all_current = all_current && copied.current();
    any_loading = any_loading || copied.loading();
  }
  const bool heartbeat =
      static_cast<std::size_t>(copies.kinds_size()) >= kinds_.size();
  if (heartbeat && all_current) {
    last_useful_at_ = steady_now();
    last_current_at_ = last_useful_at_;
    current_until_ = last_useful_at_ + options_.confirmation_validity;
    relays_tried_ = 0; // the next search starts at the first relay again
    if (all_complete && copies.heartbeat_sent_ms() > 0) {
      confirmed_at_ =
          std::max(confirmed_at_, timestamp_from(copies.heartbeat_sent_ms()));
    }
  } else if (heartbeat && any_loading) {
    on_loading();
  }
}

// Another relay would probably have to load its copy as well.
void object_follower::on_loading() {
  const timestamp now = steady_now();
  const bool was_current = last_current_at_ != timestamp{} &&
                           now < last_current_at_ + options_.loading_validity;
  if (was_current) {
    current_until_ = std::max(
        current_until_, std::min(now + options_.confirmation_validity,
                                 last_current_at_ + options_.loading_validity));
  }
  if (was_current || is_starting()) {
    last_useful_at_ = now;
    last_loading_at_ = now;
  }
}

void object_follower::apply_copy(const wire::CopiedKind &copied,
                                 object_watch &watch) {
  const bool outdated = watch.known() && copied.revision() <= watch.revision();
  if (copied.whole() && outdated) {
    return; // sent twice; decoding a long list is expensive
  }
  const auto objects = objects_of(copied);
  if (!objects) {
    logging::line(logging::event::copy_rejected)
        .field("kind", copied.kind())
        .field("relay", relay_)
        .write();
    return;
  }
  // A packed list is protected by the checksum of its compression, and its
  // sender has written the documents itself.
  const specification_check check = copied.inflated_bytes() > 0
                                        ? specification_check::trust
                                        : specification_check::parse;
  listing listed{.items = {}, .revision = copied.revision()};
  change_list changes{.changes = {}, .revision = copied.revision()};
  for (const wire::CopiedObject &each : objects.value().objects()) {
    auto read = from_wire(each, check);
    if (!read) {
      logging::line(logging::event::copy_rejected)
          .field("kind", copied.kind())
          .field("object", each.name())
          .field("relay", relay_)
          .write();
      // Keeps only the object's name and revision; the other objects stay
      // valid.
      read =
          change{.changed = {.name = each.name(), .revision = each.revision()}};
    }
    if (copied.whole()) {
      listed.items.push_back(std::move(read.value().changed));
    } else {
      changes.changes.push_back(std::move(read).value());
    }
  }
  if (copied.whole()) {
    watch.apply_listing(listed);
  } else if (!changes.changes.empty()) {
    watch.apply_changes(changes, copied.since());
  } else {
    watch.apply_unchanged(copied.since(), copied.revision());
  }
}

void object_follower::record_confirmation(const wire::ObjectCopies &copies,
                                          const wire::CopiedKind &copied,
                                          object_watch &watch) {
  const bool answers_heartbeat =
      copies.heartbeat_sent_ms() > 0 && copied.confirmed_age_ms() > 0;
  if (!answers_heartbeat || !has_everything(copied, watch)) {
    return;
  }
  // The relay computes the age when the heartbeat arrives. Counting back from
  // when the heartbeat was sent keeps delays in transit or in a queue from
  // making the copy look newer.
  watch.record_confirmation(timestamp_from(copies.heartbeat_sent_ms()) -
                            duration_ms{copied.confirmed_age_ms()});
}

bool object_follower::is_starting() const {
  const timestamp now = steady_now();
  const bool relay_is_loading =
      last_loading_at_ != timestamp{} &&
      now < last_loading_at_ + options_.relay_timeout &&
      now < started_at_ + options_.loading_grace_period;
  const bool in_grace = now < started_at_ + options_.startup_grace_period;
  return current_until_ == timestamp{} && (in_grace || relay_is_loading);
}

bool object_follower::is_current() const {
  return is_starting() || steady_now() < current_until_;
}

bool object_follower::no_relay_is_current() const {
  constexpr std::size_t min_relays_tried = 2;
  return relays_tried_ >= min_relays_tried &&
         steady_now() < last_answer_at_ + options_.relay_timeout;
}

object_watch *object_follower::find_watch(const std::string &kind) {
  const auto found = std::find_if(
      kinds_.begin(), kinds_.end(),
      [&kind](const followed_kind &each) { return each.kind == kind; });
  return found == kinds_.end() ? nullptr : found->watch;
}

} // namespace heathtrestle::objects
