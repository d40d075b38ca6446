#include "server/app.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <type_traits>

#include "base/constants.h"
#include "cloud/cloud_client.h"
#include "concurrency/clocks.h"
#include "config/capacity.h"
#include "protocol/client_codec.h"
#include "protocol/field_names.h"
#include "protocol/worker_codec.h"
#include "state/state_client.h"

namespace sorrelwood {
namespace {

HttpReply Error(int status, const std::string& message,
                double retry_after_s = 0) {
  return {status, protocol::EncodeError(message), "application/json",
          retry_after_s};
}

spdlog::level::level_enum LevelOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug: return spdlog::level::debug;
    case LogLevel::kInfo: return spdlog::level::info;
    case LogLevel::kError: return spdlog::level::err;
  }
  return spdlog::level::info;
}

void Log(const LogEvent& event) {
  const spdlog::level::level_enum level = LevelOf(event.level);
  if (spdlog::should_log(level)) spdlog::log(level, FormatLogEvent(event));
}

}  // namespace

struct App::Slot {
  std::mutex mutex;
  std::condition_variable ready;
  bool done = false;
  Answer answer;
};

App::App(const ClusterSettings& settings, const PolicySettings& policy,
         uint64_t incarnation)
    : settings_(settings),
      controller_(settings, policy, incarnation),
      most_queued_inputs_(
          std::max(kMinInputQueueLimit,
                   MaxWorkerConnections(settings) / kWorkersPerQueuedInput)) {}

bool App::Run() {
  Endpoint endpoint;
  ParseEndpoint(settings_.listen_address, &endpoint);
  ConnectionLimits limits;
  limits.total = MaxConnections(settings_);
  const double total = static_cast<double>(limits.total);
  limits.workers = MaxWorkerConnections(settings_);
  limits.users = static_cast<size_t>(total * kUserConnectionShare);
  limits.worker_idle_s = settings_.worker_lease_s;
  limits.worker_stale_s = kSilentHeartbeats * settings_.heartbeat_interval_s;
  limits.threads = MaxRequestThreads(settings_);
  spdlog::info(
      "up to {} connections: {} workers, {} users; {} requests at once",
      limits.total, limits.workers, limits.users, limits.threads);
  spdlog::info("{}", DescribeCapacity(settings_));
  server_ = std::make_unique<HttpServer>(
      endpoint, limits,
      [](const std::string& path) {
        return path == protocol::path::kHeartbeat    ? ClientKind::kWorker
               : path == "/up" || path == "/metrics" ? ClientKind::kOther
                                                     : ClientKind::kUser;
      },
      [this](const HttpRequest& request) { return Handle(request); });
  listener_ = std::make_unique<PeerListener>(
      settings_.peer_listen_address, [this](PeerStatus note) {
        Post([note = std::move(note)](Controller& c, Controller::Time t) {
          return c.OnPeerStatus(t, note);
        });
      });
  if (!server_->Bind()) {
    spdlog::error("can't listen on {}", settings_.listen_address);
    return false;
  }
  if (!listener_->Bind()) {
    spdlog::error("can't listen on {}", settings_.peer_listen_address);
    return false;
  }
  for (const Peer& peer : settings_.peers)
    senders_.push_back(std::make_unique<PeerSender>(peer.address));
  StartLanes();
  controller_.set_debug(spdlog::should_log(spdlog::level::debug));
  StartThread("core", [this] { CoreLoop(); });
  spdlog::info("{} in {} serves on {}", settings_.node, settings_.zone,
               settings_.listen_address);
  server_->Serve();
  return true;
}

// --- The core
// ------------------------------------------------------------------

void App::Post(Input input, bool from_user) {
  std::lock_guard lock(input_mutex_);
  (from_user ? user_inputs_ : inputs_).push_back(std::move(input));
  input_ready_.notify_one();
}

bool App::Crowded() {
  std::lock_guard lock(input_mutex_);
  return inputs_.size() + user_inputs_.size() > most_queued_inputs_;
}

void App::CoreLoop() {
  double next_tick = 0, next_figures = 0;
  for (;;) {
    Input input;
    {
      std::unique_lock lock(input_mutex_);
      const double wait = next_tick - SteadyNow();
      if (inputs_.empty() && user_inputs_.empty() && wait > 0)
        input_ready_.wait_for(lock, std::chrono::duration<double>(wait));
      auto& line = inputs_.empty() ? user_inputs_ : inputs_;
      if (!line.empty()) {
        input = std::move(line.front());
        line.pop_front();
      }
    }
    const Controller::Time time{SteadyNow(), WallNow()};
    if (input) Dispatch(input(controller_, time));
    if (time.steady >= next_tick) {
      next_tick = time.steady + kTickIntervalS;
      Dispatch(controller_.Tick(time));
      healthy_ = controller_.Healthy();
    }
    if (time.steady >= next_figures) {
      next_figures = time.steady + 5;
      metrics_.Publish(controller_.CollectStatistics());
    }
  }
}

void App::Dispatch(Actions actions) {
  for (Action& action : actions) {
    std::visit(
        [&](auto& item) {
          using T = std::decay_t<decltype(item)>;
          if constexpr (std::is_same_v<T, StateTransaction> ||
                        std::is_same_v<T, StateGet>) {
            auto& connection =
                item.connection == StateConnection::kLeaseRenewal
                    ? renewal_lane_
                : item.connection == StateConnection::kLeader ? leader_lane_
                : item.connection == StateConnection::kPoll   ? poll_lane_
                                                              : user_lane_;
            connection.Push(std::move(item));
          } else if constexpr (std::is_same_v<T, StateList>) {
            list_lane_.Push(std::move(item));
          } else if constexpr (std::is_same_v<T, StateWatch>) {
            watch_lane_.Push(std::move(item));
          } else if constexpr (std::is_same_v<T, LeaseCreate> ||
                               std::is_same_v<T, LeaseRenew>) {
            renewal_lane_.Push(std::move(item));
          } else if constexpr (std::is_same_v<T, ProvisionMachines> ||
                               std::is_same_v<T, ReleaseMachines>) {
            cloud_lane_.Push(std::move(item));
          } else if constexpr (std::is_same_v<T, FetchCatalog> ||
                               std::is_same_v<T, ListCloudMachines>) {
            cloud_list_lane_.Push(std::move(item));
          } else if constexpr (std::is_same_v<T, PushedCommands>) {
            direct_lane_.Push(std::move(item));
          } else if constexpr (std::is_same_v<T, ClientResponse>) {
            Reply(item.request,
                  {item.status, std::move(item.body), item.retry_after_s});
          } else if constexpr (std::is_same_v<T, HeartbeatResponse>) {
            Reply(item.request,
                  {item.status, protocol::EncodeHeartbeatResponse(item), 0});
          } else if constexpr (std::is_same_v<T, SendPeerStatus>) {
            for (auto& sender : senders_) sender->Post(item.note);
          } else if constexpr (std::is_same_v<T, LogEvent>) {
            Log(item);
          }
        },
        action);
  }
}

void App::StartLanes() {
  const auto deliver = [this](auto result) {
    Post([result = std::move(result)](Controller& c, Controller::Time t) {
      return c.Deliver(t, result);
    });
  };
  const auto state_lane = [this, deliver](const char* name,
                                          BlockingQueue<Action>* queue,
                                          double timeout_s) {
    StartThread(name, [this, deliver, queue, timeout_s] {
      StateClient client(settings_.state_address, timeout_s);
      for (;;) {
        const Action action = queue->Pop();
        if (auto* t = std::get_if<StateTransaction>(&action))
          deliver(client.Transact(*t));
        else if (auto* get = std::get_if<StateGet>(&action))
          deliver(client.Get(*get));
        else if (auto* list = std::get_if<StateList>(&action))
          deliver(client.List(*list));
        else if (auto* watch = std::get_if<StateWatch>(&action))
          deliver(client.Watch(*watch));
        else if (auto* create = std::get_if<LeaseCreate>(&action))
          deliver(client.CreateLease(*create));
        else if (auto* renew = std::get_if<LeaseRenew>(&action))
          deliver(client.RenewLease(*renew));
      }
    });
  };
  state_lane("renewal", &renewal_lane_, kRenewTimeoutS);
  state_lane("watch", &watch_lane_, kWatchS + kWatchSlackS);
  state_lane("list", &list_lane_, kStateTimeoutS);
  for (int i = 0; i < kLeaderStateThreads; ++i)
    state_lane("writes", &leader_lane_, kStateTimeoutS);
  for (int i = 0; i < kUserStateThreads; ++i)
    state_lane("users", &user_lane_, kStateTimeoutS);
  for (int i = 0; i < kPollStateThreads; ++i)
    state_lane("polls", &poll_lane_, kStateTimeoutS);

  const auto cloud_lane = [this, deliver](const char* name,
                                          BlockingQueue<Action>* queue) {
    StartThread(name, [this, deliver, queue] {
      CloudClient client(settings_.cloud_address, kCloudTimeoutS);
      for (;;) {
        const Action action = queue->Pop();
        if (auto* catalog = std::get_if<FetchCatalog>(&action))
          deliver(client.Catalog(*catalog));
        else if (auto* list = std::get_if<ListCloudMachines>(&action))
          deliver(client.List(*list));
        else if (auto* rent = std::get_if<ProvisionMachines>(&action))
          deliver(client.Rent(*rent));
        else if (auto* release = std::get_if<ReleaseMachines>(&action))
          deliver(client.Release(*release));
      }
    });
  };
  cloud_lane("cloud-list", &cloud_list_lane_);
  for (int i = 0; i < kCloudChangeThreads; ++i)
    cloud_lane("cloud", &cloud_lane_);

  const size_t direct_threads =
      std::clamp(MaxWorkerConnections(settings_) / kWorkersPerPushThread,
                 kMinPushThreads, kMaxPushThreads);
  for (size_t i = 0; i < direct_threads; ++i) {
    StartThread("direct", [this, deliver] {
      for (;;) {
        const Action action = direct_lane_.Pop();
        const auto* command = std::get_if<PushedCommands>(&action);
        if (!command) continue;
        HttpClient client(command->address, kPushTimeoutS);
        const HttpAnswer answer =
            client.Post(protocol::path::kPushCommands,
                        protocol::EncodePushedCommands(*command));
        PushResult result;
        result.id = command->id;
        result.accepted = answer.status == 200;
        if (answer.status == 200 || answer.status == 409) {
          if (auto heartbeat = protocol::ParseHeartbeat(answer.body)) {
            result.answered = true;
            result.heartbeat = std::move(*heartbeat);
          }
        }
        deliver(std::move(result));
      }
    });
  }
  StartThread("mesh-accept", [this] { listener_->Run(); });
  for (auto& sender : senders_)
    StartThread("mesh-send", [&sender = *sender] { sender.Run(); });
}

// --- Requests
// -------------------------------------------------------------------

App::Answer App::Ask(const std::function<Input(uint64_t)>& make,
                     bool from_user) {
  auto slot = std::make_shared<Slot>();
  uint64_t request = 0;
  {
    std::lock_guard lock(slot_mutex_);
    request = next_request_++;
    slots_[request] = slot;
  }
  Post(make(request), from_user);
  {
    std::unique_lock lock(slot->mutex);
    slot->ready.wait_for(lock,
                         std::chrono::duration<double>(kCoreAnswerTimeoutS),
                         [&] { return slot->done; });
  }
  std::lock_guard lock(slot_mutex_);
  slots_.erase(request);
  if (!slot->done)
    slot->answer = {503, protocol::EncodeError("the controller is busy"), 1};
  return slot->answer;
}

void App::Reply(uint64_t request, Answer answer) {
  std::shared_ptr<Slot> slot;
  {
    std::lock_guard lock(slot_mutex_);
    auto it = slots_.find(request);
    if (it == slots_.end()) return;
    slot = it->second;
  }
  std::lock_guard lock(slot->mutex);
  slot->answer = std::move(answer);
  slot->done = true;
  slot->ready.notify_one();
}

HttpReply App::Handle(const HttpRequest& request) {
  if (request.path == "/up") {
    if (healthy_) return {200, "{\"up\":true}"};
    return Error(503, "the state service serves other nodes, not this one");
  }
  if (request.path == "/metrics")
    return {200, metrics_.Text(), "text/plain; version=0.0.4"};
  const double began = SteadyNow();
  const bool worker = request.path == protocol::path::kHeartbeat;
  HttpReply reply = worker ? HandleHeartbeat(request) : HandleUser(request);
  metrics_.CountRequest(worker ? "worker" : "user", reply.status,
                        SteadyNow() - began);
  return reply;
}

HttpReply App::HandleHeartbeat(const HttpRequest& request) {
  if (request.method != "POST") return Error(405, "use POST");
  auto heartbeat = protocol::ParseHeartbeat(request.body);
  if (!heartbeat) return Error(400, heartbeat.error().Message());
  Answer answer = Ask(
      [&](uint64_t id) -> Input {
        return [id, heartbeat = std::move(*heartbeat)](Controller& c,
                                                       Controller::Time t) {
          return c.OnHeartbeat(t, id, heartbeat);
        };
      },
      /*from_user=*/false);
  return {answer.status, std::move(answer.body)};
}

HttpReply App::HandleUser(const HttpRequest& request) {
  static const std::string kRoot = "/submissions";
  const std::string& path = request.path;
  Answer answer;
  if (path == kRoot) {
    if (request.method != "POST") return Error(405, "use POST");
    auto spec = protocol::ParseSubmission(request.body);
    if (!spec) return Error(400, spec.error().Message());
    answer = Ask(
        [&](uint64_t id) -> Input {
          return
              [id, spec = std::move(*spec)](Controller& c, Controller::Time t) {
                return c.Submit(t, id, spec);
              };
        },
        /*from_user=*/true);
  } else if (path.compare(0, kRoot.size() + 1, kRoot + "/") == 0) {
    std::string job = path.substr(kRoot.size() + 1);
    static const std::string kCancel = "/cancel";
    const bool cancel =
        job.size() > kCancel.size() &&
        job.compare(job.size() - kCancel.size(), kCancel.size(), kCancel) == 0;
    if (cancel) job.resize(job.size() - kCancel.size());
    if (job.find('/') != std::string::npos) return Error(404, "no such path");
    if (request.method != (cancel ? "POST" : "GET"))
      return Error(405, cancel ? "use POST" : "use GET");
    if (!cancel && Crowded())
      return Error(429, "too many requests are waiting", 2);
    answer = Ask(
        [&](uint64_t id) -> Input {
          return [id, job, cancel](Controller& c, Controller::Time t) {
            return cancel ? c.Cancel(t, id, job) : c.Poll(t, id, job);
          };
        },
        /*from_user=*/true);
  } else {
    return Error(404, "no such path");
  }
  return {answer.status, std::move(answer.body), "application/json",
          answer.retry_after_s};
}

}  // namespace sorrelwood
