// The adapter against recorded bytes of the platform's documents.
#include "documents.hpp"
#include "names.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/json/parse.hpp>

namespace heathtrestle::platform {
namespace {

namespace json = boost::json;

constexpr const char *configuration_document = R"({"version":7,"routes":[
{"name":"r-2b9wu3f","host":"ficu95.example","path-prefix":"/pufi791/","kind":"streaming","timeout-ms":3000,"target-latency-ms":200,"priority":0,"service":"huvo11a","max-attempts":2,"is-retained":true,"retention-s":60.0,"sticky-sessions":true,"resumable":false,"target-gap-ms":300},
{"name":"r-i9n73hh","host":"ficu95.example","path-prefix":"/lohu930/","kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":200,"priority":1,"traffic-split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],"max-attempts":2}],
"services":[{"name":"huvo11a","health-path":"/health","connection-limit":160,"protocol":"h1","tls":false,"engine":{"slots":12,"kv-cache-tokens":490370,"tokens-per-event":25,"pin-duration-ms":4000.0}},{"name":"wuno96b","health-path":"/health","connection-limit":110,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

constexpr const char *replica_document =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"ebene-a","version":"v1","slots":12,"state":"ready","cold-remaining-ms":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"sequence":4})";

class documents_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(documents_test);
  CPPUNIT_TEST(a_configuration_is_read_whole);
  CPPUNIT_TEST(a_configuration_that_lacks_a_field_names_it);
  CPPUNIT_TEST(a_field_of_another_type_is_named);
  CPPUNIT_TEST(tenants_are_read);
  CPPUNIT_TEST(a_key_that_two_tenants_hold_is_refused);
  CPPUNIT_TEST(damaged_tenants_are_refused);
  CPPUNIT_TEST(a_replica_is_read);
  CPPUNIT_TEST(a_listing_and_its_pages_are_read);
  CPPUNIT_TEST(changes_are_read);
  CPPUNIT_TEST(what_is_written_has_the_platforms_shape);
  CPPUNIT_TEST(forged_fields_of_the_gateway_are_known);
  CPPUNIT_TEST_SUITE_END();

  static json::value with_tenants(const char *tenants) {
    json::value document = json::parse(configuration_document);
    document.as_object()["tenants"] = json::parse(tenants);
    return document;
  }

public:
  void tenants_are_read() {
    const auto read = read_configuration(with_tenants(
        R"([{"name":"hule930","api-keys":["jvz4","26tt"],"priority":1,"rate-per-s":348,"burst":350},{"name":"b","api-keys":[]}])"));
    CPPUNIT_ASSERT(read);
    const auto &tenants = read.value().tenants;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tenants.size());
    CPPUNIT_ASSERT_EQUAL(std::string("hule930"), tenants[0].id.value());
    CPPUNIT_ASSERT_EQUAL(std::string("26tt"), tenants[0].keys.at(1).value());
    CPPUNIT_ASSERT_EQUAL(348.0, tenants[0].quota.rate_per_second);
    CPPUNIT_ASSERT_EQUAL(350.0, tenants[0].quota.burst);
    CPPUNIT_ASSERT_EQUAL(1U, tenants[0].priority.value());
    CPPUNIT_ASSERT(!tenants[1].quota.limited() && !tenants[1].priority);
    CPPUNIT_ASSERT(!read.value().routes[0].open);
  }

  void a_key_that_two_tenants_hold_is_refused() {
    const auto read = read_configuration(with_tenants(
        R"([{"name":"a","api-keys":["k"]},{"name":"b","api-keys":["k"]}])"));
    CPPUNIT_ASSERT(!read);
    CPPUNIT_ASSERT(describe(read.error()).find("\"b\"") != std::string::npos);
  }

  void damaged_tenants_are_refused() {
    for (const char *damaged :
         {R"({})", R"([{}])", R"([{"name":"a"}])",
          R"([{"name":"a","api-keys":[7]}])",
          R"([{"name":"a","api-keys":["k"],"rate-per-s":-1}])",
          R"([{"name":"","api-keys":["k"]}])"}) {
      CPPUNIT_ASSERT_MESSAGE(damaged,
                             !read_configuration(with_tenants(damaged)));
    }
  }

  void a_configuration_is_read_whole() {
    const auto read = read_configuration(json::parse(configuration_document));
    CPPUNIT_ASSERT(read);
    const routing::configuration &settings = read.value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, settings.version.value());
    const routing::route &turns = settings.routes.at(0);
    CPPUNIT_ASSERT(turns.kind == routing::request_kind::streaming);
    CPPUNIT_ASSERT(turns.retained && !turns.resumable && !turns.repeatable());
    CPPUNIT_ASSERT(turns.retention == duration_ms{60000});
    CPPUNIT_ASSERT(turns.target_gap == duration_ms{300});
    CPPUNIT_ASSERT_EQUAL(2U, turns.max_attempts);
    const routing::route &split = settings.routes.at(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, split.services.size());
    CPPUNIT_ASSERT_EQUAL(10U, split.services[1].weight);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{25},
                         settings.services.at(0).engine->tokens_per_event);
    CPPUNIT_ASSERT(!settings.services.at(1).engine);
    CPPUNIT_ASSERT_EQUAL(16384U, settings.limits.header_bytes);
  }

  void a_configuration_that_lacks_a_field_names_it() {
    json::value document = json::parse(configuration_document);
    document.at("routes").at(0).as_object().erase("path-prefix");
    const auto read = read_configuration(document);
    CPPUNIT_ASSERT(!read);
    CPPUNIT_ASSERT(read.error().message.find("path-prefix") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("read configuration"), read.error().step);
  }

  void a_field_of_another_type_is_named() {
    json::value document = json::parse(configuration_document);
    document.at("limits").as_object()["max-body-bytes"] = "many";
    const auto read = read_configuration(document);
    CPPUNIT_ASSERT(!read);
    CPPUNIT_ASSERT(read.error().message.find("max-body-bytes") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!read_configuration(json::value(3)));
  }

  void a_replica_is_read() {
    const auto read =
        read_instance("i-7f3a91c2", json::parse(replica_document));
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT_EQUAL(std::string("i-7f3a91c2"), read.value().id.value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.128.0.9:8080"), read.value().address);
    CPPUNIT_ASSERT_EQUAL(12U, read.value().slots);
    CPPUNIT_ASSERT(!read.value().draining);
  }

  void a_listing_and_its_pages_are_read() {
    const auto page = read_listing(json::parse(
        R"({"items":[{"metadata":{"name":"i-1","revision":5,"created":1,"finalizers":[],"is-deleting":false},"specification":{"a":1},"status":null}],"has-more":true,"timestamp":530})"));
    CPPUNIT_ASSERT(page);
    CPPUNIT_ASSERT(page.value().has_more);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{530}, page.value().objects.revision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                         page.value().objects.items.at(0).revision);
  }

  void changes_are_read() {
    const auto changes = read_changes(json::parse(
        R"({"events":[{"deleted":true,"object":{"metadata":{"name":"i-1","revision":6},"specification":null,"status":null}}],"timestamp":533})"));
    CPPUNIT_ASSERT(changes);
    CPPUNIT_ASSERT(changes.value().changes.at(0).deleted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{533}, changes.value().revision);
    CPPUNIT_ASSERT(!read_changes(json::parse(R"({"events":[]})")));
  }

  void what_is_written_has_the_platforms_shape() {
    const json::value written =
        write_object("leader", 412, json::value("mine"), json::value());
    CPPUNIT_ASSERT(
        written ==
        json::parse(
            R"({"metadata":{"name":"leader","finalizers":[],"revision":412},"specification":"mine"})"));
    CPPUNIT_ASSERT(retirement_status(true) ==
                   json::parse(R"({"state":"completed"})"));
    CPPUNIT_ASSERT(retirement_status(false) ==
                   json::parse(R"({"state":"in_progress"})"));
    CPPUNIT_ASSERT(retirement_completed(retirement_status(true)) == true);
    CPPUNIT_ASSERT(retirement_completed(retirement_status(false)) == false);
    CPPUNIT_ASSERT(!retirement_completed(json::value()));
    CPPUNIT_ASSERT(!retirement_completed(json::parse(R"({"state":"new"})")));
  }

  void forged_fields_of_the_gateway_are_known() {
    const forwarding::header_names names = header_names();
    const auto &own = names.gateway_only;
    for (const std::string &name :
         {names.expected_instance, names.request_priority}) {
      CPPUNIT_ASSERT(std::find(own.begin(), own.end(), name) != own.end());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(documents_test);

} // namespace
} // namespace heathtrestle::platform
