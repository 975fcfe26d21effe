// Filters, orders and cuts rows of a table as a show statement asks.
#pragma once

#include "base/error.hpp"
#include "query/statement.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <vector>

namespace heathtrestle::query {

/// Applies a statement's conditions, order and limit.
/// @param fields the table's fields; a statement naming another is refused.
result<std::vector<boost::json::object>>
select_rows(std::vector<boost::json::object> rows,
            const std::vector<std::string> &fields, const show_statement &show);

} // namespace heathtrestle::query
