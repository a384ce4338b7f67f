Feature: An upstream in a cold start receives no more load than its limit

  Background:
    Given a fleet with seed 13 in failure domains "Rundu, Nkurenkuru, Divundu"
    And a team "weavers" with 100000 tokens a second and a burst of 1000000
    And a model service with 2 prefill and 4 decode upstreams of 20 memory pieces
    And the instances "a, b, c" have settled

  Scenario: Load arrives right after a cold start
    When every decode upstream enters a cold start
    And 2 seconds pass
    And team "weavers" sends 20 requests a second of 100 prompt and 50 output tokens for 30 seconds
    And 200 seconds pass
    Then no upstream exceeded its cold-start limit
    And every request has exactly one outcome

  Scenario: The shard owner of a cell is killed while its upstreams ramp up
    When every decode upstream enters a cold start
    And 2 seconds pass
    And team "weavers" sends 20 requests a second of 100 prompt and 50 output tokens for 60 seconds
    And 4 seconds pass
    And the shard owner of a cell is killed
    And 260 seconds pass
    Then no upstream exceeded its cold-start limit

  Scenario: Upstreams enter a cold start without warning under load
    When team "weavers" sends 20 requests a second of 100 prompt and 50 output tokens for 60 seconds
    And 30 seconds pass
    And every decode upstream enters a cold start
    And 15 seconds pass
    And every decode upstream enters a cold start
    And 200 seconds pass
    Then no upstream exceeded its cold-start limit after its load report could arrive
    And every request has exactly one outcome
