#include "peer/peer_status_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <vector>

#include "peer_status.capnp.h"

namespace sorrelwood {
namespace {

PeerStatus ReadPeerStatus(const peer_schema::Note::Reader& message) {
  PeerStatus status;
  status.node = message.getNode();
  status.incarnation = message.getIncarnation();
  status.sequence = message.getSequence();
  status.term = message.getTerm();
  status.leader = message.getLeader();
  status.state_served_ago_ms = message.getServedAgoMs();
  for (auto job : message.getJobs())
    status.jobs.push_back({job.getJob(), job.getDone(), job.getRunning()});
  return status;
}

}  // namespace

std::string EncodePeerStatus(const PeerStatus& status) {
  capnp::MallocMessageBuilder builder;
  auto message = builder.initRoot<peer_schema::Note>();
  message.setNode(status.node);
  message.setIncarnation(status.incarnation);
  message.setSequence(status.sequence);
  message.setTerm(status.term);
  message.setLeader(status.leader);
  message.setServedAgoMs(status.state_served_ago_ms);
  auto jobs = message.initJobs(static_cast<unsigned>(status.jobs.size()));
  for (unsigned i = 0; i < status.jobs.size(); ++i) {
    jobs[i].setJob(status.jobs[i].id);
    jobs[i].setDone(status.jobs[i].done);
    jobs[i].setRunning(status.jobs[i].running);
  }
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return std::string(reinterpret_cast<const char*>(bytes.begin()),
                     bytes.size());
}

ParseResult<PeerStatus> DecodePeerStatus(const std::string& bytes) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
    return MakeParseError(
        "",
        "the size of the message must be a positive multiple of 8 bytes, got " +
            std::to_string(bytes.size()));
  // The library requires aligned words.
  std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.data(), bytes.data(), bytes.size());
  try {
    capnp::FlatArrayMessageReader reader(
        kj::arrayPtr(words.data(), words.size()));
    return ReadPeerStatus(reader.getRoot<peer_schema::Note>());
  } catch (const kj::Exception& error) {
    return MakeParseError("", error.getDescription().cStr());
  }
}

}  // namespace sorrelwood
