// Simulated cluster: answers of the fake table, network and engines to the nodes' calls.
#include <algorithm>
#include <sstream>

#include "fake_cluster.h"
#include "process/assignment_writer.h"

namespace arbutus::testing {

namespace {

constexpr duration network_delay = 2ms;
// Timeout of calls, which the program that embeds the coordinator sets.
constexpr duration call_timeout = 900ms;
template <class T>
std::string text(const T& value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace

// ---- effects ----

void fake_cluster::carry_out(std::size_t i, const effect& e) {
  const auto no_answer = unknown{"timeout"};
  std::visit(
      overloaded{[&](const table_read& r) {
                   call_table(
                       i, [this, r] { return read(r); }, table_read_result{r, no_answer});
                 },
                 [&](const table_write& w) {
                   call_table(
                       i, [this, w] { return write(w); }, table_write_result{w, no_answer}, true);
                 },
                 [&](const object_get& g) {
                   call_table(
                       i, [this, g] { return get(g); }, object_get_result{g, no_answer});
                 },
                 [&](const object_put& p) {
                   call_table(
                       i, [this, p] { return put(p); }, object_put_result{p, no_answer});
                 },
                 [&](const vm_list_read&) {
                   call_table(
                       i, [this]() -> input { return vm_list_result{vm_list}; },
                       vm_list_result{no_answer});
                 },
                 [&](const probe& p) { do_probe(i, p); }, [&](const order& o) { do_order(i, o); },
                 [&](const peer_send& s) { do_send(i, s); },
                 [&](const notice& n) { notices_.push_back(n.part + ": " + n.text); }},
      e);
}

void fake_cluster::call_table(std::size_t i, std::function<input()> work, input timeout_result,
                              bool is_write) {
  const time_point deadline = now_ + call_timeout;
  const auto give_up = [this, i, deadline, timeout_result] {
    at(deadline, [=, this] { feed(i, timeout_result); });
  };
  if (!table.up || nodes_cut_from_table_.contains(i)) {
    give_up();
    return;
  }
  at(now_ + table.latency / 2, [=, this] {
    if (!table.up) {
      give_up();
      return;
    }
    const input answer = work();
    const bool drop_reply = is_write && table.lose_write_replies > 0;
    table.lose_write_replies -= drop_reply ? 1 : 0;
    const time_point back = now_ + table.latency / 2;
    if (drop_reply || back > deadline) {
      give_up();
      return;
    }
    at(back, [=, this] { feed(i, answer); });
  });
}

input fake_cluster::read(const table_read& r) const {
  const auto found = table.rows.find(r.key);
  return table_read_result{r, found == table.rows.end() ? table_row{} : found->second};
}

input fake_cluster::write(const table_write& w) {
  table_row& row = table.rows[w.key];
  const bool is_row = w.key == row_key(data_centre_id{"hall-a"});
  if (row.version != w.expected) {
    table.writes_refused += is_row ? 1 : 0;
    return table_write_result{w, refused{"version"}};
  }
  row = {w.value, row.version + 1};
  table.writes_won += is_row ? 1 : 0;
  const auto written = decode_assignment(w.value);
  if (is_row && has_errors(check_invariants(std::get<assignment>(written)))) {
    record_violation("the row breaks its invariants");
  }
  return table_write_result{w, table_written{row.version}};
}

input fake_cluster::get(const object_get& g) const {
  const auto found = table.objects.find(g.name);
  if (found == table.objects.end()) {
    return object_get_result{g, refused{"no such object"}};
  }
  return object_get_result{g, found->second};
}

input fake_cluster::put(const object_put& p) {
  table.objects[p.name] = p.content;
  return object_put_result{p, std::monostate{}};
}

void fake_cluster::do_send(std::size_t i, const peer_send& s) {
  for (std::size_t to = 0; to < nodes_.size(); ++to) {
    const bool lost = cut_node_links_.contains({i, to}) || random_.unit() < drop_probability;
    if (nodes_[to].id == s.to && !lost) {
      const peer_message m{nodes_[i].id, s.bytes};
      at(now_ + network_delay, [this, to, m] { feed(to, m); });
    }
  }
}

void fake_cluster::do_probe(std::size_t i, const probe& p) {
  const time_point sent_at = now_;
  call_engine(
      i, p.vm,
      [p, sent_at](fake_engine& e) -> input {
        return probe_result{p.vm, sent_at, e.report};
      },
      probe_result{p.vm, sent_at, unknown{"timeout"}});
}

void fake_cluster::do_order(std::size_t i, const order& o) {
  // The connection to the target is set up first; directly before the bytes of the order are sent,
  // may_send() is checked.
  const auto incarnation = nodes_[i].incarnation;
  const auto send = [=, this] {
    fake_node& n = nodes_[i];
    if (!n.up || n.incarnation != incarnation) {
      return;
    }
    if (!n.core->may_send(now_, o)) {
      feed(i, order_result{o, refused{"out of date"}});
      return;
    }
    call_engine(
        i, o.vm,
        [this, o](fake_engine& e) -> input {
          return order_result{o, apply_order(e, o)};
        },
        order_result{o, unknown{"timeout"}});
  };
  at(now_ + order_connect_time, [=, this] {
    fake_node& n = nodes_[i];
    if (n.paused && n.incarnation == incarnation) {
      n.held_during_pause.insert(n.held_during_pause.begin(),
                                 send);  // the paused node continues with this send
    } else {
      send();
    }
  });
}

void fake_cluster::call_engine(std::size_t i, const vm_id& vm,
                               std::function<input(fake_engine&)> work, input timeout_result) {
  const time_point deadline = now_ + call_timeout;
  fake_engine& e = engines_.at(vm);
  const auto give_up = [this, i, deadline, timeout_result] {
    at(deadline, [=, this] { feed(i, timeout_result); });
  };
  if (!e.up || cut_target_links_.contains({i, vm})) {
    give_up();
    return;
  }
  const auto incarnation = e.report.incarnation;
  auto arrive = [=, this] {
    fake_engine& target = engines_.at(vm);
    if (!target.up || target.report.incarnation != incarnation) {
      give_up();
      return;
    }
    finish_loading(target);
    const input answer = work(target);
    const time_point back = now_ + network_delay;
    if (back > deadline) {
      give_up();
      return;
    }
    at(back, [=, this] { feed(i, answer); });
  };
  at(now_ + network_delay, [=, this] {
    fake_engine& target = engines_.at(vm);
    if (target.paused) {
      target.held_during_pause.push_back(arrive);  // waits in the target's socket buffer
    } else {
      arrive();
    }
  });
}

// ---- engines ----

void fake_cluster::finish_loading(fake_engine& e) {
  if (e.report.state == engine_state::loading && now_ >= e.ready_at) {
    e.report.state = engine_state::ready;
  }
}

outcome<engine_report> fake_cluster::apply_order(fake_engine& e, const order& o) {
  engine_report& r = e.report;
  if (o.expected_incarnation != 0 && o.expected_incarnation != r.incarnation) {
    return refused{"another process"};
  }
  const bool same =
      r.replica == o.target.replica && r.fencing_generation == o.target.fencing_generation;
  const bool other_members = same && !e.members.empty() && e.members != o.target.members;
  const bool stale =
      o.target.fencing_generation < r.fencing_generation ||
      (o.target.fencing_generation == r.fencing_generation && !same && !r.replica.empty());
  if (e.record.checks_fencing_tokens && (stale || (o.kind == order_kind::form && other_members))) {
    return refused{"old token"};
  }
  stale_orders_obeyed += o.target.fencing_generation < r.fencing_generation ? 1 : 0;
  const bool loaded = r.state == engine_state::loading || r.state == engine_state::ready;
  if (o.kind == order_kind::drain) {
    r.state = same && loaded ? engine_state::draining : r.state;
    return r;
  }
  if (o.kind == order_kind::form && same && loaded) {
    return r;
  }
  if (r.running > 0 && r.state == engine_state::draining) {
    record_violation("VM " + text(r.vm) + " is stopped while it runs requests");
  }
  r.fencing_generation = o.target.fencing_generation;
  e.serving_changed_at = now_;
  const bool form = o.kind == order_kind::form;
  r.replica = form ? o.target.replica : replica_id{};
  r.state = form ? engine_state::loading : engine_state::idle;
  r.model_version = o.model_version;
  e.members = o.target.members;
  e.ready_at = now_ + options_.load_time;
  return r;
}

}  // namespace arbutus::testing
