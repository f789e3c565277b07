// A configuration delta is encoded as MessagePack: the hash of the resulting text, then the parts
// in order, each either a span (offset and size) of the base text or literal text.
#include "process/config_delta.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <unordered_map>

#include "base/hash.h"
#include "process/msgpack_bounds.h"

namespace arbutus {

namespace {

using nlohmann::json;

constexpr std::size_t max_delta_nesting = 4;
// Size limit of the text that a delta results in: a damaged delta may repeat the same span of its
// base text many times.
constexpr std::size_t max_text_bytes = 16UL * 1024 * 1024;

// Cuts `text` behind each closing brace. Calls `take` with each piece and its offset.
template <class Take>
void each_piece(std::string_view text, Take&& take) {
  std::size_t from = 0;
  while (from < text.size()) {
    const std::size_t brace = text.find('}', from);
    const std::size_t end = brace == std::string_view::npos ? text.size() : brace + 1;
    take(text.substr(from, end - from), from);
    from = end;
  }
}

class delta_builder {
 public:
  void copy(std::size_t from, std::size_t size) {
    if (span_size_ > 0 && span_offset_ + span_size_ == from) {
      span_size_ += size;
      return;
    }
    flush();
    span_offset_ = from;
    span_size_ = size;
  }

  void insert(std::string_view text) {
    if (span_size_ > 0) {
      flush();
    }
    literal_text_ += text;
  }

  json finish() {
    flush();
    return std::move(parts_);
  }

 private:
  void flush() {
    if (!literal_text_.empty()) {
      parts_.push_back(std::move(literal_text_));
      literal_text_.clear();
    }
    if (span_size_ > 0) {
      parts_.push_back(json::array({span_offset_, span_size_}));
      span_size_ = 0;
    }
  }

  json parts_ = json::array();
  std::string literal_text_;     // literal text to flush; either this or the span is empty
  std::size_t span_offset_ = 0;  // span of the base to flush: its offset and size
  std::size_t span_size_ = 0;
};

// Appends the text of one part of a delta. False if its span lies outside the base or the text
// exceeds max_text_bytes.
bool append_part(std::string& text, std::string_view base, const json& part) {
  if (part.is_string()) {
    text += part.get_ref<const std::string&>();
    return text.size() <= max_text_bytes;
  }
  const auto from = part.at(0).get<std::size_t>();
  const auto size = part.at(1).get<std::size_t>();
  if (from > base.size() || size > base.size() - from || size > max_text_bytes - text.size()) {
    return false;
  }
  text += base.substr(from, size);
  return true;
}

}  // namespace

std::string make_config_delta(std::string_view base, std::string_view text) {
  std::unordered_map<std::string_view, std::size_t> offsets;
  each_piece(base, [&](std::string_view piece, std::size_t at) { offsets.try_emplace(piece, at); });
  delta_builder builder;
  each_piece(text, [&](std::string_view piece, std::size_t) {
    const auto found = offsets.find(piece);
    if (found == offsets.end()) {
      builder.insert(piece);
    } else {
      builder.copy(found->second, piece.size());
    }
  });
  std::string bytes;
  json::to_msgpack(json::array({stable_hash(text), builder.finish()}), bytes);
  return bytes;
}

std::optional<std::string> apply_config_delta(std::string_view base, std::string_view delta) {
  if (!nesting_bounded(delta, max_delta_nesting)) {
    return std::nullopt;
  }
  try {
    const json document = json::from_msgpack(delta);
    std::string text;
    for (const json& part : document.at(1)) {
      if (!append_part(text, base, part)) {
        return std::nullopt;
      }
    }
    const bool same = stable_hash(text) == document.at(0).get<std::uint64_t>();
    return same ? std::optional(std::move(text)) : std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace arbutus
