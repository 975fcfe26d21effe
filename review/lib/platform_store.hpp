// The platform's store: objects by kind and name, one counter of revisions,
// listings and watches.
#pragma once

#include "net.hpp"

#include <boost/json.hpp>

#include <condition_variable>
#include <deque>

namespace review {

namespace json = boost::json;

class platform_store {
public:
  bool start(int port) {
    return serve(port, [this](connection_ptr client) {
      while (const auto request = client->read(3600 * 1000)) {
        const auto [status, document] = answer(*request);
        const std::string line =
            "HTTP/1.1 " + std::to_string(status) + " Status";
        if (!client->write(to_text(line, {{"Content-Type", "application/json"}},
                                   json::serialize(document)))) {
          return;
        }
      }
    });
  }

  /// Writes an object's specification as the operator or a replica does.
  void put(const std::string &kind, const std::string &name,
           json::value specification) {
    const std::scoped_lock lock(mutex_);
    stored &object = kinds_[kind][name];
    object.specification = std::move(specification);
    changed(kind, name, object, false);
  }

  json::value status_of(const std::string &kind, const std::string &name) {
    const std::scoped_lock lock(mutex_);
    const auto found = kinds_[kind].find(name);
    return found == kinds_[kind].end() ? json::value() : found->second.status;
  }

private:
  struct stored {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    json::value specification;
    json::value status;
  };
  struct event {
    std::uint64_t revision;
    std::string kind;
    json::value document;
  };
  using reply = std::pair<int, json::value>;

  static json::value document_of(const std::string &name,
                                 const stored &object) {
    return json::object{{"metadata", json::object{{"name", name},
                                                  {"revision", object.revision},
                                                  {"created", object.created},
                                                  {"finalizers", json::array()},
                                                  {"is-deleting", false}}},
                        {"specification", object.specification},
                        {"status", object.status}};
  }

  void changed(const std::string &kind, const std::string &name, stored &object,
               bool deleted) {
    object.revision = ++revision_;
    object.created = object.created == 0 ? revision_ : object.created;
    history_.push_back(
        {revision_, kind,
         json::object{{"object", document_of(name, object)},
                      {"deleted", deleted}}});
    wake_.notify_all();
  }

  static std::map<std::string, std::string> query_of(const std::string &text) {
    std::map<std::string, std::string> query;
    std::size_t at = 0;
    while (at < text.size()) {
      const std::size_t end = std::min(text.find('&', at), text.size());
      const std::string item = text.substr(at, end - at);
      const std::size_t equals = item.find('=');
      query[item.substr(0, equals)] =
          equals == std::string::npos ? "" : item.substr(equals + 1);
      at = end + 1;
    }
    return query;
  }

  reply answer(const http_message &request) {
    const std::string target = request.target();
    const std::size_t mark = target.find('?');
    const auto query = query_of(
        mark == std::string::npos ? "" : target.substr(mark + 1));
    std::string path = target.substr(0, mark);
    const std::string prefix = "/objects/";
    if (path.rfind(prefix, 0) != 0) {
      return {404, json::object()};
    }
    path = path.substr(prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    const std::string suffix = "/status";
    const bool is_status =
        name.size() > suffix.size() &&
        name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0;
    if (is_status) {
      name.resize(name.size() - suffix.size());
    }
    const std::string method = request.method();
    std::unique_lock lock(mutex_);
    if (method == "GET" && name.empty() && query.count("watch") != 0) {
      return watch(lock, kind, query);
    }
    auto &objects = kinds_[kind];
    if (method == "GET" && name.empty()) {
      json::array items;
      for (const auto &[each, object] : objects) {
        items.push_back(document_of(each, object));
      }
      return {200, json::object{{"items", std::move(items)},
                                {"has-more", false},
                                {"timestamp", revision_}}};
    }
    if (method == "GET") {
      const auto found = objects.find(name);
      return found == objects.end()
                 ? reply{404, json::object()}
                 : reply{200, document_of(name, found->second)};
    }
    if (method == "DELETE") {
      const auto found = objects.find(name);
      if (found == objects.end()) {
        return {404, json::object()};
      }
      stored gone = found->second;
      objects.erase(found);
      changed(kind, name, gone, true);
      return {200, document_of(name, gone)};
    }
    const json::value body = json::parse(request.body);
    const json::object &metadata = body.at("metadata").as_object();
    const bool creates = method == "POST";
    if (creates) {
      name = json::value_to<std::string>(metadata.at("name"));
    }
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    if (creates && exists) {
      return {409, document_of(name, found->second)};
    }
    if (!creates && !exists) {
      return {404, json::object()};
    }
    if (exists && metadata.contains("revision") &&
        metadata.at("revision").to_number<std::uint64_t>() !=
            found->second.revision) {
      return {409, document_of(name, found->second)};
    }
    stored &object = objects[name];
    const char *part = is_status ? "status" : "specification";
    json::value &old = is_status ? object.status : object.specification;
    json::value fresh = body.as_object().contains(part) ? body.at(part)
                                                        : json::value();
    if (exists && fresh == old) {
      return {200, document_of(name, object)}; // changes nothing
    }
    old = std::move(fresh);
    changed(kind, name, object, false);
    return {200, document_of(name, object)};
  }

  reply watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
              const std::map<std::string, std::string> &query) {
    const std::uint64_t since =
        std::strtoull(query.at("watch").c_str(), nullptr, 10);
    const auto given = query.find("wait-ms");
    const auto until =
        steady::now() +
        ms(given == query.end() ? 0 : std::atoi(given->second.c_str()));
    while (true) {
      json::array events;
      for (const event &each : history_) {
        if (each.kind == kind && each.revision > since) {
          events.push_back(each.document);
        }
      }
      if (!events.empty() || steady::now() >= until) {
        return {200, json::object{{"events", std::move(events)},
                                  {"timestamp", revision_}}};
      }
      wake_.wait_until(lock, until);
    }
  }

  std::mutex mutex_;
  std::condition_variable wake_;
  std::uint64_t revision_ = 0;
  std::map<std::string, std::map<std::string, stored>> kinds_;
  std::deque<event> history_;
};

} // namespace review
