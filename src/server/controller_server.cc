#include "server/controller_server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "base/constants/controller_capacity.h"
#include "base/constants/threads.h"
#include "base/constants/user_requests.h"
#include "base/constants/workers.h"
#include "concurrency/clocks.h"
#include "concurrency/threads.h"
#include "config/capacity.h"
#include "protocol/worker_codec.h"

namespace sorrelwood {
namespace {

size_t ComputeInputQueueLimit(const ClusterSettings& settings) {
  return std::max(kMinInputQueueLimit,
                  MaxWorkerConnections(settings) / kWorkersPerQueuedInput);
}

size_t CountPushThreads(const ClusterSettings& settings) {
  return std::clamp(MaxWorkerConnections(settings) / kWorkersPerPushThread,
                    kMinPushThreads, kMaxPushThreads);
}

Endpoint ParseListenEndpoint(const ClusterSettings& settings) {
  Endpoint endpoint;
  ParseEndpoint(settings.listen_address, &endpoint);
  return endpoint;
}

ConnectionLimits ComputeConnectionLimits(const ClusterSettings& settings) {
  ConnectionLimits limits;
  limits.total = MaxConnections(settings);
  limits.workers = MaxWorkerConnections(settings);
  limits.users = static_cast<size_t>(static_cast<double>(limits.total) *
                                     kUserConnectionShare);
  limits.worker_idle_timeout_s = settings.worker_lease_s;
  limits.worker_evictable_after_s =
      kSilentHeartbeatIntervals * settings.heartbeat_interval_s;
  limits.threads = MaxRequestThreads(settings);
  return limits;
}

void LogLimits(const ClusterSettings& settings) {
  const ConnectionLimits limits = ComputeConnectionLimits(settings);
  spdlog::info(
      "connection limit {}: up to {} from workers and {} from users; up to {} "
      "concurrent requests",
      limits.total, limits.workers, limits.users, limits.threads);
  spdlog::info("{}", DescribeCapacity(settings));
}

spdlog::level::level_enum ConvertLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug: return spdlog::level::debug;
    case LogLevel::kInfo: return spdlog::level::info;
    case LogLevel::kError: return spdlog::level::err;
  }
  return spdlog::level::info;
}

}  // namespace

ControllerServer::ControllerServer(const ClusterSettings& settings,
                                   const PolicySettings& policy,
                                   uint64_t incarnation)
    : settings_(settings),
      controller_(settings, policy, incarnation),
      inputs_(ComputeInputQueueLimit(settings)),
      routes_(&inputs_, &responses_, &metrics_),
      state_requests_(settings.state_address, &inputs_),
      cloud_requests_(settings.cloud_address, &inputs_),
      command_pushes_(&inputs_),
      http_server_(ParseListenEndpoint(settings),
                   ComputeConnectionLimits(settings), ClassifyClient,
                   [this](const HttpRequest& request) {
                     return routes_.Handle(request);
                   }),
      peer_listener_(settings.peer_listen_address, [this](PeerStatus status) {
        inputs_.Push(
            [status = std::move(status)](Controller& controller,
                                         Controller::Time time) {
              return controller.OnPeerStatus(time, status);
            },
            InputPriority::kSystem);
      }) {
  for (const Peer& peer : settings.peers)
    peer_senders_.push_back(std::make_unique<PeerSender>(peer.address));
}

bool ControllerServer::Run() {
  LogLimits(settings_);
  if (!Bind()) return false;
  controller_.set_debug(spdlog::should_log(spdlog::level::debug));
  StartThreads();
  spdlog::info("node {} in zone {} is listening on {}", settings_.node,
               settings_.zone, settings_.listen_address);
  http_server_.Serve();
  return true;
}

bool ControllerServer::Bind() {
  if (!http_server_.Bind()) {
    spdlog::error("can't listen on {}", settings_.listen_address);
    return false;
  }
  if (!peer_listener_.Bind()) {
    spdlog::error("can't listen on {}", settings_.peer_listen_address);
    return false;
  }
  return true;
}

void ControllerServer::StartThreads() {
  state_requests_.Start();
  cloud_requests_.Start();
  command_pushes_.Start(CountPushThreads(settings_));
  StartThread("peer-accept", [this] { peer_listener_.Run(); });
  for (auto& sender : peer_senders_)
    StartThread("peer-send", [&sender = *sender] { sender.Run(); });
  StartThread("core", [this] { RunCore(); });
}

void ControllerServer::RunCore() {
  double next_tick_at = 0;
  double next_metrics_at = 0;
  for (;;) {
    const Input input = inputs_.Pop(/*deadline=*/next_tick_at);
    const Controller::Time time{SteadyNow(), WallNow()};
    if (input) Dispatch(input(controller_, time));
    if (time.steady >= next_tick_at) {
      next_tick_at = time.steady + kTickIntervalS;
      Dispatch(controller_.Tick(time));
      routes_.set_healthy(controller_.IsHealthy());
    }
    if (time.steady >= next_metrics_at) {
      next_metrics_at = time.steady + kMetricsIntervalS;
      metrics_.Publish(controller_.CollectStatistics());
    }
  }
}

void ControllerServer::Dispatch(Actions actions) {
  for (Action& action : actions)
    std::visit([this](auto& specific) { Execute(std::move(specific)); },
               action);
}

void ControllerServer::Execute(ClientResponse action) {
  responses_.Complete(action.request, {action.status, std::move(action.body),
                                       action.retry_after_s});
}

void ControllerServer::Execute(const HeartbeatResponse& action) {
  responses_.Complete(
      action.request,
      {action.status, protocol::EncodeHeartbeatResponse(action), 0});
}

void ControllerServer::Execute(const SendPeerStatus& action) {
  for (auto& sender : peer_senders_) sender->Post(action.status);
}

void ControllerServer::Execute(const LogEvent& event) {
  const spdlog::level::level_enum level = ConvertLevel(event.level);
  if (spdlog::should_log(level)) spdlog::log(level, FormatLogEvent(event));
}

}  // namespace sorrelwood
