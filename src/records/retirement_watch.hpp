// Watches the operator's requests to retire nodes, passes them to the record
// group, and writes their progress back to the store.
#pragma once

#include "objects/object_cache.hpp"
#include "objects/object_watch.hpp"
#include "records/record_runtime.hpp"
#include "records/retirement_reports.hpp"
#include "records/store_process.hpp"
#include "runtime/asio.hpp"

namespace heathtrestle::records {

class retirement_watch {
public:
  /// All references outlive the watch.
  retirement_watch(asio::io_context &io, const store_binding &binding,
                   record_runtime &runtime);

  /// Starts watching the requests and reporting on them until the process ends.
  void start();

private:
  void apply_request(const objects::object &request);
  void on_listing(const objects::listing &listed);
  void on_change(const objects::change &changed);
  asio::awaitable<void> report();
  asio::awaitable<void> report_one(retirement_report due);

  asio::io_context &io_;
  const store_binding &binding_;
  record_runtime &runtime_;
  objects::object_cache cache_;
  retirement_reports reports_;
  objects::object_watch watch_;
};

} // namespace heathtrestle::records
