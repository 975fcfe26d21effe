#include "records/group_directory.hpp"

#include "logging/log.hpp"

#include <cstdlib>
#include <utility>

#include <boost/json/value_to.hpp>
#include <fmt/format.h>

namespace heathtrestle::records {

namespace json = boost::json;

namespace {

constexpr duration_ms initial_delay{100};
constexpr duration_ms max_delay{1000};
/// Interval at which a node in contact with its group checks the contact.
constexpr duration_ms settled_check_interval{500};
/// Rounds between two listings. With the delays above, that is 0.7 s after
/// contact was lost and then every four seconds.
constexpr int rounds_per_listing = 4;
/// The first listed node tries to bootstrap alone in these rounds; with the
/// delays above the others follow 0.7 s later.
constexpr int rounds_reserved_for_first = 3;
constexpr int hexadecimal = 16;

std::string text_of(const json::object &fields, std::string_view name) {
  const json::value *found = fields.if_contains({name.data(), name.size()});
  return found != nullptr && found->is_string()
             ? json::value_to<std::string>(*found)
             : std::string();
}

std::string identity_of(const wire::RecordMember &member) {
  return fmt::format("{:016x}", member.replica().boot());
}

} // namespace

json::value to_document(const wire::RecordMember &member) {
  return json::object{{"name", member.name()},
                      {"identity", identity_of(member)},
                      {"address", member.address()},
                      {"zone", member.zone()}};
}

std::optional<wire::RecordMember> member_from(const json::value &document) {
  const json::object *fields = document.if_object();
  if (fields == nullptr) {
    return std::nullopt;
  }
  const std::string identity = text_of(*fields, "identity");
  wire::RecordMember member;
  member.set_name(text_of(*fields, "name"));
  member.set_address(text_of(*fields, "address"));
  member.set_zone(text_of(*fields, "zone"));
  char *end = nullptr;
  const std::uint64_t boot = std::strtoull(identity.c_str(), &end, hexadecimal);
  const bool complete = !identity.empty() && *end == '\0' &&
                        !member.name().empty() && !member.address().empty();
  if (!complete) {
    return std::nullopt;
  }
  member.mutable_replica()->set_node(make_node_id(member.name()).value());
  member.mutable_replica()->set_boot(boot);
  return member;
}

wire::RecordMembers members_from(const objects::listing &listed) {
  wire::RecordMembers members;
  for (const objects::object &each : listed.items) {
    if (auto member = member_from(each.specification.parse())) {
      *members.add_members() = std::move(*member);
    }
  }
  return members;
}

std::vector<objects::relay_address>
relay_addresses(const wire::RecordMembers &members) {
  std::vector<objects::relay_address> nodes;
  for (const wire::RecordMember &each : members.members()) {
    nodes.push_back(
        {.name = each.name(), .address = each.address(), .zone = each.zone()});
  }
  return nodes;
}

objects::listing to_listing(const wire::RecordMembers &members) {
  objects::listing listed;
  for (const wire::RecordMember &each : members.members()) {
    listed.items.push_back({.name = each.name(),
                            .revision = 0,
                            .specification = to_document(each),
                            .status = {},
                            .is_deleting = false});
  }
  return listed;
}

group_directory::group_directory(asio::io_context &io,
                                 objects::object_store &store,
                                 std::vector<objects::listing_source *> peers,
                                 record_runtime &runtime, bool may_bootstrap)
    : io_(io), store_(store), peers_(std::move(peers)), runtime_(runtime),
      may_bootstrap_(may_bootstrap) {}

asio::awaitable<void> group_directory::run() {
  bool registered = false;
  duration_ms delay = initial_delay;
  asio::steady_timer timer(io_);
  while (true) {
    const bool in_touch = runtime_.knows_leader();
    if (!registered) {
      registered = co_await register_self();
    }
    if (in_touch) {
      search_.rounds = 0;
    } else {
      // Nodes that register later contact this one, so that a single listing is
      // enough unless the search takes long.
      if (!search_.looked_up ||
          search_.rounds % rounds_per_listing == rounds_per_listing - 1) {
        co_await look_up_members();
      }
      co_await try_bootstrap();
      ++search_.rounds;
    }
    const bool settled = in_touch && registered;
    timer.expires_after(settled ? settled_check_interval : delay);
    co_await timer.async_wait(as_result);
    delay = settled ? initial_delay : std::min(2 * delay, max_delay);
  }
}

asio::awaitable<bool> group_directory::register_self() {
  const wire::RecordMember &self = runtime_.self();
  const auto created = co_await store_.create(std::string(member_kind),
                                              self.name(), to_document(self));
  if (created) {
    co_return true;
  }
  if (created.error() != objects::store_error::conflict) {
    co_return false;
  }
  // The object is from an earlier start, with this disk or with one that is
  // lost.
  const auto replaced = co_await store_.replace(
      std::string(member_kind), self.name(), 0, to_document(self));
  co_return replaced.has_value();
}

asio::awaitable<void> group_directory::look_up_members() {
  const auto listed = co_await store_.list(std::string(member_kind));
  if (listed) {
    search_.looked_up = true;
    listed_.clear();
    for (const objects::object &each : listed.value().items) {
      listed_.insert(each.name);
    }
    runtime_.learn_members(members_from(listed.value()));
    co_return;
  }
  for (objects::listing_source *peer : peers_) {
    const auto copy = co_await peer->list(std::string(member_kind));
    if (copy) {
      runtime_.learn_members(members_from(copy.value()));
      co_return;
    }
  }
}

bool group_directory::is_bootstrap_turn() const {
  const bool is_first =
      !listed_.empty() && *listed_.begin() == runtime_.self().name();
  return is_first || search_.rounds >= rounds_reserved_for_first;
}

asio::awaitable<void> group_directory::try_bootstrap() {
  const bool needless =
      !may_bootstrap_ || runtime_.has_group() || search_.bootstrapped_elsewhere;
  if (needless || !is_bootstrap_turn()) {
    co_return;
  }
  const std::string self = identity_of(runtime_.self());
  const json::value document = json::object{{"founder", self}};
  const auto created = co_await store_.create(
      std::string(group_kind), std::string(group_name), document);
  if (created) {
    runtime_.bootstrap();
    co_return;
  }
  // This node may have created the object in a call whose reply was lost.
  const auto group =
      co_await store_.get(std::string(group_kind), std::string(group_name));
  if (!group) {
    co_return;
  }
  const json::value named = group.value().specification.parse();
  const json::object *fields = named.if_object();
  const bool own = fields != nullptr && text_of(*fields, "founder") == self;
  search_.bootstrapped_elsewhere = !own;
  if (own && !runtime_.has_group()) {
    runtime_.bootstrap();
  }
}

} // namespace heathtrestle::records
