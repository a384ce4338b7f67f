Feature: A withdrawn key stops working within seconds

  Background:
    Given a fleet with seed 17 in failure domains "Rundu, Nkurenkuru, Divundu"
    And a team "weavers" with 10000 tokens a second and a burst of 100000
    And a model service with 1 prefill and 1 decode upstreams of 2 memory pieces
    And routes that are open to the teams only
    And the instances "a, b, c" have settled

  Scenario: Queued requests whose key is withdrawn are not run
    When team "weavers" sends 10 requests a second of 100 prompt and 100 output tokens for 10 seconds
    And 10 seconds pass
    And the operator withdraws the key of team "weavers"
    And 3 seconds pass
    And the outcomes so far are excluded from the checks
    And 180 seconds pass
    Then no upstream received new work after the excluded outcomes
    And every request has exactly one outcome

  Scenario: A generation that has begun is finished elsewhere although its key is withdrawn
    When team "weavers" sends 2 requests of 100 prompt and 100 output tokens at once
    And 1500 milliseconds pass
    And the operator withdraws the key of team "weavers"
    And 1 seconds pass
    And upstream "decode-0" fails
    And 1 seconds pass
    And upstream "decode-0" recovers
    And 60 seconds pass
    Then at least 100 percent of the requests of team "weavers" were completed
