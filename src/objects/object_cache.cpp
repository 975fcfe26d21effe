#include "objects/object_cache.hpp"

#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace heathtrestle::objects {

namespace json = boost::json;

bool object_cache::replace(const std::string &kind, listing objects) {
  kind_copy &copy = kinds_[kind];
  if (objects.revision < copy.revision) {
    return false;
  }
  copy.revision = objects.revision;
  copy.by_name.clear();
  for (object &each : objects.items) {
    copy.by_name.emplace(each.name, std::move(each));
  }
  return true;
}

bool object_cache::apply(const std::string &kind, const change_list &changes) {
  kind_copy &copy = kinds_[kind];
  if (changes.revision <= copy.revision) {
    return false;
  }
  copy.revision = changes.revision;
  for (const change &each : changes.changes) {
    if (each.deleted) {
      copy.by_name.erase(each.changed.name);
    } else {
      copy.by_name[each.changed.name] = each.changed;
    }
  }
  return true;
}

bool object_cache::has_newer(const std::string &kind,
                             const object &candidate) const {
  const auto copy = kinds_.find(kind);
  if (copy == kinds_.end()) {
    return false;
  }
  const auto known = copy->second.by_name.find(candidate.name);
  return known != copy->second.by_name.end() && candidate.revision != 0 &&
         candidate.revision < known->second.revision;
}

std::optional<listing> object_cache::find(const std::string &kind) const {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end()) {
    return std::nullopt;
  }
  listing objects;
  objects.revision = found->second.revision;
  for (const auto &[name, each] : found->second.by_name) {
    objects.items.push_back(each);
  }
  return objects;
}

std::string encode_listing(const listing &objects) {
  json::array items;
  for (const object &each : objects.items) {
    items.push_back(
        json::object{{"name", each.name},
                     {"revision", each.revision},
                     {"specification", each.specification.parse()}});
  }
  return json::serialize(json::object{{"revision", objects.revision},
                                      {"items", std::move(items)}});
}

namespace {

/// @return nothing when the item has no valid name.
std::optional<object> decode_item(const json::value &item) {
  const json::object *fields = item.if_object();
  const json::value *name =
      fields != nullptr ? fields->if_contains("name") : nullptr;
  if (name == nullptr || !name->is_string() || name->get_string().empty()) {
    return std::nullopt;
  }
  object read{.name = json::value_to<std::string>(*name)};
  const json::value *revision = fields->if_contains("revision");
  const json::value *specification = fields->if_contains("specification");
  boost::system::error_code ec;
  const auto number =
      revision != nullptr ? revision->to_number<std::uint64_t>(ec) : 0;
  if (revision != nullptr && specification != nullptr && !ec) {
    read.revision = number;
    read.specification = *specification;
  }
  return read;
}

} // namespace

store_result<listing> decode_listing(const std::string &text) {
  // Allows some levels more than the parser of the store's pages, because the
  // listing nests each object more deeply.
  constexpr std::size_t max_depth = 64;
  json::parse_options options;
  options.max_depth = max_depth;
  boost::system::error_code ec;
  const json::value parsed = json::parse(text, ec, {}, options);
  const json::object *fields = ec ? nullptr : parsed.if_object();
  const json::value *items =
      fields != nullptr ? fields->if_contains("items") : nullptr;
  const json::value *revision =
      fields != nullptr ? fields->if_contains("revision") : nullptr;
  if (items == nullptr || !items->is_array() || revision == nullptr) {
    return store_error::malformed;
  }
  listing objects;
  objects.revision = revision->to_number<std::uint64_t>(ec);
  if (ec) {
    return store_error::malformed;
  }
  for (const json::value &each : items->get_array()) {
    if (auto read = decode_item(each)) {
      objects.items.push_back(std::move(*read));
    }
  }
  return objects;
}

} // namespace heathtrestle::objects
