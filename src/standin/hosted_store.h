// The store of the stand-in platform: tables of rows, read whole, as a feed of changes, and written
// in transactions. It can be down or slow, forget its history, and come back from a copy in another
// era.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <span>
#include <string>

#include "connection/http_server.h"
#include "standin/network_paths.h"

namespace arbutus::standin {

// The table whose rows have addresses of targets.
inline constexpr const char* targets_table = "servers";

// A row as its writer wants it.
struct desired_row {
  std::string table;
  std::string key;
  std::string value;  // empty: removed
};

class hosted_store {
 public:
  void put(const std::string& table, const std::string& key, std::string value);
  void remove(const std::string& table, const std::string& key);
  // Writes those of the rows that the store does not hold as they are.
  void write_missing(std::span<const desired_row> rows);

  // Keeps a copy of the store as it is now.
  void copy();
  // The store comes back from the copy, in its next era and without the tables `lost_tables`. No
  // reader sees it before the rows `written_again` are in it.
  void restore(const std::set<std::string>& lost_tables,
               std::span<const desired_row> written_again);
  // The store forgets the changes up to now: who has read less has to read whole tables.
  void drop_history();

  // Limits the rate at which each response is sent; 0: no limit.
  void set_rate(std::size_t bytes_per_s) { bytes_per_s_ = bytes_per_s; }
  void set_down(bool down) { down_ = down; }

  [[nodiscard]] std::size_t rows_of_table(const std::string& table) const;

  // Serves a request of a node. `paths`: of the node that the request's address of the store is
  // for; null: it has none.
  void serve(const http_request& request, response_writer& writer, const network_paths* paths);

 private:
  struct stored_row {
    std::string value;
    std::uint64_t version{};
    bool removed = false;
  };
  struct store_content {
    std::map<std::string, std::map<std::string, stored_row>> tables;
    std::uint64_t version = 0;  // of the newest transaction
  };

  // With the mutex locked:
  void put_row(const std::string& table, const std::string& key, std::string value);
  void remove_row(const std::string& table, const std::string& key);
  [[nodiscard]] bool holds(const desired_row& row);
  void write_missing_rows(std::span<const desired_row> rows);

  [[nodiscard]] std::string all_rows(const std::string& table, const network_paths* paths);
  [[nodiscard]] std::string changes_if_ready(const std::string& table, std::uint64_t after,
                                             time_point until, const network_paths* paths);
  // Whether the store, back from an older copy, has yet to give out this version again.
  [[nodiscard]] bool is_given_out_later(std::uint64_t version) const;
  void feed(const http_request& request, response_writer& writer, const std::string& table,
            const network_paths* paths);
  void write(const http_request& request, response_writer& writer);
  [[nodiscard]] std::uint64_t apply(const std::string& transaction);
  [[nodiscard]] http_headers headers() const;
  void answer(response_writer& writer, int status, std::string_view body) const;
  void send_at_rate(response_writer& writer, const std::string& body) const;

  mutable std::mutex mutex_;  // guards the contents; never locked while a handler waits
  store_content content_;
  store_content copy_;
  std::atomic<std::uint64_t> era_{1};
  std::atomic<std::uint64_t> history_from_{0};  // the feed has no changes up to this version
  std::atomic<bool> down_{false};
  std::atomic<std::size_t> bytes_per_s_{0};
};

}  // namespace arbutus::standin
