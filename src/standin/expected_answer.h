// The answers of a stand-in engine: a pure function of the model and the prompt. A checker can
// compute the only correct answer to each request and detect one that is swapped, truncated or has
// repeated tokens.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "request/prefix_hash.h"

namespace arbutus::standin {

// Prompt bytes per token; about the ratio of common tokenizers on plain text.
inline constexpr std::size_t bytes_per_token = 4;
// Tokens per block of the prefix cache. The blocks are those of hash_prefix(prompt, model).
inline constexpr std::size_t tokens_per_block = prefix_block_bytes / bytes_per_token;

// One message of a chat request.
struct chat_message {
  std::string role;
  std::string content;
};

// Converts a chat to a prompt: one line "role: content" for each message.
[[nodiscard]] std::string chat_prompt(const std::vector<chat_message>& messages);

// Seed from which all tokens of the answer to a prompt are generated.
[[nodiscard]] std::uint64_t answer_seed(const model_id& model, std::string_view prompt);

// The token at `offset` of the answer with this seed: a space and a short word.
[[nodiscard]] std::string answer_token(std::uint64_t seed, std::uint32_t offset);

// The complete answer: exactly `max_tokens` tokens, concatenated.
[[nodiscard]] std::string expected_answer(const model_id& model, std::string_view prompt,
                                          std::uint32_t max_tokens);

// Number of prompt tokens; at least 1.
[[nodiscard]] std::uint32_t count_tokens(std::string_view prompt);

}  // namespace arbutus::standin

namespace arbutus {

using standin::expected_answer;

}  // namespace arbutus
