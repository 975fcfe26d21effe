#include "query/statement.hpp"

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/fusion/include/std_pair.hpp>
#include <boost/spirit/home/x3.hpp>

BOOST_FUSION_ADAPT_STRUCT(heathtrestle::query::condition, field, operation,
                          value)
BOOST_FUSION_ADAPT_STRUCT(heathtrestle::query::ordering, field, descending)
BOOST_FUSION_ADAPT_STRUCT(heathtrestle::query::show_statement, table,
                          conditions, order, limit)
BOOST_FUSION_ADAPT_STRUCT(heathtrestle::query::assignment, field, value)
BOOST_FUSION_ADAPT_STRUCT(heathtrestle::query::write_statement, creates, kind,
                          name, assignments, version)
BOOST_FUSION_ADAPT_STRUCT(heathtrestle::query::remove_statement, kind, name,
                          version)
BOOST_FUSION_ADAPT_STRUCT(heathtrestle::query::drain_statement, name, version)

namespace heathtrestle::query {

namespace x3 = boost::spirit::x3;

namespace {

struct comparison_symbols : x3::symbols<comparison> {
  comparison_symbols() {
    add("=", comparison::equal)("!=", comparison::not_equal)(
        "<", comparison::less)("<=", comparison::less_or_equal)(
        ">", comparison::greater)(">=", comparison::greater_or_equal);
  }
} const comparison_symbol;

/// Matches a whole keyword, regardless of case.
auto keyword(const char *text) {
  return x3::lexeme[x3::no_case[x3::lit(text)] >>
                    !(x3::alnum | x3::char_("-_"))];
}

/// The name of a table, kind or field.
const auto identifier = x3::rule<struct identifier_tag, std::string>("a name") =
    x3::lexeme[x3::alpha >> *(x3::alnum | x3::char_('_'))];

const auto double_quoted = x3::lexeme[('"' >> *(x3::char_ - '"')) > '"'];
const auto single_quoted = x3::lexeme[('\'' >> *(x3::char_ - '\'')) > '\''];

const auto quoted = x3::rule<struct quoted_tag, std::string>("a quoted text") =
    double_quoted | single_quoted;

/// The name of an object, or a text value; quoted or unquoted.
const auto name = x3::rule<struct name_tag, std::string>("a name") =
    quoted | x3::lexeme[+(x3::alnum | x3::char_("-_.:/"))];

const auto number = x3::rule<struct number_tag, std::int64_t>("a number") =
    x3::lexeme[x3::int64 >> !(x3::alnum | x3::char_("-_.:/"))];

const auto texts = x3::rule<struct texts_tag, std::vector<std::string>>(
    "a list of texts") = '[' > -(name % ',') > ']';

const auto value = x3::rule<struct value_tag, literal>("a value") =
    number | texts | name;

const auto condition_rule =
    x3::rule<struct condition_tag, condition>("a condition") =
        identifier > comparison_symbol > value;

const auto descending = x3::rule<struct descending_tag, bool>("asc or desc") =
    (keyword("desc") >> x3::attr(true)) | (-keyword("asc") >> x3::attr(false));

const auto ordering_rule =
    x3::rule<struct ordering_tag, ordering>("an ordering") =
        identifier > descending;

const auto version_guard = -(keyword("if") > keyword("version") > number);

const auto assignment_rule =
    x3::rule<struct one_assignment_tag, assignment>("field = value") =
        identifier > '=' > value;

const auto show_rule = x3::rule<struct show_tag, show_statement>("show") =
    keyword("show") > identifier >
    -(keyword("where") > (condition_rule % keyword("and"))) >
    -(keyword("order") > keyword("by") > ordering_rule) >
    -(keyword("limit") > number);

const auto add_rule = x3::rule<struct add_tag, write_statement>("add") =
    keyword("add") > x3::attr(true) > identifier > name >
    (assignment_rule % ',') > x3::attr(std::optional<std::int64_t>());

const auto set_rule = x3::rule<struct set_tag, write_statement>("set") =
    keyword("set") > x3::attr(false) > identifier > name >
    (assignment_rule % ',') > version_guard;

const auto remove_rule =
    x3::rule<struct remove_tag, remove_statement>("remove") =
        keyword("remove") > identifier > name > version_guard;

const auto drain_rule = x3::rule<struct drain_tag, drain_statement>("drain") =
    keyword("drain") > keyword("backend") > name > version_guard;

const auto end_rule = x3::rule<struct end_tag, std::string>("end") =
    keyword("end") > keyword("program") > name;

} // namespace

result<statement> parse_statement(std::string_view text) {
  auto position = text.begin();
  const auto syntax_error = [&text](auto where, std::string_view expected) {
    const auto column = where - text.begin() + 1;
    const std::string_view rest(where, text.end());
    return fail(error_code::invalid_request,
                fmt::format("column {}: expected {} before \"{}\"", column,
                            expected, rest.substr(0, 20)),
                "parse statement");
  };
  statement parsed;
  std::string program;
  bool matched = false;
  try {
    const auto parse = [&](const auto &rule, auto &target) {
      position = text.begin();
      return x3::phrase_parse(position, text.end(),
                              rule > -x3::lit(';') > x3::eoi, x3::space,
                              target);
    };
    show_statement show;
    write_statement write;
    remove_statement remove;
    drain_statement drain;
    if (parse(show_rule, show)) {
      parsed = std::move(show);
      matched = true;
    } else if (parse(add_rule, write) || parse(set_rule, write)) {
      parsed = std::move(write);
      matched = true;
    } else if (parse(remove_rule, remove)) {
      parsed = std::move(remove);
      matched = true;
    } else if (parse(drain_rule, drain)) {
      parsed = std::move(drain);
      matched = true;
    } else if (parse(end_rule, program)) {
      parsed = end_statement{std::move(program)};
      matched = true;
    }
  } catch (const x3::expectation_failure<std::string_view::iterator> &failure) {
    return syntax_error(failure.where(), failure.which());
  }
  if (!matched) {
    return syntax_error(text.begin(), "show, add, set, remove, drain or end");
  }
  return parsed;
}

} // namespace heathtrestle::query
