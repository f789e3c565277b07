// The event loop of the coordination core.
#include "node/control.h"

#include <algorithm>
#include <atomic>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>
#include <utility>

#include "connection/clock.h"

namespace arbutus {

namespace {

constexpr std::size_t control_worker = 0;

std::uint32_t count_live(const status_view& status) {
  const auto live = std::count_if(status.nodes.begin(), status.nodes.end(),
                                  [](const node_status& n) { return n.live; });
  return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(live, 1));
}

}  // namespace

struct control::state : std::enable_shared_from_this<control::state> {
  state(fiber_runtime& r, platform_client& p, engine_client& e, coordinator_settings settings)
      : runtime(r), platform(p), engines(e), core(std::move(settings)) {}

  fiber_runtime& runtime;
  platform_client& platform;
  engine_client& engines;
  send_to_peer send;
  on_view view_listener;
  on_notice notice_listener;

  // The core and the members up to `published_at` are accessed on worker 0 only.
  coordinator core;
  bool view_outdated = false;  // the core got input since the last view was published
  std::uint64_t published_revision = 0;
  time_point published_at = time_point::min();

  // Wakes the event loop of the core. A fiber mutex, since the loop waits in a fiber.
  boost::fibers::mutex wake_lock;
  boost::fibers::condition_variable wake;
  bool woken = false;
  bool stopping = false;
  bool ended = true;

  mutable std::mutex view_lock;
  std::shared_ptr<const node_view> current_view = std::make_shared<node_view>();

  void loop();
  void wait_until(time_point until);
  void wake_up();
  void publish_if_due(time_point now);
  void publish(time_point now);
  void run(const effects& list);
  void run_one(const effect& e);
  void feed_on_worker(const input& in);
  template <class Work>
  void run_in_fiber(Work work);
  void carry_out(const table_read& request);
  void carry_out(const table_write& request);
  void carry_out(const object_get& request);
  void carry_out(const object_put& request);
  void carry_out(const probe& request);
  void carry_out(const order& request);
  void carry_out(const vm_list_read& request);
  [[nodiscard]] std::optional<socket_address> address_of(const vm_id& vm) const;
};

template <class Work>
void control::state::run_in_fiber(Work work) {
  runtime.post(control_worker, [self = shared_from_this(), work = std::move(work)]() mutable {
    self->feed_on_worker(work(*self));
  });
}

void control::state::feed_on_worker(const input& in) {
  view_outdated = true;
  run(core.on(monotonic_now(), in));
  publish_if_due(monotonic_now());
  wake_up();
}

void control::state::wake_up() {
  {
    const std::lock_guard lock(wake_lock);
    woken = true;
  }
  wake.notify_all();
}

void control::state::wait_until(time_point until) {
  std::unique_lock lock(wake_lock);
  wake.wait_until(lock, to_steady(until), [this] { return woken || stopping; });
  woken = false;
}

void control::state::loop() {
  run(core.start(monotonic_now()));
  while (!stopping) {
    const time_point now = monotonic_now();
    if (now >= core.next_tick()) {
      view_outdated = true;
      run(core.tick(now));
    }
    publish_if_due(monotonic_now());
    time_point next = core.next_tick();
    if (view_outdated) {
      next = std::min(next, published_at + publish_interval);
    }
    wait_until(next);
  }
  const std::lock_guard lock(wake_lock);
  ended = true;
  wake.notify_all();
}

void control::state::publish_if_due(time_point now) {
  const bool changed = core.routes_revision() != published_revision;
  const bool due = view_outdated &&
                   (published_at == time_point::min() || now >= published_at + publish_interval);
  if (changed || due) {
    publish(now);
  }
}

void control::state::publish(time_point now) {
  const std::shared_ptr<const node_view> before = current_view;
  auto next = std::make_shared<node_view>();
  next->routes = core.routes(now);
  next->live_nodes = count_live(core.status(now));
  next->revision = before->revision + 1;
  const configuration* config = core.config();
  if (config == nullptr) {
    next->config = nullptr;
  } else if (before->config && before->config->version == config->version) {
    next->config = before->config;
  } else {
    next->config = std::make_shared<const configuration>(*config);
  }
  published_revision = core.routes_revision();
  published_at = now;
  view_outdated = false;
  {
    const std::lock_guard lock(view_lock);
    current_view = next;
  }
  if (view_listener) {
    view_listener(next);
  }
}

void control::state::run(const effects& list) {
  for (const effect& e : list) {
    run_one(e);
  }
}

void control::state::run_one(const effect& e) {
  std::visit(overloaded{[this](const peer_send& message) {
                          if (send) {
                            send(message);
                          }
                        },
                        [this](const notice& n) {
                          if (notice_listener) {
                            notice_listener(n);
                          }
                        },
                        [this](const auto& request) { carry_out(request); }},
             e);
}

void control::state::carry_out(const table_read& request) {
  run_in_fiber([request](state& s) {
    return input{
        table_read_result{request, s.platform.read(request, monotonic_now() + platform_timeout)}};
  });
}

void control::state::carry_out(const table_write& request) {
  run_in_fiber([request](state& s) {
    return input{
        table_write_result{request, s.platform.write(request, monotonic_now() + platform_timeout)}};
  });
}

void control::state::carry_out(const object_get& request) {
  run_in_fiber([request](state& s) {
    return input{
        object_get_result{request, s.platform.get(request, monotonic_now() + platform_timeout)}};
  });
}

void control::state::carry_out(const object_put& request) {
  run_in_fiber([request](state& s) {
    return input{
        object_put_result{request, s.platform.put(request, monotonic_now() + platform_timeout)}};
  });
}

void control::state::carry_out(const vm_list_read& request) {
  static_cast<void>(request);
  run_in_fiber([](state& s) {
    return input{vm_list_result{s.platform.list_vms(monotonic_now() + platform_timeout)}};
  });
}

void control::state::carry_out(const probe& request) {
  run_in_fiber([request](state& s) {
    const time_point sent_at = monotonic_now();
    const auto address = s.address_of(request.vm);
    outcome<engine_report> result = refused{"not in the inventory"};
    if (address) {
      result = s.engines.probe(*address, sent_at + probe_timeout);
    }
    return input{probe_result{request.vm, sent_at, std::move(result)}};
  });
}

void control::state::carry_out(const order& request) {
  run_in_fiber([request](state& s) {
    const auto address = s.address_of(request.vm);
    outcome<engine_report> result = refused{"not in the inventory"};
    if (address) {
      const auto order_still_valid = [&s, &request] {
        return s.core.may_send(monotonic_now(), request);
      };
      result = s.engines.send(*address, request, monotonic_now() + request.validity_period,
                              order_still_valid);
    }
    return input{order_result{request, std::move(result)}};
  });
}

std::optional<socket_address> control::state::address_of(const vm_id& vm) const {
  const configuration* config = core.config();
  const vm_record* record = config == nullptr ? nullptr : config->assets.find_vm(vm);
  if (record == nullptr) {
    return std::nullopt;
  }
  return socket_address{record->address.host, record->address.port};
}

control::control(fiber_runtime& runtime, platform_client& platform, engine_client& engines,
                 coordinator_settings settings)
    : state_(std::make_shared<state>(runtime, platform, engines, std::move(settings))) {}

control::~control() {
  stop();
}

void control::set_peer_sender(send_to_peer send) {
  state_->send = std::move(send);
}

void control::set_view_listener(on_view listener) {
  state_->view_listener = std::move(listener);
}

void control::set_notice_listener(on_notice listener) {
  state_->notice_listener = std::move(listener);
}

void control::start() {
  state_->ended = false;
  state_->runtime.post(control_worker, [self = state_] { self->loop(); });
}

void control::stop() {
  std::unique_lock lock(state_->wake_lock);
  state_->stopping = true;
  state_->wake.notify_all();
  state_->wake.wait(lock, [this] { return state_->ended; });
}

std::shared_ptr<const node_view> control::view() const {
  const std::lock_guard lock(state_->view_lock);
  return state_->current_view;
}

void control::post(std::function<effects(time_point, coordinator&)> work) {
  state_->runtime.post(control_worker, [self = state_, work = std::move(work)] {
    self->view_outdated = true;
    self->run(work(monotonic_now(), self->core));
    self->publish_if_due(monotonic_now());
    self->wake_up();
  });
}

void control::call(const std::function<effects(time_point, coordinator&)>& work) {
  state_->runtime.run_on(control_worker, [this, &work] {
    state_->view_outdated = true;
    state_->run(work(monotonic_now(), state_->core));
    state_->publish_if_due(monotonic_now());
    state_->wake_up();
  });
}

void control::post_input(input in) {
  state_->runtime.post(control_worker,
                       [self = state_, in = std::move(in)] { self->feed_on_worker(in); });
}

}  // namespace arbutus
