// Base class of fake object stores for code that only lists and watches
// objects: all other calls fail, except `remove`.
#pragma once

#include "objects/object_store.hpp"

#include <string>

namespace heathtrestle::test_support {

class read_only_store : public objects::object_store {
public:
  using object = objects::object;
  using store_error = objects::store_error;

  boost::asio::awaitable<objects::store_result<object>>
  get(std::string, std::string) override {
    co_return store_error::not_found;
  }
  boost::asio::awaitable<objects::store_result<object>>
  create(std::string, std::string, boost::json::value) override {
    co_return store_error::conflict;
  }
  boost::asio::awaitable<objects::store_result<object>>
  replace(std::string, std::string, std::uint64_t,
          boost::json::value) override {
    co_return store_error::conflict;
  }
  boost::asio::awaitable<objects::store_result<object>>
  put_status(std::string, std::string, boost::json::value) override {
    co_return store_error::not_found;
  }
  boost::asio::awaitable<objects::store_result<bool>>
  remove(std::string, std::string) override {
    co_return true;
  }
};

} // namespace heathtrestle::test_support
