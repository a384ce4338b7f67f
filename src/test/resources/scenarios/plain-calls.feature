Feature: A non-repeatable request runs at most once, and "not run" is reported only for requests that did not run

  Background:
    Given a fleet with seed 16 in failure domains "Rundu, Nkurenkuru, Divundu"
    And a team "weavers" with 1000 tokens a second and a burst of 10000
    And a plain service with 3 upstreams whose calls may not be repeated
    And the instances "a, b, c" have settled

  Scenario: Upstreams fail and recover under load
    When team "weavers" calls the plain service 20 times a second for 30 seconds
    And 5 seconds pass
    And upstream "ledger-0" fails
    And 5 seconds pass
    And upstream "ledger-1" fails
    And 5 seconds pass
    And upstream "ledger-0" recovers
    And 160 seconds pass
    Then no call was executed more than once and none refused as not run was executed
    And every request has exactly one outcome

  Scenario: Messages between instances are lost and duplicated
    When one in 20 messages between instances is lost and one in 5 duplicated
    And team "weavers" calls the plain service 20 times a second for 30 seconds
    And 160 seconds pass
    Then no call was executed more than once and none refused as not run was executed
    And every request has exactly one outcome

  Scenario: Callers repeat their calls at other instances
    When team "weavers" makes 100 calls with idempotency keys and repeats each at random instances 3 times
    And 160 seconds pass
    Then at least 100 calls were executed and none of them twice
    And every request has exactly one outcome

  Scenario: Callers repeat their calls while store responses are lost and an instance is killed
    When the responses of the store are lost for 4 seconds
    And team "weavers" makes 200 calls with idempotency keys and repeats each at random instances 3 times
    And 3 seconds pass
    And instance "a" is killed
    And 160 seconds pass
    Then at least 100 calls were executed and none of them twice
    And every request has exactly one outcome
