// Unit tests of the queues between threads, the connection limits and the HTTP
// routes.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "base/constants/http_connections.h"
#include "concurrency/clocks.h"
#include "http/connection_table.h"
#include "http/request_queue.h"
#include "server/http_routes.h"
#include "server/input_queue.h"
#include "server/metrics.h"
#include "server/pending_responses.h"

namespace sorrelwood {
namespace {

// Returns an input that appends `name` to `order`.
Input MakeRecorder(std::vector<std::string>* order, const std::string& name) {
  return [order, name](Controller&, Controller::Time) {
    order->push_back(name);
    return Actions();
  };
}

TEST(InputQueue, TakesUserInputsLast) {
  Controller controller(ClusterSettings(), PolicySettings(), 1);
  InputQueue queue(10);
  std::vector<std::string> order;
  queue.Push(MakeRecorder(&order, "user 1"), InputPriority::kUser);
  queue.Push(MakeRecorder(&order, "user 2"), InputPriority::kUser);
  queue.Push(MakeRecorder(&order, "system 1"), InputPriority::kSystem);
  queue.Push(MakeRecorder(&order, "system 2"), InputPriority::kSystem);
  while (const Input input = queue.Pop(SteadyNow())) input(controller, {});
  EXPECT_EQ(order, (std::vector<std::string>{"system 1", "system 2", "user 1",
                                             "user 2"}));
}

TEST(InputQueue, IsOverloadedBeyondItsLimit) {
  std::vector<std::string> order;
  InputQueue queue(2);
  queue.Push(MakeRecorder(&order, "a"), InputPriority::kUser);
  queue.Push(MakeRecorder(&order, "b"), InputPriority::kSystem);
  EXPECT_FALSE(queue.IsOverloaded());
  queue.Push(MakeRecorder(&order, "c"), InputPriority::kSystem);
  EXPECT_TRUE(queue.IsOverloaded());
  EXPECT_TRUE(queue.Pop(SteadyNow()));
  EXPECT_FALSE(queue.IsOverloaded());
}

TEST(InputQueue, PopReturnsNothingAtItsDeadline) {
  InputQueue queue(2);
  const double deadline = SteadyNow() + 0.05;
  EXPECT_FALSE(queue.Pop(deadline));
  EXPECT_GE(SteadyNow(), deadline);
}

TEST(InputQueue, PopWaitsForAnInput) {
  std::vector<std::string> order;
  InputQueue queue(2);
  std::thread pusher([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    queue.Push(MakeRecorder(&order, "a"), InputPriority::kUser);
  });
  EXPECT_TRUE(queue.Pop(SteadyNow() + 20));
  pusher.join();
}

TEST(PendingResponses, EachRequestGetsItsOwnResponse) {
  PendingResponses responses;
  const uint64_t first = responses.Register();
  const uint64_t second = responses.Register();
  std::thread core([&] {
    responses.Complete(second, {202, "second", 0});
    responses.Complete(first, {200, "first", 3});
  });
  const auto answered = responses.Wait(first, 20);
  core.join();
  ASSERT_TRUE(answered);
  EXPECT_EQ(answered->status, 200);
  EXPECT_EQ(answered->body, "first");
  EXPECT_EQ(answered->retry_after_s, 3);
  EXPECT_EQ(responses.Wait(second, 20)->body, "second");
}

TEST(PendingResponses, ALateResponseIsDropped) {
  PendingResponses responses;
  const uint64_t request = responses.Register();
  EXPECT_FALSE(responses.Wait(request, 0.01));
  responses.Complete(request, {200, "late", 0});
  EXPECT_FALSE(responses.Wait(request, 0.01));
}

// Opens a socket that is never connected.
FileDescriptor OpenSocket() {
  return FileDescriptor(socket(AF_INET, SOCK_STREAM, 0));
}

ConnectionLimits MakeLimits() {
  ConnectionLimits limits;
  limits.total = 3;
  limits.workers = 1;
  limits.users = 1;
  limits.worker_idle_timeout_s = 10;
  limits.worker_evictable_after_s = 5;
  limits.threads = 20;
  return limits;
}

TEST(ConnectionTable, RefusesConnectionsBeyondTheTotal) {
  ConnectionTable table(MakeLimits());
  Connection* first = table.Open(OpenSocket());
  EXPECT_TRUE(first);
  EXPECT_TRUE(table.Open(OpenSocket()));
  EXPECT_TRUE(table.Open(OpenSocket()));
  EXPECT_FALSE(table.Open(OpenSocket()));
  table.Close(first);
  EXPECT_TRUE(table.Open(OpenSocket()));
}

TEST(ConnectionTable, ClosesOnlyStaleWorkersToMakeRoom) {
  ConnectionTable table(MakeLimits());
  Connection* worker = table.Open(OpenSocket());
  EXPECT_TRUE(table.EnsureCapacity(ClientKind::kWorker, 0));
  table.Classify(worker, ClientKind::kWorker);
  table.MarkIdle(worker, 0);
  const int socket = worker->socket.get();
  EXPECT_FALSE(table.EnsureCapacity(ClientKind::kWorker, 4));
  EXPECT_TRUE(table.FindIdle(socket));
  EXPECT_TRUE(table.EnsureCapacity(ClientKind::kUser, 4));
  EXPECT_TRUE(table.EnsureCapacity(ClientKind::kWorker, 6));
  EXPECT_FALSE(table.FindIdle(socket));
}

TEST(ConnectionTable, ClosesIdleConnections) {
  ConnectionTable table(MakeLimits());
  Connection* silent = table.Open(OpenSocket());
  Connection* worker = table.Open(OpenSocket());
  const int silent_socket = silent->socket.get();
  const int worker_socket = worker->socket.get();
  table.Classify(worker, ClientKind::kWorker);
  table.MarkIdle(silent, 0);
  table.MarkIdle(worker, 0);
  table.CloseExpired(kRequestTransferTimeoutS + 1);
  EXPECT_FALSE(table.FindIdle(silent_socket));
  EXPECT_TRUE(table.FindIdle(worker_socket));
  table.CloseExpired(11);
  EXPECT_FALSE(table.FindIdle(worker_socket));
}

// Of 20 threads users may hold 15 and workers 3.
TEST(RequestQueue, EachClientKindHasAShareOfThreads) {
  std::vector<Connection> users(16), workers(4);
  RequestQueue queue(20);
  for (Connection& user : users) {
    user.kind = ClientKind::kUser;
    queue.Push(&user);
  }
  for (Connection& worker : workers) {
    worker.kind = ClientKind::kWorker;
    queue.Push(&worker);
  }
  for (int i = 0; i < 3; ++i) EXPECT_EQ(queue.Pop()->kind, ClientKind::kWorker);
  EXPECT_FALSE(queue.HasFreeThread(ClientKind::kWorker));
  for (int i = 0; i < 15; ++i) EXPECT_EQ(queue.Pop()->kind, ClientKind::kUser);
  EXPECT_EQ(queue.Pop(), nullptr);
  EXPECT_EQ(queue.size(), 2u);
  queue.ReleaseThread(ClientKind::kUser);
  EXPECT_EQ(queue.Pop()->kind, ClientKind::kUser);
  EXPECT_EQ(queue.TakeAll().size(), 1u);
  EXPECT_EQ(queue.size(), 0u);
}

// Provides routes with a core that answers every request with status 200 and an
// empty body.
class RoutesTest : public testing::Test {
 protected:
  RoutesTest() : core_([this] { RunCore(); }) {}
  ~RoutesTest() override {
    stopping_ = true;
    core_.join();
  }

  int StatusOf(const std::string& method, const std::string& path,
               const std::string& body = "") {
    return routes_.Handle({method, path, body}).status;
  }

 private:
  void RunCore() {
    while (!stopping_) {
      const Input input = inputs_.Pop(SteadyNow() + 0.01);
      if (!input) continue;
      responses_.Complete(++last_answered_, {200, "", 0});
    }
  }

  std::atomic<bool> stopping_{false};
  uint64_t last_answered_ = 0;
  InputQueue inputs_{10};
  PendingResponses responses_;
  Metrics metrics_;

 protected:
  HttpRoutes routes_{&inputs_, &responses_, &metrics_};

 private:
  std::thread core_;
};

TEST_F(RoutesTest, CheckPathsAndMethods) {
  EXPECT_EQ(StatusOf("GET", "/submissions/a"), 200);
  EXPECT_EQ(StatusOf("POST", "/submissions/a/cancel"), 200);
  EXPECT_EQ(StatusOf("GET", "/submissions/cancel"), 200);
  EXPECT_EQ(StatusOf("GET", "/submissions"), 405);
  EXPECT_EQ(StatusOf("POST", "/submissions", "{"), 400);
  EXPECT_EQ(StatusOf("POST", "/submissions/a"), 405);
  EXPECT_EQ(StatusOf("GET", "/submissions/a/cancel"), 405);
  EXPECT_EQ(StatusOf("GET", "/submissions//cancel"), 404);
  EXPECT_EQ(StatusOf("GET", "/submissions/a/b"), 404);
  EXPECT_EQ(StatusOf("GET", "/submissionsX"), 404);
  EXPECT_EQ(StatusOf("GET", "/"), 404);
}

TEST_F(RoutesTest, ReportHealthToProbes) {
  EXPECT_EQ(StatusOf("GET", "/up"), 200);
  routes_.set_healthy(false);
  EXPECT_EQ(StatusOf("GET", "/up"), 503);
  EXPECT_EQ(StatusOf("GET", "/metrics"), 200);
  EXPECT_EQ(ClassifyClient("/up"), ClientKind::kOther);
  EXPECT_EQ(ClassifyClient("/metrics"), ClientKind::kOther);
  EXPECT_EQ(ClassifyClient("/submissions"), ClientKind::kUser);
}

// Clients can repeat polls, so that only polls are refused under load.
TEST(Routes, RefusePollsWhenTheInputQueueIsOverloaded) {
  InputQueue inputs(0);
  PendingResponses responses;
  Metrics metrics;
  HttpRoutes routes(&inputs, &responses, &metrics);
  std::vector<std::string> order;
  inputs.Push(MakeRecorder(&order, "a"), InputPriority::kSystem);
  const HttpResponse reply = routes.Handle({"GET", "/submissions/a", ""});
  EXPECT_EQ(reply.status, 429);
  EXPECT_EQ(reply.retry_after_s, 2);
}

// No core runs, so that no response arrives in time.
TEST(Routes, AnswerUnavailableWhenTheCoreIsBusy) {
  InputQueue inputs(10);
  PendingResponses responses;
  Metrics metrics;
  HttpRoutes routes(&inputs, &responses, &metrics);
  const HttpResponse reply =
      routes.Handle({"POST", "/submissions/a/cancel", ""});
  EXPECT_EQ(reply.status, 503);
  EXPECT_EQ(reply.retry_after_s, 1);
}

}  // namespace
}  // namespace sorrelwood
