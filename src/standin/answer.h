// What a stand-in engine answers: a pure function of the model and the prompt, so that a checker
// can compute the one right answer to each request and notice a foreign, cut or doubled one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "request/prefix_hash.h"

namespace arbutus::standin {

// Prompt text per token, about what tokenizers make of plain text.
inline constexpr std::size_t bytes_per_token = 4;
// A block of the prefix cache; its blocks are those of hash_prefix(prompt, model).
inline constexpr std::size_t tokens_per_block = prefix_block_bytes / bytes_per_token;

// One message of a chat request.
struct standin_message {
  std::string role;
  std::string content;
};

// The prompt that a chat stands for: one line "role: content" for each message.
[[nodiscard]] std::string chat_prompt(const std::vector<standin_message>& messages);

// Fixes the whole answer.
[[nodiscard]] std::uint64_t answer_seed(const model_id& model, std::string_view prompt);

// The token at `offset` of that answer: a space and a short word.
[[nodiscard]] std::string answer_token(std::uint64_t seed, std::uint32_t offset);

// Exactly `max_tokens` tokens, joined.
[[nodiscard]] std::string expected_answer(const model_id& model, std::string_view prompt,
                                          std::uint32_t max_tokens);

// At least 1.
[[nodiscard]] std::uint32_t count_tokens(std::string_view prompt);

}  // namespace arbutus::standin

namespace arbutus {

using standin::expected_answer;

}  // namespace arbutus
