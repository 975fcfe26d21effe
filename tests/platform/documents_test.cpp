// Tests the adapter with recorded documents of the platform.
#include "documents.hpp"
#include "names.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

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
  CPPUNIT_TEST(duplicate_api_key_is_rejected);
  CPPUNIT_TEST(malformed_tenants_are_rejected);
  CPPUNIT_TEST(a_replica_is_read);
  CPPUNIT_TEST(a_listing_and_its_pages_are_read);
  CPPUNIT_TEST(changes_are_read);
  CPPUNIT_TEST(start_and_warm_up_time_of_a_replica_are_read);
  CPPUNIT_TEST(entries_that_are_not_replicas_are_rejected);
  CPPUNIT_TEST(malformed_listing_entry_keeps_the_others);
  CPPUNIT_TEST(malformed_change_keeps_the_others);
  CPPUNIT_TEST(invalid_json_in_one_entry_keeps_the_others);
  CPPUNIT_TEST(page_with_invalid_json_around_the_entries_is_malformed);
  CPPUNIT_TEST(mutations_of_one_entry_keep_the_others);
  CPPUNIT_TEST(mutations_of_one_change_keep_the_others);
  CPPUNIT_TEST(written_documents_match_the_platform_format);
  CPPUNIT_TEST(gateway_only_headers_are_listed);
  CPPUNIT_TEST_SUITE_END();

  static json::value with_tenants(const char *tenants) {
    json::value document = json::parse(configuration_document);
    document.as_object()["tenants"] = json::parse(tenants);
    return document;
  }

  /// The replica's document with some fields replaced.
  template <typename... Rest>
  static json::value replica_with(const char *name, json::value value,
                                  Rest &&...rest) {
    json::value document;
    if constexpr (sizeof...(rest) > 0) {
      document = replica_with(std::forward<Rest>(rest)...);
    } else {
      document = json::parse(replica_document);
    }
    document.as_object()[name] = std::move(value);
    return document;
  }

  static std::string entry(const std::string &name) {
    return R"({"metadata":{"name":")" + name +
           R"(","revision":5,"created":1,"finalizers":[],"is-deleting":false},"specification":)" +
           replica_document + R"(,"status":null})";
  }
  static std::string change(const std::string &name) {
    return R"({"deleted":false,"object":)" + entry(name) + "}";
  }
  static std::string join(const std::vector<std::string> &parts) {
    std::string all;
    for (const std::string &each : parts) {
      all += (all.empty() ? "" : ",") + each;
    }
    return all;
  }
  static std::string listing_of(const std::vector<std::string> &entries) {
    return R"({"items":[)" + join(entries) +
           R"(],"has-more":false,"timestamp":530})";
  }
  static std::string changes_of(const std::vector<std::string> &changes) {
    return R"({"events":[)" + join(changes) + R"(],"timestamp":533})";
  }

  /// True when the page holds this entry undamaged.
  static bool holds(const listing_page &page, const std::string &name) {
    const auto &items = page.objects.items;
    return std::any_of(items.begin(), items.end(), [&](const auto &each) {
      return each.name == name && each.revision == 5 &&
             each.specification == json::parse(replica_document);
    });
  }

  /// Changes, inserts or removes some bytes.
  static std::string mutated(std::string text, std::minstd_rand &random) {
    constexpr std::string_view syntax_bytes = "{}[]\",:\\\xff 1e";
    const std::size_t count = 1 + random() % 4;
    for (std::size_t n = 0; n < count && !text.empty(); ++n) {
      const std::size_t at = random() % text.size();
      const char byte = random() % 2 == 0
                            ? syntax_bytes[random() % syntax_bytes.size()]
                            : static_cast<char>(random() % 256);
      switch (random() % 4) {
      case 0:
        text[at] = byte;
        break;
      case 1:
        text.insert(at, 1, byte);
        break;
      case 2:
        text.erase(at, 1 + random() % 8);
        break;
      default:
        text.resize(at);
        break;
      }
    }
    return text;
  }

  /// Different enough that no mutation turns one name into another.
  inline static const std::vector<std::string> names{"amber", "birch", "cedar",
                                                     "doves", "elder"};
  static constexpr int mutations = 4000;
  static constexpr std::uint32_t mutation_seed = 20;

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

  void duplicate_api_key_is_rejected() {
    const auto read = read_configuration(with_tenants(
        R"([{"name":"a","api-keys":["k"]},{"name":"b","api-keys":["k"]}])"));
    CPPUNIT_ASSERT(!read);
    CPPUNIT_ASSERT(describe(read.error()).find("\"b\"") != std::string::npos);
  }

  void malformed_tenants_are_rejected() {
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
    CPPUNIT_ASSERT(changes.value().changes.changes.at(0).deleted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{533}, changes.value().changes.revision);
    CPPUNIT_ASSERT(!read_changes(json::parse(R"({"events":[]})")));
  }

  void start_and_warm_up_time_of_a_replica_are_read() {
    const auto read = read_instance(
        "i", replica_with("born", 1764720000123, "cold-remaining-ms", 2500.5));
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1764720000123}, read.value().born_ms);
    CPPUNIT_ASSERT(read.value().cold_for == duration_ms{2501});
    const auto without_start =
        read_instance("i", json::parse(replica_document));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, without_start.value().born_ms);
  }

  void entries_that_are_not_replicas_are_rejected() {
    for (const char *name : {"service", "address", "zone", "version", "slots",
                             "state", "cold-remaining-ms", "sequence"}) {
      json::value lacking = json::parse(replica_document);
      lacking.as_object().erase(name);
      CPPUNIT_ASSERT_MESSAGE(name, !read_instance("i", lacking));
      for (const char *other : {"null", "[]", "{}", "true", "-1", "\"\""}) {
        CPPUNIT_ASSERT_MESSAGE(
            std::string(name) + other,
            !read_instance("i", replica_with(name, json::parse(other))));
      }
    }
    const std::vector<std::pair<const char *, json::value>> odd{
        {"state", "sleeping"},
        {"address", "10.0.0.9"},
        {"address", "host:80"},
        {"address", "10.0.0.9:0"},
        {"slots", 0},
        {"slots", 1e12},
        {"slots", 2.5},
        {"cold-remaining-ms", 1e300},
        {"born", 17.5},
        {"born", "1764720000123"},
        {"born", 0},
        {"born", -5},
        {"born", 1e18},
        {"born", nullptr}};
    for (const auto &[name, value] : odd) {
      CPPUNIT_ASSERT_MESSAGE(std::string(name) + json::serialize(value),
                             !read_instance("i", replica_with(name, value)));
    }
    for (const char *whole : {"null", "3", "\"text\"", "[]", "{}"}) {
      CPPUNIT_ASSERT(!read_instance("i", json::parse(whole)));
    }
    CPPUNIT_ASSERT(read_instance("i", replica_with("service", "unheard-of")));
  }

  void malformed_listing_entry_keeps_the_others() {
    for (const char *odd :
         {"7", "null", "[]", "{}", R"({"metadata":3})",
          R"({"metadata":{"revision":9}})", R"({"metadata":{"name":7}})"}) {
      const auto page = parse_listing(listing_of({entry("ash"), odd}));
      CPPUNIT_ASSERT_MESSAGE(odd, page);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page.value().objects.items.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page.value().unnamed);
    }
    for (const char *odd :
         {R"({"metadata":{"name":"oak"}})",
          R"({"metadata":{"name":"oak","revision":"x"},"specification":1})",
          R"({"metadata":{"name":"oak","revision":2.5},"specification":1})",
          R"({"metadata":{"name":"oak","revision":-2},"specification":1})"}) {
      const auto page = parse_listing(listing_of({odd, entry("ash")}));
      CPPUNIT_ASSERT_MESSAGE(odd, page);
      const auto &items = page.value().objects.items;
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, items.size());
      CPPUNIT_ASSERT_EQUAL(std::string("oak"), items[0].name);
      CPPUNIT_ASSERT(items[0].specification.is_null());
      CPPUNIT_ASSERT(!items[1].specification.is_null());
    }
  }

  void malformed_change_keeps_the_others() {
    for (const char *odd : {"7", "{}", R"({"deleted":true})",
                            R"({"object":{"metadata":{"revision":9}}})"}) {
      const auto read = parse_changes(changes_of({odd, change("ash")}));
      CPPUNIT_ASSERT_MESSAGE(odd, read);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.value().changes.changes.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.value().unnamed);
    }
    const auto named = parse_changes(
        changes_of({R"({"deleted":false,"object":{"metadata":{"name":"oak"}}})",
                    change("ash")}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, named.value().unnamed);
    CPPUNIT_ASSERT_EQUAL(std::string("oak"),
                         named.value().changes.changes.at(0).changed.name);
  }

  void invalid_json_in_one_entry_keeps_the_others() {
    const std::string deep = std::string(60, '[') + std::string(60, ']');
    const std::string fields = R"({"metadata":{"name":"oak","revision":5},)";
    const std::vector<std::string> named{
        fields + "\"specification\":\"\xff\xfe\"}",
        fields + "\"specification\":{\"\xc3\":1}}",
        fields + "\"specification\":" + deep + "}"};
    for (const std::string &odd : named) {
      const auto page =
          parse_listing(listing_of({entry("ash"), odd, entry("elm")}));
      CPPUNIT_ASSERT_MESSAGE(odd, page);
      const auto &items = page.value().objects.items;
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, items.size());
      CPPUNIT_ASSERT_EQUAL(std::string("oak"), items[1].name);
      CPPUNIT_ASSERT(items[1].specification.is_null());
      CPPUNIT_ASSERT(!items[2].specification.is_null());
    }
    const std::vector<std::string> unnamed{
        fields + R"("specification":{"service":"a)", // broken off
        fields + R"("specification":{"a":1})",
        fields,
        "{",
        "\"",
        fields + "\"specification\":\x01}",
        fields + R"("specification":1}})",
        "{\"metadata\":{\"name\":\"\xff\",\"revision\":5}}"};
    for (const std::string &odd : unnamed) {
      const auto page =
          parse_listing(listing_of({entry("ash"), odd, entry("elm")}));
      CPPUNIT_ASSERT_MESSAGE(odd, page);
      CPPUNIT_ASSERT_MESSAGE(odd, holds(page.value(), "ash"));
      CPPUNIT_ASSERT_MESSAGE(odd, holds(page.value(), "elm"));
      CPPUNIT_ASSERT_MESSAGE(odd, page.value().unnamed > 0);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{530}, page.value().objects.revision);
    }
  }

  void page_with_invalid_json_around_the_entries_is_malformed() {
    for (const char *text :
         {"", "{", "[]", "{\"items\":[}", "{\"items\":[],\"timestamp\":",
          "{\"items\":{},\"timestamp\":4}", "\xff"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !parse_listing(text));
      CPPUNIT_ASSERT_MESSAGE(text, !parse_changes(text));
    }
  }

  void mutations_of_one_entry_keep_the_others() {
    std::vector<std::string> entries;
    for (const std::string &name : names) {
      entries.push_back(entry(name));
    }
    std::minstd_rand random(mutation_seed);
    for (int round = 0; round < mutations; ++round) {
      const std::size_t victim = random() % entries.size();
      std::vector<std::string> damaged = entries;
      damaged[victim] = mutated(damaged[victim], random);
      const auto page = parse_listing(listing_of(damaged));
      CPPUNIT_ASSERT_MESSAGE(damaged[victim], page);
      for (const std::string &name : names) {
        CPPUNIT_ASSERT_MESSAGE(name + " beside " + damaged[victim],
                               name == names[victim] ||
                                   holds(page.value(), name));
      }
    }
  }

  void mutations_of_one_change_keep_the_others() {
    std::vector<std::string> changes;
    for (const std::string &name : names) {
      changes.push_back(change(name));
    }
    std::minstd_rand random(mutation_seed);
    for (int round = 0; round < mutations; ++round) {
      const std::size_t victim = random() % changes.size();
      std::vector<std::string> damaged = changes;
      damaged[victim] = mutated(damaged[victim], random);
      const auto read = parse_changes(changes_of(damaged));
      CPPUNIT_ASSERT_MESSAGE(damaged[victim], read);
      listing_page page;
      for (const objects::change &each : read.value().changes.changes) {
        page.objects.items.push_back(each.changed);
      }
      for (const std::string &name : names) {
        CPPUNIT_ASSERT_MESSAGE(name + " beside " + damaged[victim],
                               name == names[victim] || holds(page, name));
      }
    }
  }

  void written_documents_match_the_platform_format() {
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

  void gateway_only_headers_are_listed() {
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
