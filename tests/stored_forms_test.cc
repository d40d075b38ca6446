// The bytes of every stored record and peer message, as the version named in
// deploy/service.toml writes them. Both versions must write and read these.
#include <gtest/gtest.h>

#include <string>

#include "peer/mesh.h"
#include "protocol/json.h"

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
const char kRent[] =
    R"({"answered":true,"count":2,"machines":["n-000001","n-000002"],)"
    R"("name":"r-7-1","spot":true,"type":"g8","zone":"a"})";
const char kMachine[] =
    R"({"address":"10.1.0.1:9000","name":"n-000001","spot":true,)"
    R"("type":"g8","zone":"a"})";
const char kNoteHex[] =
    "000000000c0000000000000004000200090000000000000003000000000000000700000000"
    "00000001000000fa0000000500000042000000050000001700000070657263682d31000400"
    "000001000100030000000400000001000000320000006a6f622d31000000";

TEST(StoredForms, JobsAreWrittenAndReadToTheByte) {
  for (const std::string stored : {kArrayJob, kServiceJob}) {
    LiveJob job;
    ASSERT_TRUE(wire::ParseLiveJob(stored, &job));
    EXPECT_EQ(wire::EncodeLiveJob(job), stored);
  }
  LiveJob service;
  ASSERT_TRUE(wire::ParseLiveJob(kServiceJob, &service));
  EXPECT_EQ(service.spec.shape, JobShape::kService);
  EXPECT_EQ(service.spec.tasks, 3u);
}

TEST(StoredForms, RecordsAreWrittenAndReadToTheByte) {
  ProvisioningRecord rent;
  ASSERT_TRUE(wire::ParseProvisioningRecord(kRent, &rent));
  EXPECT_EQ(rent.machines.size(), 2u);
  EXPECT_EQ(wire::EncodeProvisioningRecord(rent), kRent);
  MachineRecord machine;
  ASSERT_TRUE(wire::ParseMachineRecord(kMachine, &machine));
  EXPECT_EQ(wire::EncodeMachineRecord(machine), kMachine);
  LeaderRecord leader;
  ASSERT_TRUE(wire::ParseLeader(R"({"node":"perch-1","term":7})", &leader));
  EXPECT_EQ(wire::EncodeLeader(leader), R"({"node":"perch-1","term":7})");
  uint64_t term = 0;
  ASSERT_TRUE(wire::ParseTerm(R"({"term":7})", &term));
  EXPECT_EQ(wire::EncodeTerm(term), R"({"term":7})");
  EXPECT_EQ(wire::EncodeFinal(FinalState::kDone), R"("done")");
  EXPECT_EQ(wire::EncodeFinal(FinalState::kCancelled), R"("cancelled")");
  CompletionRecord progress;
  ASSERT_TRUE(wire::ParseCompletions(R"("0f3")", &progress));
  EXPECT_EQ(progress.bits_hex, "0f3");
  EXPECT_FALSE(progress.first_task.has_value());
  EXPECT_EQ(wire::EncodeCompletions(progress), R"("0f3")");
}

TEST(StoredForms, NotesAreWrittenAndReadToTheByte) {
  std::string bytes;
  for (size_t i = 0; kNoteHex[i] != '\0'; i += 2)
    bytes +=
        static_cast<char>(std::stoi(std::string(kNoteHex + i, 2), nullptr, 16));
  PeerStatus note;
  ASSERT_TRUE(DecodePeerStatus(bytes, &note));
  EXPECT_EQ(note.node, "perch-1");
  EXPECT_EQ(note.term, 7u);
  EXPECT_EQ(EncodePeerStatus(note), bytes);
}

}  // namespace
}  // namespace sorrelwood
