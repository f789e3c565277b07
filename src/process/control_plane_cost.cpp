// Simulates the nodes of one data centre, which exchange heartbeats and probe targets on virtual
// time. The figures cover membership, observations and gossip, but not the I/O of links and probes.
#include "process/control_plane_cost.h"

#include <malloc.h>

#include <ctime>
#include <iomanip>
#include <memory>
#include <string>
#include <vector>

#include "base/hash.h"
#include "process/engine_wire.h"
#include "process/gossip.h"
#include "process/membership.h"
#include "process/observations.h"

namespace arbutus {

namespace {

constexpr duration tick_interval = 50ms;
constexpr duration warm_up_duration = 5s;
constexpr duration measurement_duration = 20s;
constexpr double tcp_ip_header_bytes =
    40.0;                              // TCP/IP headers of the message and of its acknowledgement
constexpr double framing_bytes = 4.0;  // length prefix of a message

struct control_cost {                 // of one node; traffic and probes per second
  double messages_per_second{};       // sent and received
  double payload_bytes_per_second{};  // bytes sent and received
  double bytes_per_second_with_headers{};
  double bytes_per_second_with_acks{};
  double cpu_core_percent{};
  double probes_per_second{};
  double state_kilobytes_per_node{};
};

struct simulated_node {
  std::unique_ptr<membership> peers;
  std::unique_ptr<observation_table> observations;
};

class control_plane_simulation {
 public:
  control_plane_simulation(std::size_t nodes, std::size_t targets, bool load_changes,
                           std::uint64_t seed = 0)
      : load_changes_(load_changes), seed_(seed) {
    for (std::size_t i = 0; i < targets; ++i) {
      vms_.emplace_back("vm-" + std::to_string(1000 + i));
    }
    for (std::size_t i = 0; i < nodes; ++i) {
      ids_.emplace_back("node-" + std::to_string(100 + i));
    }
    const std::size_t before = heap_bytes();
    for (std::size_t i = 0; i < nodes; ++i) {
      add_node(i);
    }
    run_for(warm_up_duration);
    state_bytes_ = heap_bytes() - before;
  }

  control_cost measure() {
    sent_messages_ = immediate_answers_ = payload_bytes_ = sent_probes_ = 0;
    const std::clock_t before = std::clock();
    run_for(measurement_duration);
    const double cpu = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    const double node_seconds = to_seconds(measurement_duration) * static_cast<double>(ids_.size());
    control_cost cost;
    // Each message counts for its sender and for its receiver.
    cost.messages_per_second = 2.0 * static_cast<double>(sent_messages_) / node_seconds;
    cost.payload_bytes_per_second = 2.0 * static_cast<double>(payload_bytes_) / node_seconds;
    cost.bytes_per_second_with_headers =
        cost.payload_bytes_per_second +
        cost.messages_per_second * (tcp_ip_header_bytes + framing_bytes);
    const double acknowledgements =
        2.0 * static_cast<double>(sent_messages_ - immediate_answers_) / node_seconds;
    cost.bytes_per_second_with_acks =
        cost.bytes_per_second_with_headers + acknowledgements * tcp_ip_header_bytes;
    cost.cpu_core_percent = 100.0 * cpu / node_seconds;
    cost.probes_per_second = static_cast<double>(sent_probes_) / node_seconds;
    cost.state_kilobytes_per_node =
        static_cast<double>(state_bytes_) / 1024.0 / static_cast<double>(ids_.size());
    return cost;
  }

  // Hash of all messages sent so far.
  [[nodiscard]] std::uint64_t signature() const { return signature_; }

 private:
  static std::size_t heap_bytes() { return mallinfo2().uordblks; }

  void add_node(std::size_t i) {
    simulated_node n;
    n.peers = std::make_unique<membership>(ids_[i], 0x70000000 + i, seed_ + i, now_);
    n.peers->set_nodes(ids_, now_);
    n.peers->set_targets(vms_);
    n.observations = std::make_unique<observation_table>(ids_[i]);
    n.observations->set_targets(vms_);
    nodes_.push_back(std::move(n));
  }

  void run_for(duration d) {
    for (const time_point end = now_ + d; now_ < end; now_ += tick_interval) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        tick_node(i);
      }
    }
  }

  void tick_node(std::size_t i) {
    simulated_node& n = nodes_[i];
    n.peers->tick(now_);
    n.observations->set_own_targets(n.peers->own_targets(now_), now_);
    for (const vm_id& vm : n.observations->next_probes(now_)) {
      ++sent_probes_;
      probe(n, vm);
    }
    send_due_heartbeats(i);
    (void)n.observations->take_changes(now_);
  }

  void send_due_heartbeats(std::size_t i) {
    for (const node_id& peer : nodes_[i].peers->due_peers(now_)) {
      send_heartbeat(i, peer);
    }
  }

  // Lets the node process a target's answer to a probe, including the decoding.
  void probe(simulated_node& n, const vm_id& vm) {
    engine_report report;
    report.vm = vm;
    report.incarnation = 0x12345678;
    report.replica = replica_id{"replica-of-" + vm.str()};
    report.fencing_generation.row = 1234;
    report.state = engine_state::ready;
    report.slots = 16;
    report.running = load_changes_ ? static_cast<std::uint32_t>(sent_probes_ % 16) : 4;
    report.tokens_per_second = 31.0;
    const outcome<engine_report> answer = decode_report(encode(report));
    n.observations->on_probe_result({vm, now_, answer}, now_);
  }

  void send_heartbeat(std::size_t from, const node_id& to) {
    simulated_node& sender = nodes_[from];
    heartbeat message = sender.peers->prepare_heartbeat(to, now_);
    sender.peers->announce_config(message, to, 7600, "00112233445566778899aabbccddeeff");
    message.assignment_version = 1234;
    message.table_reachable = true;
    sender.observations->append_deltas(message, to, sender.peers->echoed(to), now_);
    const std::string bytes = encode(gossip_message{std::move(message)});
    ++sent_messages_;
    payload_bytes_ += bytes.size();
    signature_ = stable_hash(bytes, signature_);
    receive(ids_[from], to, bytes);
  }

  void receive(const node_id& from, const node_id& to, const std::string& bytes) {
    const auto index = std::ranges::lower_bound(ids_, to) - ids_.begin();
    simulated_node& n = nodes_[static_cast<std::size_t>(index)];
    const auto decoded = decode_gossip(from, bytes);
    const auto& message = std::get<heartbeat>(std::get<gossip_message>(decoded));
    if (const auto h = n.peers->receive(message, 1234, now_)) {
      n.observations->merge(message, *h, now_);
    }
    const std::size_t before = sent_messages_;
    send_due_heartbeats(static_cast<std::size_t>(index));
    // A heartbeat that is sent immediately after receipt of another also carries the TCP
    // acknowledgement of that message.
    immediate_answers_ += sent_messages_ > before ? 1 : 0;
  }

  bool load_changes_;
  std::uint64_t seed_;
  std::uint64_t signature_{};
  std::vector<vm_id> vms_;
  std::vector<node_id> ids_;
  std::vector<simulated_node> nodes_;
  time_point now_{100s};
  std::size_t sent_messages_{};
  std::size_t immediate_answers_{};
  std::size_t payload_bytes_{};
  std::size_t sent_probes_{};
  std::size_t state_bytes_{};
};

control_cost cost_of(std::size_t nodes, std::size_t targets, bool load_changes) {
  return control_plane_simulation(nodes, targets, load_changes).measure();
}

void print(std::ostream& out, std::size_t nodes, std::size_t targets, bool load_changes,
           const control_cost& c) {
  out << std::fixed << std::setprecision(1) << std::setw(3) << nodes << " nodes " << std::setw(4)
      << targets << " targets " << (load_changes ? "load changes" : "quiet       ") << ": "
      << std::setw(5) << c.messages_per_second << " messages/s " << std::setw(7)
      << c.payload_bytes_per_second << " B/s " << std::setw(7) << c.bytes_per_second_with_headers
      << " with headers " << std::setw(7) << c.bytes_per_second_with_acks << " and ACKs, "
      << std::setprecision(3) << c.cpu_core_percent << "% core, " << std::setprecision(1)
      << c.probes_per_second << " probes/s, " << c.state_kilobytes_per_node << " KB\n";
}

void print_slope(std::ostream& out, const char* over, double steps, const control_cost& low,
                 const control_cost& high) {
  out << "each further " << over << ": " << std::setprecision(2)
      << (high.messages_per_second - low.messages_per_second) / steps << " messages/s, "
      << (high.payload_bytes_per_second - low.payload_bytes_per_second) / steps << " B/s payload, "
      << (high.bytes_per_second_with_acks - low.bytes_per_second_with_acks) / steps
      << " B/s with headers and ACKs, " << std::setprecision(4)
      << (high.cpu_core_percent - low.cpu_core_percent) / steps << "% core, "
      << std::setprecision(2)
      << (high.state_kilobytes_per_node - low.state_kilobytes_per_node) / steps << " KB\n";
}

}  // namespace

std::uint64_t control_signature(std::size_t nodes, std::size_t targets, std::uint64_t seed) {
  constexpr bool load_changes = true;
  return control_plane_simulation(nodes, targets, load_changes, seed).signature();
}

void print_control_plane_cost(std::ostream& out) {
  for (const bool load_changes : {false, true}) {
    const control_cost few_peers = cost_of(6, 81, load_changes);
    const control_cost few_targets = cost_of(21, 27, load_changes);
    const control_cost planned = cost_of(21, 81, load_changes);
    const control_cost many_targets = cost_of(21, 170, load_changes);
    print(out, 2, 19, load_changes, cost_of(2, 19, load_changes));
    print(out, 6, 81, load_changes, few_peers);
    print(out, 21, 27, load_changes, few_targets);
    print(out, 21, 81, load_changes, planned);
    print(out, 21, 170, load_changes, many_targets);
    print_slope(out, "peer", 15.0, few_peers, planned);
    print_slope(out, "target", 89.0, planned, many_targets);
  }
}

}  // namespace arbutus
