#include "storage/checkpoint_file.hpp"

#include "storage/frame.hpp"

#include <algorithm>

namespace heathtrestle::storage {

namespace {

constexpr const char *file_name = "checkpoint";
constexpr const char *new_file_name = "checkpoint.new";
constexpr std::uint64_t seed = 0;

} // namespace

bool is_checkpoint_name(std::string_view name) {
  return name == file_name || name == new_file_name;
}

result<checkpoint_contents> read_checkpoint(directory &files) {
  BOOST_OUTCOME_TRY(const std::vector<std::string> names, files.list());
  if (std::ranges::find(names, file_name) == names.end()) {
    return checkpoint_contents{};
  }
  BOOST_OUTCOME_TRY(const std::unique_ptr<file> opened, files.open(file_name));
  BOOST_OUTCOME_TRY(const std::string bytes, read_all(*opened));
  const std::optional<frame_view> frame = read_frame(bytes, 0, seed);
  if (!frame) {
    return checkpoint_contents{.bytes = std::nullopt, .damaged = true};
  }
  return checkpoint_contents{.bytes = std::string(frame->payload)};
}

result<void> write_checkpoint(directory &files, std::string_view bytes) {
  std::string framed;
  append_frame(framed, seed, 0, {}, bytes, {});
  BOOST_OUTCOME_TRY(const std::unique_ptr<file> made,
                    files.create(new_file_name));
  BOOST_OUTCOME_TRY(made->write(0, framed));
  BOOST_OUTCOME_TRY(made->sync());
  BOOST_OUTCOME_TRY(files.rename(new_file_name, file_name));
  return files.sync();
}

} // namespace heathtrestle::storage
