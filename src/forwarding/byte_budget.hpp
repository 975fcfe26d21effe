// Bounds the memory that a gateway holds for its open requests: request bodies,
// the history that a turn is sent with, and answers that clients have not taken
// yet. Everything that is held is booked. A request under way may always book
// more; near the limit new requests are refused, the least urgent first, and
// nothing is read ahead of slow clients.
//
// Pure logic: the caller logs the changes of state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

namespace heathtrestle::forwarding {

class byte_budget {
public:
  /// Bytes held for one request; returned when it is destroyed.
  class booking {
  public:
    booking() = default;
    explicit booking(std::shared_ptr<byte_budget> budget)
        : budget_(std::move(budget)) {}
    booking(booking &&other) noexcept
        : budget_(std::move(other.budget_)),
          bytes_(std::exchange(other.bytes_, 0)) {}
    booking &operator=(booking &&other) noexcept {
      std::swap(budget_, other.budget_);
      std::swap(bytes_, other.bytes_);
      return *this;
    }
    booking(const booking &) = delete;
    booking &operator=(const booking &) = delete;
    ~booking() { resize(0); }

    /// Changes the number of bytes, beyond the limit if need be.
    void resize(std::size_t bytes);
    void grow(std::size_t bytes) { resize(bytes_ + bytes); }
    /// Changes the number of bytes unless more would be held than the limit.
    /// @return false when nothing was changed.
    bool try_resize(std::size_t bytes);
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

  private:
    std::shared_ptr<byte_budget> budget_;
    std::size_t bytes_ = 0;
  };

  enum class state : std::uint8_t {
    /// Every request is admitted.
    free,
    /// Requests of the least urgent routes are refused.
    tight,
    /// All new requests are refused.
    full,
  };

  /// @param limit in bytes; 0 for none.
  explicit byte_budget(std::size_t limit) : limit_(limit) {}
  byte_budget(const byte_budget &) = delete;
  byte_budget &operator=(const byte_budget &) = delete;

  /// Decides whether a new request may be read and served.
  /// @param rank of its route, 0 for the most urgent.
  /// @param bytes of its body, as far as they are known.
  [[nodiscard]] bool admits(std::uint32_t rank, std::size_t bytes) const;

  [[nodiscard]] state current() const;
  [[nodiscard]] std::size_t held() const { return held_; }
  [[nodiscard]] std::size_t limit() const { return limit_; }

private:
  /// The bytes up to which requests of this rank are admitted.
  [[nodiscard]] std::size_t threshold(std::uint32_t rank) const;

  std::size_t limit_;
  std::size_t held_ = 0;
};

std::string_view name_of(byte_budget::state state);

} // namespace heathtrestle::forwarding
