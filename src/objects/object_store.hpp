// Interface to the platform's store of named, versioned objects, independent of
// the platform's protocol.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "objects/document.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

namespace heathtrestle::objects {

/// Why a call failed, and whether it may have had an effect.
enum class store_error : std::uint8_t {
  unavailable,  // not executed
  no_answer,    // may have been executed, or may be seconds later
  throttled,    // too many calls; not executed
  conflict,     // the object exists, or has another revision
  not_found,    // no such object
  history_gone, // changes since the revision are discarded; list again
  malformed,    // the answer cannot be parsed
};

std::string_view name_of(store_error error);

struct object {
  std::string name;
  /// The store's counter at the object's last change.
  std::uint64_t revision = 0;
  document specification;
  document status;
  bool is_deleting = false;
};

/// All objects of a kind at one revision of the store.
struct listing {
  std::vector<object> items;
  std::uint64_t revision = 0;
};

struct change {
  object changed;
  bool deleted = false;
};

struct change_list {
  std::vector<change> changes;
  /// The revision to continue watching from.
  std::uint64_t revision = 0;
};

template <typename Value> using store_result = result_or<Value, store_error>;

/// A source of listings: the store or a peer.
class listing_source {
public:
  listing_source() = default;
  listing_source(const listing_source &) = delete;
  listing_source &operator=(const listing_source &) = delete;
  virtual ~listing_source() = default;

  virtual boost::asio::awaitable<store_result<listing>>
  list(std::string kind) = 0;
};

class object_store : public listing_source {
public:
  /// Waits for changes after `revision`, at most `wait` long.
  virtual boost::asio::awaitable<store_result<change_list>>
  watch(std::string kind, std::uint64_t revision, duration_ms wait) = 0;

  virtual boost::asio::awaitable<store_result<object>>
  get(std::string kind, std::string name) = 0;

  /// @return `conflict` when an object of that name exists.
  virtual boost::asio::awaitable<store_result<object>>
  create(std::string kind, std::string name,
         boost::json::value specification) = 0;

  /// Replaces the specification.
  /// @param revision the revision that the object must still have; 0 for any.
  virtual boost::asio::awaitable<store_result<object>>
  replace(std::string kind, std::string name, std::uint64_t revision,
          boost::json::value specification) = 0;

  virtual boost::asio::awaitable<store_result<object>>
  put_status(std::string kind, std::string name, boost::json::value status) = 0;

  virtual boost::asio::awaitable<store_result<bool>>
  remove(std::string kind, std::string name) = 0;
};

} // namespace heathtrestle::objects
