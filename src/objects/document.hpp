// A JSON document that is kept as text: tens of thousands of copies of small
// objects take a tenth of the memory that parsed values would. Copies share the
// text.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

namespace heathtrestle::objects {

class document {
public:
  /// The null document.
  document() = default;
  // Implicit, so that a parsed value can be used where a document is wanted.
  document(const boost::json::value &value); // NOLINT(*-explicit-*)
  /// Takes over text that is known to be valid JSON.
  static document from_text(std::string text);

  [[nodiscard]] bool is_null() const { return text_ == nullptr; }
  /// The JSON text; "null" for the null document.
  [[nodiscard]] std::string_view text() const;
  /// @return null when the text is malformed after all.
  [[nodiscard]] boost::json::value parse() const;

  bool operator==(const document &other) const {
    return text() == other.text();
  }

private:
  /// Null for the null document.
  std::shared_ptr<const std::string> text_;
};

} // namespace heathtrestle::objects
