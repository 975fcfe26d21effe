#include "daemon/operator_api.hpp"

#include "daemon/api_replies.hpp"
#include "daemon/runtime.hpp"
#include "logging/log.hpp"
#include "query/rows.hpp"
#include "query/statement.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <set>
#include <variant>

namespace heathtrestle::daemon {

namespace json = boost::json;

namespace {

using rows_of_json = std::vector<json::object>;

constexpr std::uint32_t call_limit_per_node = 100000;
constexpr std::chrono::milliseconds status_timeout{1500};
/// How long a configuration change waits until all daemons have applied it.
constexpr std::chrono::milliseconds propagation_timeout{2000};
constexpr std::chrono::milliseconds propagation_poll_interval{100};

const std::vector<std::string> call_fields{
    "program", "tenant", "class",  "name",  "agent",  "key",  "target",
    "backend", "state",  "age_ms", "spent", "budget", "turns"};
const std::vector<std::string> node_fields{
    "name",           "zone",     "status",     "configuration_revision",
    "partitions_led", "replicas", "connections"};
const std::vector<std::string> object_kinds{"tenant",  "class", "model",
                                            "backend", "tool",  "machine"};

json::object to_row(const wire::CallRow &row) {
  return {{"program", row.program()},     {"tenant", row.tenant()},
          {"class", row.program_class()}, {"name", row.name()},
          {"agent", row.agent()},         {"key", row.key()},
          {"target", row.target()},       {"backend", row.backend()},
          {"state", row.state()},         {"age_ms", row.age_ms()},
          {"spent", row.spent()},         {"budget", row.budget()},
          {"turns", row.turns()}};
}

json::object to_row(const wire::NodeRow &row) {
  return {{"name", row.name()},
          {"zone", row.zone()},
          {"status", row.status()},
          {"configuration_revision", row.configuration_revision()},
          {"partitions_led", row.partitions_led()},
          {"replicas", row.replicas()},
          {"connections", row.connections()}};
}

/// The status rows that daemons returned before the timeout.
struct cluster_status {
  rows_of_json calls;
  std::vector<wire::NodeRow> nodes;
  std::size_t expected = 0; // daemons believed to run
};

cluster_status query_all_nodes(daemon_runtime &runtime, bool calls) {
  // The query number is also its id in the client registry.
  const std::uint64_t number = stable_hash(runtime.new_request_id());
  client_registry::handle handle(runtime.clients(), std::to_string(number));
  cluster_status answer;
  answer.expected = runtime.node().counts().members_running;
  wire::Event event;
  event.mutable_status_asked()->set_query(number);
  event.mutable_status_asked()->set_calls(calls);
  event.mutable_status_asked()->set_limit(call_limit_per_node);
  runtime.post(std::move(event));
  const auto deadline = std::chrono::steady_clock::now() + status_timeout;
  while (answer.nodes.size() < answer.expected) {
    auto message = handle.mailbox().pop_until(deadline);
    if (!message.has_value()) {
      break;
    }
    if (const auto *reply = std::get_if<wire::StatusReply>(&*message)) {
      answer.nodes.push_back(reply->node());
      for (const wire::CallRow &row : reply->calls()) {
        answer.calls.push_back(to_row(row));
      }
    }
  }
  return answer;
}

http::response table_response(const std::vector<std::string> &fields,
                              const rows_of_json &rows, std::size_t nodes_asked,
                              std::size_t nodes_answered) {
  json::object body;
  json::array columns;
  for (const std::string &field : fields) {
    columns.emplace_back(field);
  }
  body["columns"] = std::move(columns);
  json::array list;
  for (const json::object &row : rows) {
    list.push_back(row);
  }
  body["rows"] = std::move(list);
  body["nodes_asked"] = nodes_asked;
  body["nodes_answered"] = nodes_answered;
  return http::json_response(200, json::serialize(body) + "\n");
}

result<http::response> show_objects(daemon_runtime &runtime,
                                    const query::show_statement &statement,
                                    const std::string &kind) {
  std::vector<std::string> fields{"name", "version"};
  rows_of_json rows;
  const wire::ConfigurationDelta all = runtime.node().with_configuration(
      [](const config::configuration_store &configuration) {
        return configuration.changes_after(0);
      });
  for (const wire::ConfigurationObject &object : all.objects()) {
    if (object.kind() != kind || object.removed()) {
      continue;
    }
    json::object row{{"name", object.name()}, {"version", object.version()}};
    boost::system::error_code failure;
    const json::value document = json::parse(object.document(), failure);
    if (const auto *document_fields = document.if_object()) {
      for (const json::key_value_pair &field : *document_fields) {
        const std::string key(field.key());
        row[key] = field.value();
        if (std::find(fields.begin(), fields.end(), key) == fields.end()) {
          fields.push_back(key);
        }
      }
    }
    rows.push_back(std::move(row));
  }
  BOOST_OUTCOME_TRY(auto selected,
                    query::select_rows(std::move(rows), fields, statement));
  return table_response(fields, selected, 1, 1);
}

result<http::response> run(daemon_runtime &runtime,
                           const query::show_statement &statement) {
  for (const std::string &kind : object_kinds) {
    const std::string plural = kind == "class" ? "classes" : kind + "s";
    if (statement.table == plural) {
      return show_objects(runtime, statement, kind);
    }
  }
  const bool calls = statement.table == "calls";
  if (!calls && statement.table != "nodes") {
    return fail(error_code::invalid_request,
                fmt::format("no table {}; there are calls, nodes, tenants, "
                            "classes, models, backends, tools and machines",
                            statement.table),
                "run statement");
  }
  cluster_status answer = query_all_nodes(runtime, calls);
  rows_of_json rows;
  if (calls) {
    rows = std::move(answer.calls);
  } else {
    for (const wire::NodeRow &node : answer.nodes) {
      rows.push_back(to_row(node));
    }
  }
  const std::vector<std::string> &fields = calls ? call_fields : node_fields;
  BOOST_OUTCOME_TRY(auto selected,
                    query::select_rows(std::move(rows), fields, statement));
  return table_response(fields, selected, answer.expected, answer.nodes.size());
}

/// Waits until all daemons have applied a revision or the timeout expires, and
/// returns how many have applied it.
json::object wait_for_propagation(daemon_runtime &runtime,
                                  std::uint64_t revision) {
  const auto deadline = std::chrono::steady_clock::now() + propagation_timeout;
  std::size_t in_force = 0;
  std::size_t expected = 0;
  while (true) {
    const cluster_status answer = query_all_nodes(runtime, false);
    expected = std::max(answer.expected, answer.nodes.size());
    in_force = static_cast<std::size_t>(
        std::count_if(answer.nodes.begin(), answer.nodes.end(),
                      [revision](const wire::NodeRow &node) {
                        return node.configuration_revision() >= revision;
                      }));
    const bool done = in_force >= expected;
    if (done || std::chrono::steady_clock::now() >= deadline) {
      break;
    }
    boost::this_fiber::sleep_for(propagation_poll_interval);
  }
  return {
      {"version", revision}, {"in_force_on", in_force}, {"nodes", expected}};
}

/// Reads an object, applies `change` to its document, and writes the result by
/// compare-and-set.
/// @param creates the object must not exist yet; otherwise it must exist.
/// @param change returns the new document; an empty one removes the object.
result<http::response>
change_object(daemon_runtime &runtime, const std::string &kind,
              const std::string &name, std::optional<std::int64_t> version,
              bool creates,
              const std::function<result<std::string>(json::object)> &change) {
  if (std::find(object_kinds.begin(), object_kinds.end(), kind) ==
      object_kinds.end()) {
    return fail(error_code::invalid_request,
                fmt::format("no such kind of object: {}", kind),
                "run statement");
  }
  platform_client::platform_client &platform = runtime.platform();
  BOOST_OUTCOME_TRY(const auto stored, platform.read(kind, name));
  const bool exists = stored.has_value() && !stored->removed;
  if (creates && exists) {
    return fail(error_code::conflict,
                fmt::format("{} {} exists, with version {}", kind, name,
                            stored->version),
                "run statement", platform.address());
  }
  if (!creates && !exists) {
    return fail(error_code::not_found, fmt::format("no {} {}", kind, name),
                "run statement", platform.address());
  }
  const std::uint64_t found = exists ? stored->version : 0;
  if (version.has_value() && static_cast<std::uint64_t>(*version) != found) {
    return fail(error_code::conflict,
                fmt::format("{} {} has version {}, expected {}", kind, name,
                            found, *version),
                "run statement", platform.address());
  }
  json::object fields;
  if (exists) {
    boost::system::error_code failure;
    const json::value document = json::parse(stored->document, failure);
    fields = document.is_object() ? document.as_object() : json::object();
  }
  BOOST_OUTCOME_TRY(const std::string document, change(std::move(fields)));
  BOOST_OUTCOME_TRY(const std::uint64_t revision,
                    platform.write({.kind = kind,
                                    .name = name,
                                    .document = document,
                                    .expected_version = found,
                                    .change_id = runtime.new_request_id()}));
  logging::write(logging::event::configuration_change_settled,
                 fmt::format("{} {} version {}", kind, name, revision));
  json::object body{{"accepted", true}, {"kind", kind}, {"name", name}};
  for (const auto &field : wait_for_propagation(runtime, revision)) {
    body[field.key()] = field.value();
  }
  return http::json_response(200, json::serialize(body) + "\n");
}

json::value to_json(const query::literal &value) {
  if (const auto *number = std::get_if<std::int64_t>(&value)) {
    return *number;
  }
  if (const auto *text = std::get_if<std::string>(&value)) {
    return json::value(*text);
  }
  json::array list;
  for (const std::string &item : std::get<std::vector<std::string>>(value)) {
    list.emplace_back(item);
  }
  return list;
}

result<http::response> run(daemon_runtime &runtime,
                           const query::write_statement &statement) {
  const auto change = [&statement](json::object fields) -> result<std::string> {
    for (const query::assignment &each : statement.assignments) {
      fields[each.field] = to_json(each.value);
    }
    std::string document = json::serialize(fields);
    BOOST_OUTCOME_TRYV(
        config::parse_object(statement.kind, statement.name, document));
    return document;
  };
  return change_object(runtime, statement.kind, statement.name,
                       statement.version, statement.creates, change);
}

result<http::response> run(daemon_runtime &runtime,
                           const query::remove_statement &statement) {
  const auto change = [](const json::object &) -> result<std::string> {
    return std::string();
  };
  return change_object(runtime, statement.kind, statement.name,
                       statement.version, false, change);
}

result<http::response> run(daemon_runtime &runtime,
                           const query::drain_statement &statement) {
  const auto change = [](json::object fields) -> result<std::string> {
    fields["state"] = "draining";
    return json::serialize(fields);
  };
  return change_object(runtime, "backend", statement.name, statement.version,
                       false, change);
}

result<http::response> run(daemon_runtime &runtime,
                           const query::end_statement &statement) {
  const auto partition = runtime.node().partition_for(statement.program);
  if (!partition.has_value()) {
    return fail(error_code::not_ready, "the cluster has not formed yet",
                "route");
  }
  client_registry::handle handle(runtime.clients(), runtime.new_request_id());
  wire::Event event;
  wire::ClientRequest &request =
      *event.mutable_client_arrived()->mutable_request();
  request.set_request_id(handle.id());
  request.set_partition(partition->value());
  request.mutable_end_program()->set_program(statement.program);
  request.mutable_end_program()->set_reason("ended by an operator");
  runtime.post(std::move(event));
  while (auto message = handle.mailbox().pop()) {
    if (const auto *reply = std::get_if<wire::ReplyToClient>(&*message)) {
      return reply->reply().has_program()
                 ? http::json_response(200,
                                       program_json(reply->reply().program()))
                 : failure_response(reply->reply().failure());
    }
  }
  return fail(error_code::internal, "no answer", "run statement");
}

} // namespace

std::uint32_t run_statement(daemon_runtime &runtime, http::exchange &exchange) {
  const auto parsed = query::parse_statement(exchange.incoming().body);
  result<http::response> answer =
      parsed ? std::visit(
                   [&runtime](const auto &statement) -> result<http::response> {
                     return run(runtime, statement);
                   },
                   parsed.value())
             : result<http::response>(parsed.as_failure());
  http::response response =
      answer ? std::move(answer.value()) : failure_response(answer.error());
  const std::uint32_t status = response.status;
  exchange.respond(std::move(response));
  return status;
}

} // namespace heathtrestle::daemon
