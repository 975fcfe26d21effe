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
    items.push_back(json::object{{"name", each.name},
                                 {"revision", each.revision},
                                 {"specification", each.specification}});
  }
  return json::serialize(json::object{{"revision", objects.revision},
                                      {"items", std::move(items)}});
}

store_result<listing> decode_listing(const std::string &text) {
  try {
    const json::value parsed = json::parse(text);
    listing objects;
    objects.revision = parsed.at("revision").to_number<std::uint64_t>();
    for (const json::value &each : parsed.at("items").as_array()) {
      objects.items.push_back(
          {.name = json::value_to<std::string>(each.at("name")),
           .revision = each.at("revision").to_number<std::uint64_t>(),
           .specification = each.at("specification"),
           .status = {},
           .is_deleting = false});
    }
    return objects;
  } catch (const std::exception &) {
    return store_error::malformed;
  }
}

} // namespace heathtrestle::objects
