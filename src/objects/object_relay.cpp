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
/// A follower that was sent this much is sent nothing more until it has
/// confirmed it. Messages to a slow machine are queued here in memory.
constexpr std::size_t max_unconfirmed_bytes = 128U << 10U;
/// What is not confirmed after this time counts as lost: a small machine has
/// received and applied a long list by then.
constexpr duration_ms resend_after{2000};
/// Followers that are sent a long list at the same time. Each list is queued
/// until it is sent, and all followers may come at once when another relay is
/// lost.
constexpr std::ptrdiff_t max_long_updates = 16;
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
  if (follow.kinds().empty()) {
    followers_[follow.reply_to()] = {
        .have = {}, .sent = {}, .last_heard_at = now};
    return;
  }
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
    unconfirmed &sent = from.sent[each.kind()];
    if (have.known && have.revision >= sent.revision) {
      sent.bytes = 0;
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
  forget_silent_followers(steady_now());
  for (auto &[address, to] : followers_) {
    send_update(address, to, nullptr);
  }
}

void object_relay::forget_silent_followers(timestamp now) {
  std::erase_if(followers_, [now](const auto &each) {
    return now >= each.second.last_heard_at + follower_timeout;
  });
}

void object_relay::broadcast(const wire::Envelope &envelope) {
  forget_silent_followers(steady_now());
  for (const auto &[address, to] : followers_) {
    send_(address, envelope);
  }
}

bool object_relay::unconfirmed::is_long(timestamp now) const {
  return bytes >= max_unconfirmed_bytes && now < sent_at + resend_after;
}

void object_relay::unconfirmed::add(std::size_t sent, std::uint64_t reached,
                                    timestamp now) {
  const bool lost = now >= sent_at + resend_after;
  bytes = (lost ? 0 : bytes) + sent;
  revision = reached;
  sent_at = now;
}

bool object_relay::may_send(const follower &to, const std::string &kind,
                            const change_log &log, timestamp now) const {
  const auto is_busy = [&kind, now](const follower &each) {
    const auto sent = each.sent.find(kind);
    return sent != each.sent.end() && sent->second.is_long(now);
  };
  if (is_busy(to)) {
    return false;
  }
  if (!log.needs_packed_objects(to.have.at(kind))) {
    return true;
  }
  const auto busy =
      std::ranges::count_if(followers_, [&is_busy](const auto &each) {
        return is_busy(each.second);
      });
  return busy < max_long_updates;
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
    const bool sends = is_behind && may_send(to, kind, copy.log, now);
    if (!sends && heartbeat == nullptr) {
      continue;
    }
    wire::CopiedKind &message = *copies.add_kinds();
    message.set_kind(kind);
    message.set_current(is_current(copy));
    message.set_loading(is_loading(copy));
    message.set_confirmed_age_ms(confirmed_age(*copy.watch));
    if (is_behind && !sends) {
      // Neither confirms an older copy nor moves it to this revision.
      message.set_since(copy.log.revision());
      message.set_revision(copy.log.revision());
    } else if (sends) {
      copy.log.write_update(message, have);
      // A list of all objects takes long to apply, however well it is packed.
      const std::size_t least =
          message.inflated_bytes() > 0 ? max_unconfirmed_bytes : 0;
      to.sent[kind].add(std::max(least, message.ByteSizeLong()),
                        copy.log.revision(), now);
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
