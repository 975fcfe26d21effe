// A gateway with the replicas of one service and a route to them, for tests of
// what becomes of requests whose replicas end.
#pragma once

#include "forwarding/client_session.hpp"
#include "forwarding/gateway.hpp"
#include "http/status_server.hpp"
#include "support/coroutines.hpp"
#include "support/gateway_client.hpp"
#include "support/header_names.hpp"
#include "support/open_ledger.hpp"
#include "support/scripted_replica.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cppunit/TestFixture.h>

namespace heathtrestle::test_support {

class one_service_fixture : public CppUnit::TestFixture {
protected:
  using client_fields = std::map<std::string, std::string>;

  asio::io_context io_;
  open_ledger ledger_;
  std::map<std::string, std::unique_ptr<scripted_replica>> replicas_;
  std::unique_ptr<forwarding::gateway> gateway_;
  std::unique_ptr<tcp::acceptor> clients_;

  /// @param options whose header names and places are set here.
  void start_gateway(forwarding::gateway_options options = {}) {
    options.headers = test_names();
    options.selection.places = routing::topology("z");
    gateway_ = std::make_unique<forwarding::gateway>(io_, options, ledger_);
    clients_ = std::make_unique<tcp::acceptor>(
        std::move(http::listen(io_, "127.0.0.1:0")).value());
    asio::co_spawn(io_, forwarding::accept_clients(*gateway_, *clients_),
                   asio::detached);
    gateway_->apply_routes(settings());
  }

  /// Idempotent requests under "/go", and under "/once" those that must not run
  /// twice.
  static routing::configuration settings() {
    routing::configuration settings;
    settings.version = routing::configuration_version{1};
    routing::route lookups;
    lookups.name = "lookups";
    lookups.host = "h";
    lookups.path_prefix = "/";
    lookups.kind = routing::request_kind::idempotent;
    lookups.timeout = duration_ms{2000};
    lookups.services = {{routing::service_id{"s"}, 1}};
    lookups.max_attempts = 2;
    routing::route once = lookups;
    once.name = "once";
    once.path_prefix = "/once/";
    once.kind = routing::request_kind::non_idempotent;
    once.max_attempts = 1;
    settings.routes = {lookups, once};
    routing::service service;
    service.id = routing::service_id{"s"};
    settings.services = {service};
    return settings;
  }

  void list(const std::string &id, bool draining = false) {
    gateway_->replicas().put({.id = routing::instance_id{id},
                              .service = routing::service_id{"s"},
                              .address = replicas_.at(id)->address(),
                              .zone = "z",
                              .slots = 4,
                              .draining = draining});
  }

  scripted_replica &add_replica(const std::string &id, scripted answer) {
    replicas_[id] = std::make_unique<scripted_replica>(io_);
    replicas_[id]->script.push_back(std::move(answer));
    list(id);
    return *replicas_.at(id);
  }

  [[nodiscard]] std::size_t sends() const {
    std::size_t sum = 0;
    for (const auto &[id, replica] : replicas_) {
      sum += replica->received.size();
    }
    return sum;
  }

  unsigned ask(const std::string &attempt, const client_fields &fields = {}) {
    return ask_gateway(io_, *clients_, "/go", attempt, fields)->result_int();
  }

  void wait_for(duration_ms span) {
    asio::steady_timer timer(io_, span);
    await_result(io_, timer.async_wait(as_result));
  }

public:
  void tearDown() override { io_.stop(); }
};

} // namespace heathtrestle::test_support
