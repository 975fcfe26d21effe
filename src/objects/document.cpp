#include "objects/document.hpp"

#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace heathtrestle::objects {

namespace {

constexpr std::string_view null_text = "null";
/// Deeper than the parser of the store's pages allows, whose values are written
/// and parsed again here.
constexpr std::size_t max_depth = 64;

} // namespace

document::document(const boost::json::value &value)
    : text_(value.is_null() ? nullptr
                            : std::make_shared<const std::string>(
                                  boost::json::serialize(value))) {}

document document::from_text(std::string text) {
  document made;
  if (text != null_text) {
    text.shrink_to_fit();
    made.text_ = std::make_shared<const std::string>(std::move(text));
  }
  return made;
}

std::string_view document::text() const {
  return text_ != nullptr ? std::string_view(*text_) : null_text;
}

boost::json::value document::parse() const {
  boost::json::parse_options options;
  options.max_depth = max_depth;
  boost::system::error_code ec;
  const std::string_view read = text();
  boost::json::value parsed =
      boost::json::parse({read.data(), read.size()}, ec, {}, options);
  return ec ? boost::json::value() : parsed;
}

} // namespace heathtrestle::objects
