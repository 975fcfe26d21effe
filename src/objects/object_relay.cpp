#include "objects/object_relay.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace heathtrestle::objects {

namespace {

/// A follower without a heartbeat for this long is dropped. Spans several
/// heartbeats (`follow_options::heartbeat`).
constexpr duration_ms follower_timeout{1500};
/// Watches continue this long after the last heartbeat, so that a returning
/// follower finds a current copy.
constexpr duration_ms watch_linger{3000};
/// A long list of all objects is not sent to a follower again within this time,
/// in which a small machine receives and applies it.
constexpr duration_ms packed_resend_after{2000};
/// Followers that are sent a long list at the same time. Each list is queued
/// until it is sent, and all followers may come at once when another relay is
/// lost.
constexpr std::ptrdiff_t max_packed_in_transit = 16;
/// Objects that the store lists in one answer. A longer list takes so long that
/// followers are told to wait for it.
constexpr std::size_t listing_page_objects = 500;

/// @return the age in milliseconds, at least 1; 0 when the copy was never
/// confirmed.
std::uint32_t confirmed_age(const object_watch &watch) {
  if (watch.confirmed_at() == timestamp{}) {
    return 0;
  }
  const duration_ms age = steady_now() - watch.confirmed_at();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 1));
}

} // namespace

object_relay::object_relay(asio::io_context &io, object_store &store,
                           std::string self, std::vector<watch_options> watches,
                           sender send)
    : io_(io), store_(store), self_(std::move(self)), send_(std::move(send)) {
  for (watch_options &options : watches) {
    const std::string kind = options.kind;
    kind_copy &copy = kinds_[kind];
    options.enabled = [this] { return has_followers() && !is_fed(); };
    copy.watch = std::make_unique<object_watch>(
        io_, store_, std::vector<listing_source *>(), cache_,
        std::move(options), make_handlers(copy));
  }
}

object_watch::handlers object_relay::make_handlers(kind_copy &copy) {
  return {.on_listing =
              [this, &copy](const listing &listed) {
                copy.log.apply(listed);
                schedule_push();
              },
          .on_change =
              [this, &copy](const change &changed) {
                copy.log.apply(changed, copy.watch->revision());
                schedule_push();
              }};
}

void object_relay::follow(object_follower &upstream) {
  upstream_ = &upstream;
  for (const auto &[kind, copy] : kinds_) {
    upstream.add(kind, *copy.watch);
  }
}

bool object_relay::is_fed() const {
  return upstream_ != nullptr && !upstream_->relay().empty() &&
         upstream_->is_current();
}

bool object_relay::is_current(const kind_copy &copy) const {
  return copy.log.known() && (is_fed() || copy.watch->is_current());
}

bool object_relay::is_loading(const kind_copy &copy) const {
  if (!copy.log.known()) {
    return is_fed() || copy.watch->is_loading();
  }
  return copy.watch->is_loading() && copy.log.size() > listing_page_objects;
}

asio::awaitable<void> object_relay::follow_upstream() {
  asio::steady_timer timer(io_);
  while (true) {
    if (has_followers()) {
      upstream_->tick();
    } else {
      follows_upstream_ = false;
    }
    timer.expires_after(upstream_->heartbeat());
    co_await timer.async_wait(as_result);
  }
}

void object_relay::start() {
  if (upstream_ != nullptr) {
    asio::co_spawn(io_, follow_upstream(), asio::detached);
  }
  for (const auto &[kind, copy] : kinds_) {
    asio::co_spawn(io_, copy.watch->run(), asio::detached);
    asio::co_spawn(io_, copy.watch->relist_when_behind(), asio::detached);
    asio::co_spawn(io_, copy.watch->confirm_periodically(), asio::detached);
  }
}

bool object_relay::has_followers() const {
  return last_heartbeat_at_ != timestamp{} &&
         steady_now() < last_heartbeat_at_ + watch_linger;
}

void object_relay::on_follow(const wire::FollowObjects &follow) {
  const timestamp now = steady_now();
  last_heartbeat_at_ = now;
  if (upstream_ != nullptr && !follows_upstream_) {
    follows_upstream_ = true;
    upstream_->restart();
  }
  follower &from = followers_[follow.reply_to()];
  from.last_heard_at = now;
  for (const wire::FollowedKind &each : follow.kinds()) {
    const auto known = kinds_.find(each.kind());
    if (known == kinds_.end()) {
      continue;
    }
    follower_revision &have = from.have[each.kind()];
    have = {.known = each.known(), .revision = each.revision()};
    if (!known->second.log.needs_packed_objects(have)) {
      from.packed_sent_at.erase(each.kind());
    }
    known->second.watch->hint(each.hinted());
  }
  send_update(follow.reply_to(), from, &follow);
}

void object_relay::schedule_push() {
  if (!push_posted_) {
    push_posted_ = true;
    asio::post(io_, [this] { push(); });
  }
}

void object_relay::push() {
  push_posted_ = false;
  const timestamp now = steady_now();
  std::erase_if(followers_, [now](const auto &each) {
    return now >= each.second.last_heard_at + follower_timeout;
  });
  for (auto &[address, to] : followers_) {
    send_update(address, to, nullptr);
  }
}

bool object_relay::is_in_transit(const follower &to, const std::string &kind,
                                 timestamp now) {
  const auto sent = to.packed_sent_at.find(kind);
  return sent != to.packed_sent_at.end() &&
         now < sent->second + packed_resend_after;
}

bool object_relay::may_send_packed(const follower &to, const std::string &kind,
                                   timestamp now) const {
  if (is_in_transit(to, kind, now)) {
    return false;
  }
  const auto in_transit =
      std::ranges::count_if(followers_, [&kind, now](const auto &each) {
        return is_in_transit(each.second, kind, now);
      });
  return in_transit < max_packed_in_transit;
}

void object_relay::send_update(const std::string &address, follower &to,
                               const wire::FollowObjects *heartbeat) {
  wire::Envelope envelope;
  wire::ObjectCopies &copies = *envelope.mutable_object_copies();
  copies.set_from(self_);
  if (heartbeat != nullptr) {
    copies.set_heartbeat_sent_ms(heartbeat->sent_ms());
  }
  const timestamp now = steady_now();
  for (auto &[kind, have] : to.have) {
    kind_copy &copy = kinds_.at(kind);
    const bool is_behind = copy.log.known() &&
                           (!have.known || have.revision < copy.log.revision());
    if (!is_behind && heartbeat == nullptr) {
      continue;
    }
    wire::CopiedKind &message = *copies.add_kinds();
    message.set_kind(kind);
    message.set_current(is_current(copy));
    message.set_loading(is_loading(copy));
    message.set_confirmed_age_ms(confirmed_age(*copy.watch));
    const bool packed = is_behind && copy.log.needs_packed_objects(have);
    if (packed && !may_send_packed(to, kind, now)) {
      // Neither confirms an older copy nor moves it to this revision.
      message.set_since(copy.log.revision());
      message.set_revision(copy.log.revision());
    } else if (is_behind) {
      if (packed) {
        to.packed_sent_at[kind] = now;
      }
      copy.log.write_update(message, have);
      // A lost message is repaired by the next heartbeat, which carries the
      // follower's actual revision.
      have = {.known = true, .revision = copy.log.revision()};
    }
  }
  if (copies.kinds_size() > 0) {
    send_(address, envelope);
  }
}

} // namespace heathtrestle::objects
