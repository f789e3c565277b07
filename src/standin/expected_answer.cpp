// Generates the expected answers from hashes.
#include "standin/expected_answer.h"

#include <algorithm>
#include <array>

#include "base/hash.h"
#include "base/rng.h"

namespace arbutus::standin {

namespace {

constexpr std::array<std::string_view, 16> syllables = {"ba", "den", "fo", "gil", "ha", "jor",
                                                        "ka", "lem", "mi", "nor", "po", "ras",
                                                        "se", "tul", "vo", "zin"};
constexpr std::uint64_t min_syllables = 2;

}  // namespace

std::string chat_prompt(const std::vector<chat_message>& messages) {
  std::string prompt;
  for (const chat_message& m : messages) {
    prompt += m.role + ": " + m.content + "\n";
  }
  return prompt;
}

std::uint64_t answer_seed(const model_id& model, std::string_view prompt) {
  return stable_hash(prompt, stable_hash(model.str()));
}

std::string answer_token(std::uint64_t seed, std::uint32_t offset) {
  // The token's offset is hashed before it is combined with the answer's seed. Otherwise seeds that
  // differ by one would give the same words shifted by one position.
  rng words(seed ^ rng(offset)());
  std::uint64_t bits = words();
  std::string token = " ";
  const std::uint64_t count = min_syllables + bits % 2;
  for (std::uint64_t i = 0; i < count; ++i) {
    bits >>= 4U;
    token += syllables[bits % syllables.size()];
  }
  return token;
}

std::string expected_answer(const model_id& model, std::string_view prompt,
                            std::uint32_t max_tokens) {
  const std::uint64_t seed = answer_seed(model, prompt);
  std::string text;
  for (std::uint32_t i = 0; i < max_tokens; ++i) {
    text += answer_token(seed, i);
  }
  return text;
}

std::uint32_t count_tokens(std::string_view prompt) {
  return static_cast<std::uint32_t>(std::max<std::size_t>(1, prompt.size() / bytes_per_token));
}

}  // namespace arbutus::standin
