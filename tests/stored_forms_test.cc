// Tests that every stored record and peer message keeps the bytes that the
// version named in deploy/service.toml writes. Both versions must write and
// read these bytes.
#include <gtest/gtest.h>

#include <string>

#include "peer/peer_status_codec.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {
namespace {

const char kArrayJob[] =
    R"({"at":1234.5,"spec":{"bookmark_s":30.0,"builds":["g8"],)"
    R"("bundle":"img-07","cards":1.0,"cores":8.0,"crew":"vision",)"
    R"("due_s":900.0,"expected_s":240.0,"loaners":true,"memory_gb":64.0,)"
    R"("one_zone":true,"parts":16,"room":"a","roster":"train",)"
    R"("scatter":false,"shape":"sweep","size_gb":6.2,"stash_s":4.0,)"
    R"("uid":"job-000412","urgency":"high"}})";
const char kServiceJob[] =
    R"({"at":1234.5,"spec":{"bookmark_s":0.0,"cards":0.0,"cores":1.0,)"
    R"("crew":"vision","expected_s":0.0,"loaners":false,"memory_gb":3.2,)"
    R"("one_zone":false,"parts":3,"roster":"web","scatter":true,)"
    R"("shape":"daemon","size_gb":0.0,"stash_s":0.0,"uid":"job-7",)"
    R"("urgency":"prod"}})";
const char kProvisioning[] =
    R"({"answered":true,"count":2,"machines":["n-000001","n-000002"],)"
    R"("name":"r-7-1","spot":true,"type":"g8","zone":"a"})";
const char kMachine[] =
    R"({"address":"10.1.0.1:9000","name":"n-000001","spot":true,)"
    R"("type":"g8","zone":"a"})";
const char kPeerStatusHex[] =
    "000000000c0000000000000004000200090000000000000003000000000000000700000000"
    "00000001000000fa0000000500000042000000050000001700000070657263682d31000400"
    "000001000100030000000400000001000000320000006a6f622d31000000";

TEST(StoredRecordsCodec, LiveJobKeepsItsBytes) {
  for (const std::string stored : {kArrayJob, kServiceJob}) {
    const auto job = protocol::ParseLiveJob(stored);
    ASSERT_TRUE(job);
    EXPECT_EQ(protocol::EncodeLiveJob(*job), stored);
  }
  const auto service = protocol::ParseLiveJob(kServiceJob);
  ASSERT_TRUE(service);
  EXPECT_EQ(service->spec.shape, JobShape::kService);
  EXPECT_EQ(service->spec.tasks, 3u);
}

TEST(StoredRecordsCodec, EveryOtherRecordKeepsItsBytes) {
  const auto request = protocol::ParseProvisioningRecord(kProvisioning);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->machines.size(), 2u);
  EXPECT_EQ(protocol::EncodeProvisioningRecord(*request), kProvisioning);
  const auto machine = protocol::ParseMachineRecord(kMachine);
  ASSERT_TRUE(machine);
  EXPECT_EQ(protocol::EncodeMachineRecord(*machine), kMachine);
  const auto leader =
      protocol::ParseLeaderRecord(R"({"node":"perch-1","term":7})");
  ASSERT_TRUE(leader);
  EXPECT_EQ(protocol::EncodeLeaderRecord(*leader),
            R"({"node":"perch-1","term":7})");
  const auto term = protocol::ParseTerm(R"({"term":7})");
  ASSERT_TRUE(term);
  EXPECT_EQ(protocol::EncodeTerm(*term), R"({"term":7})");
  EXPECT_EQ(protocol::EncodeFinalState(FinalState::kDone), R"("done")");
  EXPECT_EQ(protocol::EncodeFinalState(FinalState::kCancelled),
            R"("cancelled")");
  EXPECT_EQ(protocol::ParseFinalState(R"("done")"), FinalState::kDone);
  EXPECT_EQ(protocol::ParseFinalState(R"("cancelled")"),
            FinalState::kCancelled);
  EXPECT_FALSE(protocol::ParseFinalState("done"));
  const auto completions = protocol::ParseCompletionRecord(R"("0f3")");
  ASSERT_TRUE(completions);
  EXPECT_EQ(completions->bits_hex, "0f3");
  EXPECT_FALSE(completions->first_task.has_value());
  EXPECT_EQ(protocol::EncodeCompletionRecord(*completions), R"("0f3")");
}

TEST(PeerStatusCodec, MessageKeepsItsBytes) {
  std::string bytes;
  for (size_t i = 0; kPeerStatusHex[i] != '\0'; i += 2)
    bytes += static_cast<char>(
        std::stoi(std::string(kPeerStatusHex + i, 2), nullptr, 16));
  const auto status = DecodePeerStatus(bytes);
  ASSERT_TRUE(status);
  EXPECT_EQ(status->node, "perch-1");
  EXPECT_EQ(status->term, 7u);
  EXPECT_EQ(EncodePeerStatus(*status), bytes);
}

}  // namespace
}  // namespace sorrelwood
