namespace java org.lacewingstep.peer.wire

struct WireHello {
  1: string instance
  2: i64 incarnation
}

struct WireAcknowledgement {
  1: i64 messages
}

struct WireReservation {
  1: string request
  2: i32 attempt
  3: string instance
  4: i64 incarnation
  5: string cell
  6: optional string prefill
  7: string target
  8: i32 pieces
}

struct WireAttempt {
  1: string request
  2: i32 attempt
}

struct WireHeartbeat {
  1: i64 number
  2: i64 echo
  3: i64 epoch
  4: i64 settledEpoch
  5: i64 generation
  6: optional i64 confirmedAgeMilliseconds
}

struct WireEpochAcknowledged {
  1: i64 epoch
  2: list<WireReservation> reservations
}

struct WireTokenAsk {
  1: i64 question
  2: string team
  3: i32 slot
  4: i64 tokens
  5: bool partial
  6: i64 patienceMilliseconds
}

struct WireTokenAnswer {
  1: i64 question
  2: i32 verdict
  3: i64 tokens
  4: i64 debit
  5: i64 retryAfterMilliseconds
}

struct WireTokenRefund {
  1: string team
  2: i32 slot
  3: i64 debit
  4: i64 tokens
}

struct WireBudgetHandover {
  1: i64 epoch
  2: string team
  3: i32 slot
  4: double level
}

struct WirePlacementAsk {
  1: WireAttempt attempt
  2: string cell
  3: optional string team
  4: i64 tokens
  5: i32 pieces
  6: list<string> avoided
  7: i64 patienceMilliseconds
}

struct WirePlacementAnswer {
  1: WireAttempt attempt
  2: i32 verdict
  3: optional WireReservation reservation
}

struct WirePlacementRelease {
  1: WireAttempt attempt
  2: string cell
  3: optional string blamed
  4: bool completed
}

struct WireReservationAudit {
  1: list<WireAttempt> attempts
}

struct WireReservationStatus {
  1: list<WireAttempt> alive
  2: list<WireAttempt> ended
}

struct WireRosterAsk {
}

struct WireMember {
  1: string instance
  2: i64 incarnation
  3: string host
  4: i32 port
  5: string failureDomain
}

struct WireRosterCopy {
  1: i64 epoch
  2: i64 revision
  3: list<WireMember> members
  4: list<string> failureDomains
}

struct WireConfigurationAsk {
}

struct WireConfigurationCopy {
  1: binary document
}

struct WireUpstreamUse {
  1: string upstream
  2: i32 requests
  3: i64 tokens
  4: i32 arrivals
}

struct WireUpstreamStart {
  1: string upstream
  2: i64 startedAtMilliseconds
}

struct WirePromptCrash {
  1: string upstream
  2: i64 startedAtMilliseconds
  3: i64 ageMilliseconds
  4: optional bool begun
  5: optional list<string> calls
}

struct WirePromptEvidence {
  1: string part
  2: i32 position
  3: list<WirePromptCrash> crashes
  4: optional i64 servedAgeMilliseconds
}

struct WireDemand {
  1: string serviceName
  2: i32 urgency
  3: i32 queued
  4: i64 queuedTokens
  5: i64 arrivedTokens
  6: i64 releasedTokens
}

struct WireSpeed {
  1: string upstream
  2: i64 startedAtMilliseconds
  3: i8 kind
  4: i64 samples
  5: double weight
  6: double logSum
}

struct WireAnswerCounts {
  1: string serviceName
  2: i64 order
  3: string version
  4: string route
  5: i32 part
  6: i64 sent
  7: i64 failed
  8: map<i32, i64> served
}

struct WireSiteLoad {
  1: list<WireUpstreamUse> uses
  2: map<string, double> spent
  3: optional list<WirePromptEvidence> prompts
  4: optional list<WireUpstreamStart> leaving
  20: optional list<WireDemand> queued
  21: optional list<WireSpeed> speeds
  22: optional list<WireAnswerCounts> answers
}

// Revisions of the platform's store hold its era above the number, see StoreRevision.
struct WireStoreQuery {
  1: i64 number
  2: i64 revision
}

struct WireRegisteredUpstream {
  1: string name
  2: i64 startedAtMilliseconds
  3: string serviceName
  4: string host
  5: i32 port
  6: string failureDomain
  7: i32 role
  8: i32 slots
  9: bool draining
  10: i64 coldMilliseconds
  11: optional string version
}

struct WireRoleChange {
  1: string upstream
  2: i32 role
  3: i64 startedAtMilliseconds
}

struct WireRolePlan {
  1: string author
  2: list<WireRoleChange> changes
  3: i64 revision
}

struct WireRolloutOrder {
  1: string serviceName
  2: string target
  3: i64 limitMilliseconds
  4: i64 revision
}

struct WireRolloutPlan {
  1: string serviceName
  2: string target
  3: i64 order
  4: i32 stage
  5: i64 startedAtMilliseconds
  6: i64 requests
  7: i64 exposed
  8: i64 bad
  9: string author
  10: i64 revision
}

union WireStoreChange {
  1: WireRegisteredUpstream upstreamRegistered
  2: string upstreamUnregistered
  3: WireMember instanceRegistered
  4: string instanceUnregistered
  5: string domainOutOfService
  6: string domainInService
  7: WireRolePlan rolePlan
  8: WireRolloutOrder rolloutOrder
  9: string rolloutWithdrawn
  10: WireRolloutPlan rolloutPlan
}

struct WireStoreUpdate {
  1: i64 number
  2: i64 tableRevision
  3: i64 revision
  4: bool complete
  5: list<WireStoreChange> changes
}

struct WireUpstreamDepartures {
  1: i64 revision
  2: list<WireStoreChange> changes
}

struct WireLoadReport {
  1: string instance
  2: i64 incarnation
  3: WireSiteLoad load
}

struct WireLoadDigest {
  1: list<WireLoadReport> reports
}

union WireMessage {
  1: WireHello hello
  2: WireHeartbeat heartbeat
  3: WireEpochAcknowledged epochAcknowledged
  4: WireTokenAsk tokenAsk
  5: WireTokenAnswer tokenAnswer
  6: WireTokenRefund tokenRefund
  7: WireBudgetHandover budgetHandover
  8: WirePlacementAsk placementAsk
  9: WirePlacementAnswer placementAnswer
  10: WirePlacementRelease placementRelease
  11: WireReservationAudit reservationAudit
  12: WireReservationStatus reservationStatus
  13: WireRosterAsk rosterAsk
  14: WireRosterCopy rosterCopy
  15: WireConfigurationAsk configurationAsk
  16: WireConfigurationCopy configurationCopy
  17: WireSiteLoad siteLoad
  18: WireStoreQuery storeQuery
  19: WireStoreUpdate storeUpdate
  20: WireLoadDigest loadDigest
  21: WireUpstreamDepartures upstreamDepartures
}
