Feature: An upstream in a cold start gets no more load than it bears

  Background:
    Given a fleet with seed 13 in failure domains "Rundu, Nkurenkuru, Divundu"
    And a team "weavers" with 100000 tokens a second and a burst of 1000000
    And a model service with 2 prefill and 4 decode upstreams of 20 pieces
    And the instances "a, b, c" have settled

  Scenario: The first load after a start
    When every decode upstream turns cold
    And 2 seconds pass
    And team "weavers" asks 20 times a second for 100 prompt and 50 output tokens for 30 seconds
    And 200 seconds pass
    Then no upstream in a cold start got more than it bears
    And every request has exactly one answer

  Scenario: The home of a cell dies while its upstreams ramp up
    When every decode upstream turns cold
    And 2 seconds pass
    And team "weavers" asks 20 times a second for 100 prompt and 50 output tokens for 60 seconds
    And 4 seconds pass
    And the home of a cell is killed
    And 260 seconds pass
    Then no upstream in a cold start got more than it bears

  Scenario: Upstreams turn cold without warning under load
    When team "weavers" asks 20 times a second for 100 prompt and 50 output tokens for 60 seconds
    And 30 seconds pass
    And every decode upstream turns cold
    And 15 seconds pass
    And every decode upstream turns cold
    And 200 seconds pass
    Then no upstream in a cold start got more than it bears once its report had arrived
    And every request has exactly one answer
