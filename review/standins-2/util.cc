#include "util.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace review {
namespace {

const auto kStart = std::chrono::steady_clock::now();
std::mutex record_mutex;
FILE* record_file = nullptr;

// A thread for each connection, ended when the connection closes.
class ThreadPerConnection : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> work) override {
    std::lock_guard lock(mutex_);
    ++running_;
    std::thread([this, work = std::move(work)] {
      work();
      std::lock_guard done(mutex_);
      if (--running_ == 0) ended_.notify_all();
    }).detach();
  }
  void shutdown() override {
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return running_ == 0; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable ended_;
  int running_ = 0;
};

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void SleepFor(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void SleepUntil(double time) { SleepFor(time - Now()); }

bool WaitFor(double seconds, const std::function<bool()>& condition) {
  const double end = Now() + seconds;
  for (;;) {
    if (condition()) return true;
    if (Now() >= end) return false;
    SleepFor(0.02);
  }
}

void OpenRecord(const std::string& folder) {
  record_file = std::fopen((folder + "/record.txt").c_str(), "w");
}

void Record(const std::string& line) {
  std::lock_guard lock(record_mutex);
  if (!record_file) return;
  std::fprintf(record_file, "%9.3f  %s\n", Now(), line.c_str());
  std::fflush(record_file);
}

int FreePort() {
  // Below the ports that the system gives to outgoing connections. Runs beside
  // each other begin at different places, and no port is given out twice.
  constexpr int kLowest = 12000, kBlocks = 100, kBlock = 200;
  static std::atomic<int> next{0};
  const int block = static_cast<int>(getpid()) * 37 % kBlocks;
  for (int tries = 0; tries < kBlocks * kBlock; ++tries) {
    const int port = kLowest + (block * kBlock + next++) % (kBlocks * kBlock);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    const bool free = bind(socket, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)) == 0;
    close(socket);
    if (free) return port;
  }
  return -1;
}

double RandomBetween(double low, double high) {
  static std::mutex mutex;
  static std::mt19937_64 generator(std::random_device{}());
  std::lock_guard lock(mutex);
  return std::uniform_real_distribution<double>(low, high)(generator);
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::strcmp(value, "0") != 0;
}

Server::Server() {
  server_.new_task_queue = [] { return new ThreadPerConnection; };
  server_.set_keep_alive_max_count(1000000000);
  server_.set_keep_alive_timeout(100000);
  server_.set_tcp_nodelay(true);
  port_ = server_.bind_to_any_port("127.0.0.1");
}

Server::~Server() { Stop(); }

void Server::Start() {
  thread_ = std::thread([this] { server_.listen_after_bind(); });
}

void Server::Stop() {
  if (!thread_.joinable()) return;
  server_.stop();
  // Connections may stay open; the process ends without waiting for them.
  thread_.detach();
}

void SendJson(httplib::Response& response, int status, const json& body) {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

Client::Client(const std::string& address, double timeout_s)
    : client_(address.substr(0, address.find(':')),
              std::stoi(address.substr(address.find(':') + 1))) {
  const auto timeout =
      std::chrono::milliseconds(static_cast<int64_t>(timeout_s * 1000));
  client_.set_connection_timeout(timeout);
  client_.set_read_timeout(timeout);
  client_.set_write_timeout(timeout);
  client_.set_keep_alive(true);
  client_.set_tcp_nodelay(true);
}

Client::Answer Client::Get(const std::string& path) {
  return Convert(client_.Get(path.c_str()));
}

Client::Answer Client::Post(const std::string& path, const json& body) {
  return Convert(client_.Post(path.c_str(), body.dump(), "application/json"));
}

Client::Answer Client::Post(const std::string& path) {
  return Convert(client_.Post(path.c_str(), "", "application/json"));
}

Client::Answer Client::Convert(httplib::Result result) {
  Answer answer;
  if (!result) return answer;
  answer.status = result->status;
  answer.body = json::parse(result->body, nullptr, false);
  return answer;
}

}  // namespace review
