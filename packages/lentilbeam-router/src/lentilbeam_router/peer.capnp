@0xd1f6a8c27b3e5409;
# Messages between routers. Each UDP datagram holds one packed message. Items
# of lists refer to names by index into `names`, counted from 1; index 0 is the
# empty name. The fields are documented in lentilbeam_core/messages.py; their
# numbers follow the order of addition.

struct Envelope {
  sender @0 :Text;
  union {
    heartbeat @1 :Heartbeat;
    report @2 :DemandReport;
    update @3 :GrantUpdate;
    load @4 :LoadReport;
    origins @5 :OriginReport;
    question @6 :OriginQuestion;
  }
}

struct Heartbeat {
  incarnation @0 :UInt64;
  catalogueOffset @1 :UInt64;
  stamp @2 :UInt64;
  intervalMs @3 :UInt32;
  leaving @4 :Bool;
  isReady @5 :Bool;
}

struct WorkspaceDemand {
  workspace @0 :UInt16;
  preferred @1 :UInt16;
  served @2 :UInt64;
  virtualTime @3 :UInt64;
  unsettled @4 :UInt64;
  oldestAgeMs @5 :UInt32;
  nextCost @6 :UInt32;
  queued @7 :UInt32;
}

struct SlotUse {
  target @0 :UInt16;
  workspace @1 :UInt16;
  granted @2 :UInt32;
  spent @3 :UInt32;
  estimate @4 :UInt32;
  running @5 :UInt32;
}

struct TargetUse {
  target @0 :UInt16;
  failed @1 :UInt32;
  isDraining @2 :Bool;
}

struct DemandReport {
  pool @0 :Text;
  incarnation @1 :UInt64;
  session @2 :UInt64;
  sequence @3 :UInt32;
  acknowledged @4 :UInt32;
  part @5 :UInt16;
  parts @6 :UInt16 = 1;
  isFull @7 :Bool;
  floor @8 :UInt64;
  workspaces @9 :List(WorkspaceDemand);
  slots @10 :List(SlotUse);
  targets @11 :List(TargetUse);
  names @12 :List(Text);
  wantsAnswer @13 :Bool;
}

struct Grant {
  workspace @0 :UInt16;
  target @1 :UInt16;
  virtualTime @2 :UInt64;
  granted @3 :UInt32;
}

struct QueuedElsewhere {
  workspace @0 :UInt16;
  queued @1 :UInt32;
}

struct GrantUpdate {
  pool @0 :Text;
  session @1 :UInt64;
  sequence @2 :UInt32;
  acknowledged @3 :UInt32;
  part @4 :UInt16;
  parts @5 :UInt16 = 1;
  needsFull @6 :Bool;
  paceMs @11 :UInt32;
  floor @7 :UInt64;
  grants @8 :List(Grant);
  queues @9 :List(QueuedElsewhere);
  names @10 :List(Text);
}

struct TargetLoad {
  target @0 :UInt16;
  running @1 :UInt16;
  unread @2 :UInt32;
  held @3 :UInt32;
  recent @4 :UInt32;
  outcomes @5 :Float32;
  failures @6 :Float32;
  leavingStartMs @7 :UInt64;
  limitStartMs @8 :UInt64;
  limitPerS @9 :Float64;
  limitAgeMs @10 :UInt32;
  coldStartMs @11 :UInt64;
  timedS @12 :Float32;
  expectedS @13 :Float32;
  decodeS @14 :Float32;
  removedStartMs @15 :UInt64;
  removedPosition @16 :UInt64;
}

struct PoolDemand {
  pool @0 :UInt16;
  requests @1 :Float32;
  longS @2 :Float32;
  placedTokens @3 :Float32;
  sampleTokens @4 :Float32;
  samplePositions @5 :Float32;
  sampleS @6 :Float32;
  sampleSquares @7 :Float32;
  sampleProducts @8 :Float32;
}

struct KeptEvacuation {
  dataCentre @0 :UInt16;
}

struct WorkspaceUse {
  workspace @0 :UInt16;
  cost @1 :UInt32;
  pool @2 :UInt16;
  asked @3 :UInt32;
}

struct PlacedPart {
  target @0 :UInt16;
  prefix @1 :UInt16;
  tokens @2 :UInt32;
}

struct Included {
  router @0 :UInt16;
  report @1 :UInt32;
  ageMs @2 :UInt32;
}

struct CrashReport {
  prefix @0 :UInt16;
  target @1 :UInt16;
  startMs @2 :UInt64;
  ageMs @3 :UInt32;
  isCleared @4 :Bool;
  runMs @5 :UInt32;
}

struct BlockReport {
  prefix @0 :UInt16;
  level @1 :UInt8;
  ageMs @2 :UInt32;
  isLifted @3 :Bool;
}

struct LoadReport {
  incarnation @0 :UInt64;
  version @1 :UInt64;
  sequence @2 :UInt32;
  leaving @3 :Bool;
  isReady @4 :Bool;
  loads @5 :List(TargetLoad);
  uses @6 :List(WorkspaceUse);
  placed @7 :List(PlacedPart);
  names @8 :List(Text);
  targetsOffset @9 :UInt64;
  kind @10 :UInt8;
  included @11 :List(Included);
  crashes @12 :List(CrashReport);
  blocks @13 :List(BlockReport);
  routers @14 :UInt16;
  demands @15 :List(PoolDemand);
  evacuations @16 :List(KeptEvacuation);
  targetsChange @17 :UInt64;
  busyPercent @18 :UInt8;
}

struct StreamOrigin {
  key @0 :UInt64;
  pool @1 :UInt16;
  version @2 :UInt16;
  keptMs @3 :UInt32;
}

struct OriginReport {
  origins @0 :List(StreamOrigin);
  names @1 :List(Text);
  memoryAgeMs @2 :UInt32;
}

struct OriginQuestion {
  key @0 :UInt64;
}
