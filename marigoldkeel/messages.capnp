@0xbf5147cbbecf40c1;

struct Frame {
  messages @0 :List(Message);
}

struct Message {
  requestId @0 :UInt64;
  # 0 for a message that is not answered.
  reply @1 :Bool;
  union {
    none @2 :Void;
    error @3 :Error;
    submit @4 :Submit;
    answer @5 :Answer;
    claim @6 :Claim;
    claimed @7 :Claimed;
    probe @8 :Probe;
    take @9 :Take;
    grant @10 :Grant;
    run @11 :Run;
    ran @12 :Ran;
    transfer @13 :Transfer;
    transferred @14 :Transferred;
    heartbeat @15 :Heartbeat;
    heartbeatReply @16 :HeartbeatReply;
    pull @17 :Pull;
    pulled @18 :Pulled;
    cancel @19 :Cancel;
    done @20 :Done;
    inspect @21 :Inspect;
    report @22 :Report;
    move @23 :Move;
    cancelJob @24 :CancelJob;
    announce @25 :Announce;
    attach @26 :Attach;
    startRuns @27 :StartRuns;
    stopRuns @28 :StopRuns;
    renew @29 :Renew;
    workerState @30 :WorkerState;
    runEvent @31 :RunEvent;
    progress @32 :Progress;
    dropJob @33 :DropJob;
    workerFacts @34 :WorkerFacts;
  }
}

struct Error {
  code @0 :Text;
  message @1 :Text;
  step @2 :Text;
  peer @3 :Text;
}

struct Member {
  name @0 :Text;
  incarnation @1 :Text;
  address @2 :Text;
  domain @3 :Text;
}

struct Submit {
  partition @0 :UInt32;
  generation @1 :UInt64;
  submissionId @2 :Data;
  team @3 :Text;
  kind @4 :Text;
  priority @5 :UInt8;
  deadlineMs @6 :UInt32;
  unanswered @7 :UInt32;
  tasks @8 :UInt32;
  body @9 :Data;
}

struct Answer {
  outcome @0 :Text;
  body @1 :Data;
  message @2 :Text;
  step @3 :Text;
  peer @4 :Text;
  retryAfterMs @5 :UInt32;
  conflict @6 :Bool;
  invalid @7 :Bool;
  ran @8 :List(UInt32);
  mayHaveRun @9 :List(UInt32);
  runMs @10 :UInt32;
}

struct Claim {
  partition @0 :UInt32;
  generation @1 :UInt64;
  submissionId @2 :Data;
  digest @3 :Data;
}

struct Claimed {
  verdict @0 :UInt8;
  generation @1 :UInt64;
}

struct Probe {
  partition @0 :UInt32;
  generation @1 :UInt64;
  submissionId @2 :Data;
  kind @3 :Text;
  priority @4 :UInt8;
  deadlineMs @5 :UInt32;
  count @6 :UInt32;
  address @7 :Text;
}

struct TaskResult {
  index @0 :UInt32;
  state @1 :UInt8;
  payload @2 :Data;
  message @3 :Text;
  runMs @4 :UInt32;
}

struct Take {
  submissionId @0 :Data;
  incarnation @1 :Text;
  sequence @2 :UInt64;
  want @3 :UInt32;
  results @4 :List(TaskResult);
}

struct TaskItem {
  index @0 :UInt32;
  payload @1 :Data;
}

struct Grant {
  partition @0 :UInt32;
  generation @1 :UInt64;
  tasks @2 :List(TaskItem);
  left @3 :UInt32;
}

struct Run {
  partition @0 :UInt32;
  generation @1 :UInt64;
  submissionId @2 :Data;
  kind @3 :Text;
  priority @4 :UInt8;
  deadlineMs @5 :UInt32;
  tasks @6 :List(TaskItem);
  incarnation @7 :Text;
}

struct Ran {
  results @0 :List(TaskResult);
}

struct ClaimEntry {
  submissionId @0 :Data;
  digest @1 :Data;
  state @2 :UInt8;
}

struct Transfer {
  transferId @0 :Text;
  partition @1 :UInt32;
  generation @2 :UInt64;
  incarnation @3 :Text;
  lowWaterMs @4 :UInt64;
  sequence @5 :UInt32;
  claims @6 :List(ClaimEntry);
  last @7 :Bool;
  record @8 :Data;
}

struct Transferred {
  accepted @0 :Bool;
  generation @1 :UInt64;
}

struct Heartbeat {
  member @0 :Member;
  load @1 :Float64;
  slots @2 :UInt32;
  configRevision @3 :UInt64;
  tableVersion @4 :UInt64;
  leaving @5 :Bool;
  kinds @6 :List(Text);
  isAgent @7 :Bool;
  wantsMembers @8 :Bool;
}

struct HeartbeatReply {
  member @0 :Member;
  load @1 :Float64;
  slots @2 :UInt32;
  configRevision @3 :UInt64;
  tableVersion @4 :UInt64;
  leaving @5 :Bool;
  kinds @6 :List(Text);
  intervalMs @7 :UInt32;
  members @8 :List(Member);
  isAgent @9 :Bool;
}

struct Pull {
  what @0 :Text;
  above @1 :UInt64;
}

struct Pulled {
  above @0 :UInt64;
  version @1 :UInt64;
  document @2 :Data;
}

struct Cancel {
  submissionId @0 :Data;
}

struct CancelJob {
  partition @0 :UInt32;
  generation @1 :UInt64;
  submissionId @2 :Data;
  team @3 :Text;
  unanswered @4 :UInt32;
  waitMs @5 :UInt32;
}

struct Done {
}

struct Inspect {
}

struct Report {
  document @0 :Data;
}

struct Move {
  partition @0 :UInt32;
  generation @1 :UInt64;
  standby @2 :Member;
}

struct Resources {
  cpuMilli @0 :UInt32;
  memoryMb @1 :UInt32;
  accelerators @2 :UInt32;
}

struct TaskId {
  jobId @0 :Text;
  occurrence @1 :UInt32;
  step @2 :UInt32;
  index @3 :UInt32;
}

struct RunId {
  task @0 :TaskId;
  number @1 :UInt64;
}

struct Announce {
  member @0 :Member;
  isAgent @1 :Bool;
  leaving @2 :Bool;
  planVersion @3 :UInt64;
  digest @4 :UInt64;
  known @5 :List(Member);
  evacuationRevision @6 :UInt64;
}

struct WorkerFacts {
  worker @0 :Text;
  boot @1 :UInt64;
  service @2 :Text;
  domain @3 :Text;
  labels @4 :List(Text);
  capacity @5 :Resources;
  leaving @6 :Bool;
  leavesInMs @7 :UInt32;
  coldMs @8 :UInt32;
}

struct HeldRun {
  run @0 :RunId;
  demand @1 :Resources;
  callerWaitsMs @2 :Int64;
}

struct Attach {
  sequence @0 :UInt64;
  owner @1 :Member;
  held @2 :List(HeldRun);
  facts @3 :WorkerFacts;
  sentMs @4 :UInt64;
  agent @5 :Text;
  evacuationRevision @6 :UInt64;
  evacuated @7 :List(Text);
}

struct RunNumber {
  index @0 :UInt32;
  number @1 :UInt64;
}

struct StartRuns {
  sequence @0 :UInt64;
  jobId @1 :Text;
  occurrence @2 :UInt32;
  step @3 :UInt32;
  demand @4 :Resources;
  payload @5 :Text;
  expectedMs @6 :UInt32;
  spreadLimit @7 :UInt32;
  runs @8 :List(RunNumber);
  sentMs @9 :UInt64;
  callerWaitsMs @10 :UInt32;
}

struct StopRuns {
  sequence @0 :UInt64;
  runs @1 :List(RunId);
  sentMs @2 :UInt64;
  ageMs @3 :UInt32;
}

struct Renew {
  sequence @0 :UInt64;
  sentMs @1 :UInt64;
  evacuationRevision @2 :UInt64;
  evacuated @3 :List(Text);
}

struct WorkerState {
  heard @0 :UInt64;
  room @1 :Resources;
  usable @2 :Bool;
  clockMs @3 :UInt64;
}

struct RunEvent {
  run @0 :RunId;
  kind @1 :UInt8;
  end @2 :UInt8;
  reason @3 :Text;
  runMs @4 :UInt32;
}

struct RunProgress {
  run @0 :RunId;
  percent @1 :UInt8;
  elapsedMs @2 :UInt32;
}

struct Progress {
  rows @0 :List(RunProgress);
}

struct DropJob {
  jobId @0 :Text;
  keepMs @1 :UInt32;
  forward @2 :Bool;
}
