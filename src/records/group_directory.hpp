// Discovery of the storage nodes and bootstrap of their group through the
// object store. Each node writes an object for itself when it starts. One of
// them, named by an object that can be created only once, becomes the group's
// first voter.
#pragma once

#include "objects/object_cache.hpp"
#include "objects/object_store.hpp"
#include "objects/relay_order.hpp"
#include "records/record_runtime.hpp"
#include "runtime/asio.hpp"

#include <set>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace heathtrestle::records {

/// Kind of the objects in which storage nodes publish their address.
inline constexpr std::string_view member_kind = "record-members";
/// Kind and name of the object that names the node that bootstrapped the group.
inline constexpr std::string_view group_kind = "record-groups";
inline constexpr std::string_view group_name = "main";

boost::json::value to_document(const wire::RecordMember &member);
/// @return nothing when the document does not describe a member.
std::optional<wire::RecordMember>
member_from(const boost::json::value &document);
wire::RecordMembers members_from(const objects::listing &listed);
/// The members as nodes that relay watched objects.
std::vector<objects::relay_address>
relay_addresses(const wire::RecordMembers &members);
/// Returns the members as a listing, for a peer that cannot reach the store.
objects::listing to_listing(const wire::RecordMembers &members);

class group_directory {
public:
  /// @param may_bootstrap whether the whole system starts for the first time.
  /// @param peers sources of the members while the store is down.
  group_directory(asio::io_context &io, objects::object_store &store,
                  std::vector<objects::listing_source *> peers,
                  record_runtime &runtime, bool may_bootstrap);

  /// Registers this node, then searches for its group until it has joined one,
  /// and again whenever it has lost contact. Runs until the process ends.
  asio::awaitable<void> run();

private:
  /// Progress of the search for the group since the last contact.
  struct search {
    int rounds = 0;
    bool looked_up = false;
    /// Another node bootstrapped the group.
    bool bootstrapped_elsewhere = false;
  };

  asio::awaitable<bool> register_self();
  asio::awaitable<void> look_up_members();
  asio::awaitable<void> try_bootstrap();
  /// True when this node may try to bootstrap: the first listed node tries
  /// alone in the first rounds, and the others take over when it fails.
  [[nodiscard]] bool is_bootstrap_turn() const;

  asio::io_context &io_;
  objects::object_store &store_;
  std::vector<objects::listing_source *> peers_;
  record_runtime &runtime_;
  bool may_bootstrap_;
  search search_;
  /// Names of the storage nodes in the last listing.
  std::set<std::string> listed_;
};

} // namespace heathtrestle::records
