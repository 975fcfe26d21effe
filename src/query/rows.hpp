// Evaluates a show statement on the rows of a table.
#pragma once

#include "base/error.hpp"
#include "query/statement.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <vector>

namespace heathtrestle::query {

/// Filters, sorts and truncates rows by the conditions, order and limit of a
/// statement.
/// @param fields the table's fields.
/// @return `invalid_request` if the statement names another field or its limit
/// is negative.
result<std::vector<boost::json::object>>
select_rows(std::vector<boost::json::object> rows,
            const std::vector<std::string> &fields, const show_statement &show);

} // namespace heathtrestle::query
